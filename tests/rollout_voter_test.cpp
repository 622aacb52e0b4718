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
  std::vector<std::unique_ptr<Bed>> beds;
  std::vector<Nanoseconds> stands(static_cast<std::size_t>(marshals), -1);
  for (d.ownIndex = 0; d.ownIndex < marshals; ++d.ownIndex) {
    beds.push_back(std::make_unique<Bed>(d, 1, 1));
    beds.back()->node(1).info.startedAt = kNow - 4 * kSecond;
    beds.back()->guard.s.chance.seed(static_cast<std::knuth_b::result_type>(d.ownIndex + 1));
  }
  Ballot out;
  double left = 2 * allowance;
  Nanoseconds lacking = kNow;
  for (Nanoseconds now = kNow; now < kNow + until; now += 50 * kMillisecond) {
    left = std::min(left + allowance / 20, 2 * allowance);
    for (std::size_t i = static_cast<std::size_t>(down); i < beds.size(); ++i)
      for (const auto &vote : beds[i]->guard.due(now).votes) {
        REQUIRE(vote.verdict == Verdict::promote);
        const bool taken = left >= 1;
        left -= taken, out.full += !taken;
        if (taken) stands[i] = now + 4 * kSecond;
        beds[i]->guard.voteAnswered(taken ? VoteReply::accepted : VoteReply::rateLimited, now);
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
  Bed bed(smallDeployment(), 1, 1);
  bed.guard.s.voted = bed.guard.s.wanted = {Verdict::promote, 2, 0};
  bed.guard.s.voteNext = kNow + kSecond;
  bed.guard.news({2, 1, RolloutPhase::evaluating, 0.5}, kNow);
  REQUIRE(bed.guard.due(kNow).votes.empty());
}

// A fuser's stance as it comes to another instance.
static void hear(Bed &bed, int from, Verdict verdict, int build = 2, int stage = 0) {
  const auto bytes = packStance({verdict, build, stage});
  bed.guard.note(from, bytes.data(), bytes.size(), kNow);
}

TEST_CASE("most fusers heard speak for the build") { // seven in ten killed, and the verdict is still right
  auto d = smallDeployment();
  d.instanceCount = 100, d.ownIndex = 90, d.rollout.votesToRollBack = 15, d.rollout.votesToPromote = 1;
  d.rollout.votesPerSecond = 1000;
  for (const bool bad : {false, true}) {
    Bed bed(d, 1, 1);
    for (const int fuser : {3, 7, 11, 14}) hear(bed, fuser, bad ? Verdict::rollBack : Verdict::promote);
    const auto votes = bed.guard.due(kNow + kSecond).votes;
    const auto later = votes.empty() ? bed.guard.due(kNow + 2 * kSecond).votes : votes;
    REQUIRE(later.size() == 1);
    REQUIRE(later[0].verdict == (bad ? Verdict::rollBack : Verdict::promote));
  }
}

TEST_CASE("stances of others of other builds or long ago say nothing") {
  auto d = smallDeployment();
  d.instanceCount = 100, d.ownIndex = 50, d.rollout.votesToRollBack = 15;
  Bed bed(d, 1, 1);
  for (const int no : {15, 50, 99, -1, 100}) hear(bed, no, Verdict::rollBack); // no fusers, or nobody
  for (const int fuser : {1, 2, 3}) hear(bed, fuser, Verdict::rollBack, 1);
  const std::uint8_t cut[] = {kStanceVersion, 3, 0, 2}, odd[] = {kStanceVersion, 9, 0, 2, 0};
  bed.guard.note(4, cut, sizeof cut, kNow), bed.guard.note(4, odd, sizeof odd, kNow);
  for (const auto &v : bed.guard.due(kNow).votes) REQUIRE(v.verdict != Verdict::rollBack);
  for (const int fuser : {1, 2, 3}) hear(bed, fuser, Verdict::rollBack);
  for (const auto &v : bed.guard.due(kNow + 6 * kSecond).votes) REQUIRE(v.verdict != Verdict::rollBack);
}

TEST_CASE(
    "a fuser that knows no machine goes by the others") { // scored: with a late list stages stood for 18 s
  Bed bed(smallDeployment(), 1, 0);
  bed.guard.news({2, 0, RolloutPhase::evaluating, 0.1}, kNow);
  REQUIRE(bed.guard.due(kNow).votes.empty());
  hear(bed, 1, Verdict::promote), hear(bed, 2, Verdict::promote);
  const auto votes = bed.guard.due(kNow + kMillisecond).votes;
  REQUIRE(votes.size() == 1);
  REQUIRE(votes[0].verdict == Verdict::promote);
}
