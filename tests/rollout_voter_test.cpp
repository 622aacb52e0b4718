// RolloutVoter: votes of many instances, in turns and within the accepted rate, and by received positions.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy_fixture.h"

#include <algorithm>
#include <cmath>
#include <memory>

using namespace myrtlehead;

// The votes of a fleet as the platform has seen them.
struct ElectionResult {
  int rejectedVotes = 0;
  Nanoseconds quorumAfter = -1; // time until enough votes stood; -1: never
  Nanoseconds longestLapse = 0; // the longest time after that during which too few votes stood
};

// All instances of a fleet vote to promote, for `duration`. The platform accepts `votesPerSecond` votes, with
// bursts of twice as many. The first `downCount` instances are down.
static ElectionResult runElection(int instanceCount, double votesPerSecond, int downCount,
                                  Nanoseconds duration) {
  auto d = smallDeployment();
  d.instanceCount = instanceCount, d.rollout.votesToPromote = (instanceCount + 1) / 2;
  d.rollout.votesToRollBack = std::max(instanceCount * 15 / 100, 1);
  d.rollout.voteLifetime = 4 * kSecond, d.rollout.votesPerSecond = votesPerSecond;
  std::vector<std::unique_ptr<PolicyFixture>> fixtures;
  std::vector<Nanoseconds> votesStandUntil(static_cast<std::size_t>(instanceCount), -1);
  for (d.ownIndex = 0; d.ownIndex < instanceCount; ++d.ownIndex) {
    fixtures.push_back(std::make_unique<PolicyFixture>(d, 1, 1));
    fixtures.back()->endpoint(1).info.startedAt = kNow - 4 * kSecond;
    fixtures.back()->internals.random().seed(static_cast<std::knuth_b::result_type>(d.ownIndex + 1));
  }
  ElectionResult out;
  double acceptableVotes = 2 * votesPerSecond;
  Nanoseconds lastQuorumAt = kNow;
  for (Nanoseconds now = kNow; now < kNow + duration; now += 50 * kMillisecond) {
    acceptableVotes = std::min(acceptableVotes + votesPerSecond / 20, 2 * votesPerSecond);
    for (std::size_t i = static_cast<std::size_t>(downCount); i < fixtures.size(); ++i)
      for (const auto &vote : fixtures[i]->policy.runDueTasks(now).votes) {
        REQUIRE(vote.verdict == Verdict::promote);
        const bool isAccepted = acceptableVotes >= 1;
        acceptableVotes -= isAccepted, out.rejectedVotes += !isAccepted;
        if (isAccepted) votesStandUntil[i] = now + 4 * kSecond;
        fixtures[i]->policy.onVoteReply(isAccepted ? VoteReply::accepted : VoteReply::rateLimited, now);
      }
    const auto standing = std::ranges::count_if(votesStandUntil, [&](Nanoseconds end) { return end > now; });
    if (standing < d.rollout.votesToPromote) {
      if (out.quorumAfter >= 0) out.longestLapse = std::max(out.longestLapse, now - lastQuorumAt);
      continue;
    }
    if (out.quorumAfter < 0) out.quorumAfter = now - kNow;
    lastQuorumAt = now;
  }
  return out;
}

// The fixture receives the position of the fusion center `from`.
static void receivePosition(PolicyFixture &fixture, int from, Verdict verdict, int build = 2, int stage = 0) {
  const auto bytes = encodePosition({verdict, build, stage});
  fixture.policy.onPeerMessage(from, bytes.data(), bytes.size(), kNow);
}

TEST_CASE("an instance votes to roll a bad build back") {
  PolicyFixture fixture(smallDeployment(), 1, 1);
  for (int i = 0; i < 20; ++i) fixture.observe(fixture.endpoint(1), Outcome::failed);
  const auto votes = fixture.policy.runDueTasks(kNow).votes;
  REQUIRE(votes.size() == 1);
  REQUIRE(votes[0].verdict == Verdict::rollBack);
  REQUIRE(votes[0].build == 2);
  fixture.policy.onVoteReply(VoteReply::accepted, kNow);
  REQUIRE(fixture.policy.runDueTasks(kNow + kSecond).votes.empty());
  REQUIRE(fixture.policy.runDueTasks(kNow + 5 * kSecond).votes.size() == 1); // renewed before it lapses
}

