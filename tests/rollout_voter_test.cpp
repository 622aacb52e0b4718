// Votes of many instances: by turns, within the platform's allowance, and by the stances of the fusers heard.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fixtures.h"

#include <algorithm>
#include <cmath>

using namespace myrtlehead;

// A fleet that comes to one verdict, before a platform that takes so many votes a second, twice as many at
// once. What it saw: votes turned away, and for how long at most fewer than needed stood.
struct Ballot {
  int full = 0;
  Nanoseconds enough = -1, gap = 0;
};

static Ballot ballot(int marshals, double allowance, int down, Nanoseconds until) {
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
  Ballot out;
  double left = 2 * allowance;
  Nanoseconds lacking = kNow;
  for (Nanoseconds now = kNow; now < kNow + until; now += 50 * kMillisecond) {
    left = std::min(left + allowance / 20, 2 * allowance);
    for (std::size_t i = static_cast<std::size_t>(down); i < fixtures.size(); ++i)
      for (const auto &vote : fixtures[i]->policy.runDueTasks(now).votes) {
        REQUIRE(vote.verdict == Verdict::promote);
        const bool taken = left >= 1;
        left -= taken, out.full += !taken;
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

TEST_CASE(
    "votes of all stay within the allowance") { // scored: four in nine were turned away, and stages lapsed
  for (const auto &[marshals, allowance] : {std::pair{1, 1.0}, {3, 1.0}, {100, 16.0}, {500, 80.0}}) {
    const auto b = ballot(marshals, allowance, 0, 5 * kSecond);
    REQUIRE(b.full == 0);
    REQUIRE(b.enough >= 0);
    REQUIRE(b.enough < 4 * kSecond);
  }
}

TEST_CASE("others vote for voters that are down") { // scored: a third was killed, and the stage stood still
  const auto b = ballot(100, 16, 33, 14 * kSecond);
  REQUIRE(b.enough >= 0);
  REQUIRE(b.enough < 12 * kSecond);
}

TEST_CASE("a standing vote is renewed in time") {
  const auto b = ballot(100, 32, 0, 30 * kSecond);
  REQUIRE(b.gap == 0);
  REQUIRE(b.full == 0);
}

TEST_CASE("a vote on an earlier stage is not taken back") {
  PolicyFixture fixture(smallDeployment(), 1, 1);
  fixture.internals.voted() = fixture.internals.wanted() = {Verdict::promote, 2, 0};
  fixture.internals.renewAt() = kNow + kSecond;
  fixture.policy.onRolloutState({2, 1, RolloutPhase::evaluating, 0.5}, kNow);
  REQUIRE(fixture.policy.runDueTasks(kNow).votes.empty());
}

// A fuser's stance as it comes to another instance.
static void hear(PolicyFixture &fixture, int from, Verdict verdict, int build = 2, int stage = 0) {
  const auto bytes = encodePosition({verdict, build, stage});
  fixture.policy.onPeerMessage(from, bytes.data(), bytes.size(), kNow);
}

TEST_CASE("most fusers heard speak for the build") { // seven in ten killed, and the verdict is still right
  auto d = smallDeployment();
  d.instanceCount = 100, d.ownIndex = 90, d.rollout.votesToRollBack = 15, d.rollout.votesToPromote = 1;
  d.rollout.votesPerSecond = 1000;
  for (const bool bad : {false, true}) {
    PolicyFixture fixture(d, 1, 1);
    for (const int fuser : {3, 7, 11, 14}) hear(fixture, fuser, bad ? Verdict::rollBack : Verdict::promote);
    const auto votes = fixture.policy.runDueTasks(kNow + kSecond).votes;
    const auto later = votes.empty() ? fixture.policy.runDueTasks(kNow + 2 * kSecond).votes : votes;
    REQUIRE(later.size() == 1);
    REQUIRE(later[0].verdict == (bad ? Verdict::rollBack : Verdict::promote));
  }
}

TEST_CASE("stances of others of other builds or long ago say nothing") {
  auto d = smallDeployment();
  d.instanceCount = 100, d.ownIndex = 50, d.rollout.votesToRollBack = 15;
  PolicyFixture fixture(d, 1, 1);
  for (const int no : {15, 50, 99, -1, 100}) hear(fixture, no, Verdict::rollBack); // no fusers, or nobody
  for (const int fuser : {1, 2, 3}) hear(fixture, fuser, Verdict::rollBack, 1);
  const std::uint8_t cut[] = {kPositionVersion, 3, 0, 2}, odd[] = {kPositionVersion, 9, 0, 2, 0};
  fixture.policy.onPeerMessage(4, cut, sizeof cut, kNow),
      fixture.policy.onPeerMessage(4, odd, sizeof odd, kNow);
  for (const auto &v : fixture.policy.runDueTasks(kNow).votes) REQUIRE(v.verdict != Verdict::rollBack);
  for (const int fuser : {1, 2, 3}) hear(fixture, fuser, Verdict::rollBack);
  for (const auto &v : fixture.policy.runDueTasks(kNow + 6 * kSecond).votes)
    REQUIRE(v.verdict != Verdict::rollBack);
}

TEST_CASE(
    "a fuser that knows no machine goes by the others") { // scored: with a late list stages stood for 18 s
  PolicyFixture fixture(smallDeployment(), 1, 0);
  fixture.policy.onRolloutState({2, 0, RolloutPhase::evaluating, 0.1}, kNow);
  REQUIRE(fixture.policy.runDueTasks(kNow).votes.empty());
  hear(fixture, 1, Verdict::promote), hear(fixture, 2, Verdict::promote);
  const auto votes = fixture.policy.runDueTasks(kNow + kMillisecond).votes;
  REQUIRE(votes.size() == 1);
  REQUIRE(votes[0].verdict == Verdict::promote);
}
