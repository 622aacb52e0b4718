// RolloutVoter: votes of many instances, by turns, within the rate, and by the positions heard.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy_fixture.h"

#include <algorithm>
#include <cmath>
#include <memory>

using namespace myrtlehead;

// A fleet that comes to one verdict, before a platform that takes so many votes a second, twice as many at
// once. What it saw: votes turned away, and for how long at most fewer than needed stood.
struct Election {
  int rejected = 0;
  Nanoseconds enough = -1, gap = 0;
};

static Election runElection(int marshals, double allowance, int down, Nanoseconds until) {
  auto d = smallDeployment();
  d.instanceCount = marshals, d.rollout.votesToPromote = (marshals + 1) / 2;
  d.rollout.votesToRollBack = std::max(marshals * 15 / 100, 1);
  d.rollout.voteLifetime = 4 * kSecond, d.rollout.votesPerSecond = allowance;
  std::vector<std::unique_ptr<PolicyFixture>> fixtures;
  std::vector<Nanoseconds> stands(static_cast<std::size_t>(marshals), -1);
  for (d.ownIndex = 0; d.ownIndex < marshals; ++d.ownIndex) {
    fixtures.push_back(std::make_unique<PolicyFixture>(d, 1, 1));
    fixtures.back()->endpoint(1).info.startedAt = kNow - 4 * kSecond;
    fixtures.back()->internals.random().seed(static_cast<std::knuth_b::result_type>(d.ownIndex + 1));
  }
  Election out;
  double left = 2 * allowance;
  Nanoseconds lacking = kNow;
  for (Nanoseconds now = kNow; now < kNow + until; now += 50 * kMillisecond) {
    left = std::min(left + allowance / 20, 2 * allowance);
    for (std::size_t i = static_cast<std::size_t>(down); i < fixtures.size(); ++i)
      for (const auto &vote : fixtures[i]->policy.runDueTasks(now).votes) {
        REQUIRE(vote.verdict == Verdict::promote);
        const bool taken = left >= 1;
        left -= taken, out.rejected += !taken;
        if (taken) stands[i] = now + 4 * kSecond;
        fixtures[i]->policy.onVoteReply(taken ? VoteReply::accepted : VoteReply::rateLimited, now);
      }
    const auto standing = std::ranges::count_if(stands, [&](Nanoseconds end) { return end > now; });
    if (standing < d.rollout.votesToPromote) {
      if (out.enough >= 0) out.gap = std::max(out.gap, now - lacking);
      continue;
    }
    if (out.enough < 0) out.enough = now - kNow;
    lacking = now;
  }
  return out;
}

// A center's stance as it comes to another instance.
static void receivePosition(PolicyFixture &fixture, int from, Verdict verdict, int build = 2, int stage = 0) {
  const auto bytes = encodePosition({verdict, build, stage});
  fixture.policy.onPeerMessage(from, bytes.data(), bytes.size(), kNow);
}

TEST_CASE("a bad build is voted to be rolled back") {
  PolicyFixture fixture(smallDeployment(), 1, 1);
  for (int i = 0; i < 20; ++i) fixture.observe(fixture.endpoint(1), Outcome::failed);
  const auto votes = fixture.policy.runDueTasks(kNow).votes;
  REQUIRE(votes.size() == 1);
  REQUIRE(votes[0].verdict == Verdict::rollBack);
  REQUIRE(votes[0].build == 2);
  fixture.policy.onVoteReply(VoteReply::accepted, kNow);
  REQUIRE(fixture.policy.runDueTasks(kNow + kSecond).votes.empty());
  REQUIRE(fixture.policy.runDueTasks(kNow + 5 * kSecond).votes.size() == 1); // renewed within its life
}

TEST_CASE("a build that has been released for a while is the baseline") {
  PolicyFixture fixture(smallDeployment(), 1, 1, RolloutPhase::released);
  fixture.internals.stageStartedAt() = kNow - 5 * kSecond;
  for (int i = 0; i < 5; ++i) fixture.observe(fixture.endpoint(1), Outcome::succeeded);
  fixture.policy.runDueTasks(kNow);
  REQUIRE(fixture.internals.isEvaluated()); // it may yet go back
  fixture.policy.runDueTasks(kNow + 4 * kSecond);
  for (int i = 0; i < 50; ++i) fixture.observe(fixture.endpoint(1), Outcome::failed);
  REQUIRE(!fixture.internals.isEvaluated());
  REQUIRE(fixture.internals.fused(0).cusum <= 0);
}

TEST_CASE("a rollout by timer is held in doubt") {
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
  REQUIRE(fixture.policy.runDueTasks(kNow + 100 * kMillisecond).votes.empty()); // its answer is out
  fixture.policy.onVoteReply(VoteReply::rateLimited, kNow + 200 * kMillisecond);
  REQUIRE(fixture.policy.runDueTasks(kNow + 250 * kMillisecond).votes.empty());
  REQUIRE(fixture.policy.runDueTasks(kNow + 2 * kSecond).votes.size() == 1);
}

TEST_CASE("no vote to promote before the stage's machines are seen") {
  PolicyFixture fixture(smallDeployment(), 1, 1);
  fixture.endpoint(1).info.startedAt = kNow - 10 * kSecond;
  fixture.internals.stageStartedAt() = kNow - 5 * kSecond;
  REQUIRE(fixture.policy.runDueTasks(kNow).votes.empty());
  fixture.endpoint(1).info.startedAt = kNow - 4 * kSecond;
  const auto votes = fixture.policy.runDueTasks(kNow + kMillisecond).votes;
  REQUIRE(votes.size() == 1);
  REQUIRE(votes[0].verdict == Verdict::promote);
}