TEST_CASE("a build that has been released for a while becomes the baseline") {
  PolicyFixture fixture(smallDeployment(), 1, 1, RolloutPhase::released);
  fixture.internals.stageStartedAt() = kNow - 5 * kSecond;
  for (int i = 0; i < 5; ++i) fixture.observe(fixture.endpoint(1), Outcome::succeeded);
  fixture.policy.runDueTasks(kNow);
  REQUIRE(fixture.internals.isEvaluated()); // it may still be rolled back
  fixture.policy.runDueTasks(kNow + 4 * kSecond);
  for (int i = 0; i < 50; ++i) fixture.observe(fixture.endpoint(1), Outcome::failed);
  REQUIRE(!fixture.internals.isEvaluated());
  REQUIRE(fixture.internals.fused(0).cusum <= 0);
}

TEST_CASE("a rollout by timer is held while the build is in doubt") {
  auto d = smallDeployment();
  d.rollout.control = RolloutControl::timer;
  PolicyFixture fixture(d, 1, 1);
  fixture.internals.fused(0).cusum = 5;
  const auto votes = fixture.policy.runDueTasks(kNow).votes;
  REQUIRE(votes.size() == 1);
  REQUIRE(votes[0].verdict == Verdict::hold);
}

TEST_CASE("a vote that was not accepted is sent again") {
  PolicyFixture fixture(smallDeployment(), 1, 1);
  fixture.internals.isJudgedBad() = true;
  REQUIRE(fixture.policy.runDueTasks(kNow).votes.size() == 1);
  REQUIRE(fixture.policy.runDueTasks(kNow + 100 * kMillisecond).votes.empty()); // the reply is pending
  fixture.policy.onVoteReply(VoteReply::rateLimited, kNow + 200 * kMillisecond);
  REQUIRE(fixture.policy.runDueTasks(kNow + 250 * kMillisecond).votes.empty());
  REQUIRE(fixture.policy.runDueTasks(kNow + 2 * kSecond).votes.size() == 1);
}

TEST_CASE("no vote to promote is cast before an endpoint of the stage is listed") {
  PolicyFixture fixture(smallDeployment(), 1, 1);
  fixture.endpoint(1).info.startedAt = kNow - 10 * kSecond;
  fixture.internals.stageStartedAt() = kNow - 5 * kSecond;
  REQUIRE(fixture.policy.runDueTasks(kNow).votes.empty());
  fixture.endpoint(1).info.startedAt = kNow - 4 * kSecond;
  const auto votes = fixture.policy.runDueTasks(kNow + kMillisecond).votes;
  REQUIRE(votes.size() == 1);
  REQUIRE(votes[0].verdict == Verdict::promote);
}

TEST_CASE("an announced position to promote is kept while the doubt is slight") {
  for (const auto &[cusum, isKept] : {std::pair{3.0, true}, {5.5, true}, {7.5, false}}) {
    PolicyFixture fixture(smallDeployment(), 1, 1);
    fixture.policy.runDueTasks(kNow);
    REQUIRE(fixture.internals.announcedPosition() == (Vote{Verdict::promote, 2, 0}));
    fixture.internals.fused(0).cusum = cusum;
    fixture.policy.runDueTasks(kNow + kMillisecond);
    REQUIRE((fixture.internals.announcedPosition().verdict == Verdict::promote) == isKept);
  }
  PolicyFixture fresh(smallDeployment(), 1, 1);
  fresh.internals.fused(0).cusum = 5.5;
  fresh.policy.runDueTasks(kNow);
  REQUIRE(fresh.internals.announcedPosition().verdict ==
          Verdict::abstain); // no new position to promote in doubt
}

TEST_CASE("the votes of all instances stay within the accepted rate") {
  for (const auto &[instanceCount, votesPerSecond] :
       {std::pair{1, 1.0}, {3, 1.0}, {100, 16.0}, {500, 80.0}}) {
    const auto election = runElection(instanceCount, votesPerSecond, 0, 5 * kSecond);
    REQUIRE(election.rejectedVotes == 0);
    REQUIRE(election.quorumAfter >= 0);
    REQUIRE(election.quorumAfter < 4 * kSecond);
  }
}

TEST_CASE("other instances vote in place of voters that are down") {
  const auto election = runElection(100, 16, 33, 14 * kSecond);
  REQUIRE(election.quorumAfter >= 0);
  REQUIRE(election.quorumAfter < 12 * kSecond);
}

TEST_CASE("a vote is renewed before it lapses") {
  const auto election = runElection(100, 32, 0, 30 * kSecond);
  REQUIRE(election.longestLapse == 0);
  REQUIRE(election.rejectedVotes == 0);
}

TEST_CASE("a vote on an earlier stage is not withdrawn") {
  PolicyFixture fixture(smallDeployment(), 1, 1);
  fixture.internals.lastVote() = fixture.internals.wantedVote() = {Verdict::promote, 2, 0};
  fixture.internals.renewAt() = kNow + kSecond;
  fixture.policy.onRolloutState({2, 1, RolloutPhase::evaluating, 0.5}, kNow);
  REQUIRE(fixture.policy.runDueTasks(kNow).votes.empty());
}

TEST_CASE("the majority of the received positions decides") {
  auto d = smallDeployment();
  d.instanceCount = 100, d.ownIndex = 90, d.rollout.votesToRollBack = 15, d.rollout.votesToPromote = 1;
  d.rollout.votesPerSecond = 1000;
  for (const bool isBad : {false, true}) {
    PolicyFixture fixture(d, 1, 1);
    for (const int center : {3, 7, 11, 14})
      receivePosition(fixture, center, isBad ? Verdict::rollBack : Verdict::promote);
    const auto votes = fixture.policy.runDueTasks(kNow + kSecond).votes;
    const auto allVotes = votes.empty() ? fixture.policy.runDueTasks(kNow + 2 * kSecond).votes : votes;
    REQUIRE(allVotes.size() == 1);
    REQUIRE(allVotes[0].verdict == (isBad ? Verdict::rollBack : Verdict::promote));
  }
}

TEST_CASE("positions of other instances, on other builds or too old do not count") {
  auto d = smallDeployment();
  d.instanceCount = 100, d.ownIndex = 50, d.rollout.votesToRollBack = 15;
  PolicyFixture fixture(d, 1, 1);
  for (const int from : {15, 50, 99, -1, 100}) // not fusion centers, or not instances at all
    receivePosition(fixture, from, Verdict::rollBack);
  for (const int center : {1, 2, 3}) receivePosition(fixture, center, Verdict::rollBack, 1);
  const std::uint8_t truncated[] = {kPositionVersion, 3, 0, 2},
                     unknownVerdict[] = {kPositionVersion, 9, 0, 2, 0};
  fixture.policy.onPeerMessage(4, truncated, sizeof truncated, kNow),
      fixture.policy.onPeerMessage(4, unknownVerdict, sizeof unknownVerdict, kNow);
  for (const auto &vote : fixture.policy.runDueTasks(kNow).votes) REQUIRE(vote.verdict != Verdict::rollBack);
  for (const int center : {1, 2, 3}) receivePosition(fixture, center, Verdict::rollBack);
  for (const auto &vote : fixture.policy.runDueTasks(kNow + 6 * kSecond).votes)
    REQUIRE(vote.verdict != Verdict::rollBack);
}

TEST_CASE("a fusion center without endpoints of the build follows the others") {
  PolicyFixture fixture(smallDeployment(), 1, 0);
  fixture.policy.onRolloutState({2, 0, RolloutPhase::evaluating, 0.1}, kNow);
  REQUIRE(fixture.policy.runDueTasks(kNow).votes.empty());
  receivePosition(fixture, 1, Verdict::promote), receivePosition(fixture, 2, Verdict::promote);
  const auto votes = fixture.policy.runDueTasks(kNow + kMillisecond).votes;
  REQUIRE(votes.size() == 1);
  REQUIRE(votes[0].verdict == Verdict::promote);
}