TEST_CASE("a position is kept in slight doubt") {
  for (const auto &[y, on] : {std::pair{3.0, true}, {5.5, true}, {7.5, false}}) {
    PolicyFixture fixture(smallDeployment(), 1, 1);
    fixture.policy.runDueTasks(kNow);
    REQUIRE(fixture.internals.announcedPosition() == (Vote{Verdict::promote, 2, 0}));
    fixture.internals.fused(0).cusum = y;
    fixture.policy.runDueTasks(kNow + kMillisecond);
    REQUIRE((fixture.internals.announcedPosition().verdict == Verdict::promote) == on);
  }
  PolicyFixture fresh(smallDeployment(), 1, 1);
  fresh.internals.fused(0).cusum = 5.5;
  fresh.policy.runDueTasks(kNow);
  REQUIRE(fresh.internals.announcedPosition().verdict ==
          Verdict::abstain); // what was not said is not said in doubt
}

TEST_CASE("the votes of all instances stay within the rate") {
  for (const auto &[marshals, allowance] : {std::pair{1, 1.0}, {3, 1.0}, {100, 16.0}, {500, 80.0}}) {
    const auto b = runElection(marshals, allowance, 0, 5 * kSecond);
    REQUIRE(b.rejected == 0);
    REQUIRE(b.enough >= 0);
    REQUIRE(b.enough < 4 * kSecond);
  }
}

TEST_CASE("others vote for voters that are down") {
  const auto b = runElection(100, 16, 33, 14 * kSecond);
  REQUIRE(b.enough >= 0);
  REQUIRE(b.enough < 12 * kSecond);
}

TEST_CASE("a vote is renewed before it lapses") {
  const auto b = runElection(100, 32, 0, 30 * kSecond);
  REQUIRE(b.gap == 0);
  REQUIRE(b.rejected == 0);
}

TEST_CASE("a vote on an earlier stage is not taken back") {
  PolicyFixture fixture(smallDeployment(), 1, 1);
  fixture.internals.lastVote() = fixture.internals.wantedVote() = {Verdict::promote, 2, 0};
  fixture.internals.renewAt() = kNow + kSecond;
  fixture.policy.onRolloutState({2, 1, RolloutPhase::evaluating, 0.5}, kNow);
  REQUIRE(fixture.policy.runDueTasks(kNow).votes.empty());
}

TEST_CASE("most of the fusion centers heard decide") {
  auto d = smallDeployment();
  d.instanceCount = 100, d.ownIndex = 90, d.rollout.votesToRollBack = 15, d.rollout.votesToPromote = 1;
  d.rollout.votesPerSecond = 1000;
  for (const bool bad : {false, true}) {
    PolicyFixture fixture(d, 1, 1);
    for (const int center : {3, 7, 11, 14})
      receivePosition(fixture, center, bad ? Verdict::rollBack : Verdict::promote);
    const auto votes = fixture.policy.runDueTasks(kNow + kSecond).votes;
    const auto later = votes.empty() ? fixture.policy.runDueTasks(kNow + 2 * kSecond).votes : votes;
    REQUIRE(later.size() == 1);
    REQUIRE(later[0].verdict == (bad ? Verdict::rollBack : Verdict::promote));
  }
}

TEST_CASE("positions of others, on other builds or of long ago do not count") {
  auto d = smallDeployment();
  d.instanceCount = 100, d.ownIndex = 50, d.rollout.votesToRollBack = 15;
  PolicyFixture fixture(d, 1, 1);
  for (const int no : {15, 50, 99, -1, 100})
    receivePosition(fixture, no, Verdict::rollBack); // no fusers, or nobody
  for (const int center : {1, 2, 3}) receivePosition(fixture, center, Verdict::rollBack, 1);
  const std::uint8_t cut[] = {kPositionVersion, 3, 0, 2}, odd[] = {kPositionVersion, 9, 0, 2, 0};
  fixture.policy.onPeerMessage(4, cut, sizeof cut, kNow),
      fixture.policy.onPeerMessage(4, odd, sizeof odd, kNow);
  for (const auto &v : fixture.policy.runDueTasks(kNow).votes) REQUIRE(v.verdict != Verdict::rollBack);
  for (const int center : {1, 2, 3}) receivePosition(fixture, center, Verdict::rollBack);
  for (const auto &v : fixture.policy.runDueTasks(kNow + 6 * kSecond).votes)
    REQUIRE(v.verdict != Verdict::rollBack);
}

TEST_CASE("a fusion center that has seen no machine goes by the others") {
  PolicyFixture fixture(smallDeployment(), 1, 0);
  fixture.policy.onRolloutState({2, 0, RolloutPhase::evaluating, 0.1}, kNow);
  REQUIRE(fixture.policy.runDueTasks(kNow).votes.empty());
  receivePosition(fixture, 1, Verdict::promote), receivePosition(fixture, 2, Verdict::promote);
  const auto votes = fixture.policy.runDueTasks(kNow + kMillisecond).votes;
  REQUIRE(votes.size() == 1);
  REQUIRE(votes[0].verdict == Verdict::promote);
}
