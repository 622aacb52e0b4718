// The mechanism: ratio, step reports, the fusers' CUSUM, the votes.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fixtures.h"

#include <algorithm>
#include <cmath>

using namespace myrtlehead;

static void outcome(Bed &bed, Endpoint &n, Outcome o, Nanoseconds took = 100 * kMillisecond, int route = 0) {
  Request rq = bed.triedAt(n, route, true);
  rq.ended = true; // the client has its answer
  bed.guard.after(rq, 0, o, took, true, kNow);
}

TEST_CASE("failures move the ratio by the designs terms") {
  Bed bed(smallDeployment(), 1, 1);
  outcome(bed, bed.node(1), Outcome::failed);
  const double failure = std::log(0.06 / 0.02), success = std::log(0.94 / 0.98);
  REQUIRE(std::abs(bed.guard.s.channels[0].ratio - failure) < 1e-9);
  outcome(bed, bed.node(1), Outcome::succeeded);
  REQUIRE(std::abs(bed.guard.s.channels[0].ratio - failure - success) < 1e-9);
  REQUIRE(bed.guard.s.channels[1].ratio > 1);
  REQUIRE(bed.guard.s.channels[2].ratio == 0); // its route's, and no other's
}

TEST_CASE("late answers fail and turned away ones say nothing") {
  Bed bed(smallDeployment(), 1, 1);
  outcome(bed, bed.node(1), Outcome::rejected);
  REQUIRE(bed.guard.s.channels[0].ratio == 0);
  outcome(bed, bed.node(1), Outcome::succeeded, kSecond);
  REQUIRE(bed.guard.s.channels[0].ratio > 0);
}

TEST_CASE("young nodes are no evidence") {
  Bed bed(smallDeployment(), 1, 1);
  bed.node(1).info.startedAt = kNow - kSecond;
  outcome(bed, bed.node(1), Outcome::succeeded, kSecond);
  REQUIRE(bed.guard.s.channels[0].ratio == 0);
  outcome(bed, bed.node(1), Outcome::failed); // errors speak at any age
  REQUIRE(bed.guard.s.channels[0].ratio > 0);
}

TEST_CASE("common trouble moves nothing on the mean") { // scored: quick errors at any endpoint sent good
                                                        // builds back
  auto d = smallDeployment();
  d.instanceCount = 1000;
  double sum = 0;
  for (int i = 0; i < 100;
       ++i) { // quiet instances, each with ten outcomes of the earlier build and three of the trial
    Bed bed(d, 1, 1);
    bed.guard.s.d.ownIndex = 999;
    bed.guard.s.chance.seed(static_cast<std::knuth_b::result_type>(i + 1));
    for (int j = 0; j < 130; ++j) {
      const bool bad = bed.guard.s.chance() % 10 < 4;
      outcome(bed, bed.node(j % 13 < 10 ? 0 : 1), bad ? Outcome::failed : Outcome::succeeded);
    }
    sum += bed.guard.s.channels[0].total + bed.guard.s.channels[0].ratio;
  }
  REQUIRE(sum < 0);
}

TEST_CASE("left overs keep their mean") { // scored: failures were told, the small good news was not
  auto d = smallDeployment();
  d.rollout.votesToRollBack = d.instanceCount = 60, d.ownIndex = 59;
  int told = 0;
  for (int i = 0; i < 400; ++i) {
    Bed bed(d, 1, 1);
    bed.guard.s.chance.seed(static_cast<std::knuth_b::result_type>(i + 1));
    bed.guard.s.channels[0].ratio = -0.1;
    bed.guard.due(kNow);
    told += bed.guard.s.channels[0].total < 0;
    REQUIRE(bed.guard.s.channels[0].ratio == 0);
  }
  REQUIRE(told > 100);
  REQUIRE(told < 180); // 0.1 of 0.285 of 400
}

TEST_CASE("earlier build sets P0") {
  Bed bed(smallDeployment(), 1, 1);
  bed.guard.s.channels[0].earlierSeen = 100, bed.guard.s.channels[0].earlierFailed = 20;
  outcome(bed, bed.node(1), Outcome::failed);
  REQUIRE(std::abs(bed.guard.s.channels[0].ratio - std::log(0.42 / 0.2)) < 1e-9);
}

TEST_CASE("trouble since the offer does not excuse the build") { // a build may slow old and new alike
  Bed bed(smallDeployment(), 1, 1);
  auto &c = bed.guard.s.channels[0];
  c.earlierSeen = 100, c.earlierFailed = 40, c.before = 0.02;
  outcome(bed, bed.node(1), Outcome::failed);
  REQUIRE(std::abs(c.ratio - std::log(0.14 / 0.06)) < 1e-9);
}

TEST_CASE(
    "first build is the measure") { // found on the first incidents: it was judged with nothing to compare
  Bed bed;
  for (int i = 0; i < 50; ++i) outcome(bed, bed.node(0), Outcome::failed);
  REQUIRE(bed.guard.s.channels[0].y == 0);
  REQUIRE(bed.guard.s.channels[0].earlierFailed > 40);
}

TEST_CASE("a step is reported to each fuser") {
  Bed bed(smallDeployment(), 1, 1);
  bed.guard.s.d.ownIndex = 1;
  for (int i = 0; i < 2; ++i) outcome(bed, bed.node(1), Outcome::failed);
  const auto due = bed.guard.due(kNow);
  REQUIRE(due.notes.size() == 5);
  REQUIRE(due.notes[0].to == 0);
  REQUIRE(due.notes[1].to == 2);
  REQUIRE(due.notes[4].to == -1); // pooled and route, two peers; the stance, all
  REQUIRE(bed.guard.s.channels[0].ratio == 0);
  REQUIRE(bed.guard.s.channels[0].y > 2);
}

TEST_CASE("notes are fused and malformed ones dropped") {
  Bed from(smallDeployment(), 1, 1), to(smallDeployment(), 1, 1);
  from.guard.s.d.ownIndex = 2;
  for (int i = 0; i < 2; ++i) outcome(from, from.node(1), Outcome::failed);
  const auto note = from.guard.due(kNow).notes.at(0).bytes;
  to.guard.note(2, note.data(), note.size(), kNow);
  REQUIRE(to.guard.s.channels[0].y > 2);
  REQUIRE(to.guard.s.stageOutcomes == 2);
  to.guard.note(2, note.data(), note.size(), kNow); // a repeat does no harm
  REQUIRE(to.guard.s.stageOutcomes == 2);
  const double before = to.guard.s.channels[0].y;
  auto bad = note;
  bad[0] = 99;
  to.guard.note(2, bad.data(), bad.size(), kNow);
  to.guard.note(2, note.data(), note.size() - 1, kNow);
  to.guard.note(2, note.data(), 0, kNow);
  REQUIRE(to.guard.s.channels[0].y == before);
}

TEST_CASE("restarted fuser hears the totals") {
  Bed from(smallDeployment(), 1, 10), late(smallDeployment(), 1, 1);
  from.guard.s.d.ownIndex = 2;
  for (std::size_t i = 1; i <= 10; ++i) outcome(from, from.node(i), Outcome::failed);
  const auto notes = from.guard.due(kNow).notes;
  const auto &last = notes.at(notes.size() - 4).bytes; // pooled and route, to two fusers each
  late.guard.note(2, last.data(), last.size(), kNow);
  REQUIRE(last[1] == 0);
  REQUIRE(late.guard.s.channels[0].y > 8);
  REQUIRE(late.guard.s.stageOutcomes == 10);
}

TEST_CASE("bad build is voted back") {
  Bed bed(smallDeployment(), 1, 1);
  for (int i = 0; i < 20; ++i) outcome(bed, bed.node(1), Outcome::failed);
  const auto votes = bed.guard.due(kNow).votes;
  REQUIRE(votes.size() == 1);
  REQUIRE(votes[0].verdict == Verdict::rollBack);
  REQUIRE(votes[0].build == 2);
  bed.guard.voteAnswered(VoteReply::accepted, kNow);
  REQUIRE(bed.guard.due(kNow + kSecond).votes.empty());
  REQUIRE(bed.guard.due(kNow + 5 * kSecond).votes.size() == 1); // renewed within its life
}

TEST_CASE("failing route does not drown") {
  Bed bed(smallDeployment(), 1, 1);
  for (int i = 0; i < 300; ++i)
    outcome(bed, bed.node(1), i % 30 == 0 ? Outcome::failed : Outcome::succeeded, kMillisecond,
            i % 30 == 0 ? 1 : 0);
  REQUIRE(bed.guard.s.channels[2].y > bed.guard.s.channels[0].y + 5);
}

TEST_CASE(
    "a build that stood is the measure") { // scored: a slow link sent a build back long after its release
  Bed bed(smallDeployment(), 1, 1, RolloutPhase::released);
  bed.guard.s.stageAt = kNow - 5 * kSecond;
  for (int i = 0; i < 5; ++i) outcome(bed, bed.node(1), Outcome::succeeded);
  bed.guard.due(kNow);
  REQUIRE(bed.guard.s.tried); // it may yet go back
  bed.guard.due(kNow + 4 * kSecond);
  for (int i = 0; i < 50; ++i) outcome(bed, bed.node(1), Outcome::failed);
  REQUIRE(!bed.guard.s.tried);
  REQUIRE(bed.guard.s.channels[0].y <= 0);
}

TEST_CASE("one sick node does not convict its build") { // scored: quick errors at one endpoint of five sent a
                                                        // good one back
  Bed one(smallDeployment(), 1, 5), all(smallDeployment(), 1, 5);
  for (std::size_t i = 0; i < 5; ++i)
    one.node(i + 1).mark = all.node(i + 1).mark = static_cast<std::uint16_t>(i + 1);
  for (std::size_t i = 0; i < 40; ++i) {
    outcome(one, one.node(1), Outcome::failed);
    outcome(all, all.node(1 + i % 5), Outcome::failed);
  }
  REQUIRE(one.guard.s.channels[0].y > 20);
  REQUIRE(!one.guard.s.against);
  REQUIRE(all.guard.s.against);
}

TEST_CASE("flags convict wrong answers") {
  auto d = smallDeployment();
  d.rollout.reportedWrongShare = 0.3;
  Bed bed(d, 1, 1);
  for (int i = 0; i < 8; ++i) bed.guard.flagged(bed.node(1), 0, kSecond, kNow);
  const auto votes = bed.guard.due(kNow).votes;
  REQUIRE(votes.size() == 1);
  REQUIRE(votes[0].verdict == Verdict::rollBack);
}

TEST_CASE("tallies stand in where peers may not speak") {
  auto d = smallDeployment();
  for (const bool peers : {true, false}) {
    d.hasPeers = peers;
    Bed bed(d, 1, 1);
    bed.guard.tallied(2, 0, 30, 100, 0, kNow);
    REQUIRE(bed.guard.s.against == !peers);
  }
}

TEST_CASE("clock is held in doubt") {
  auto d = smallDeployment();
  d.rollout.control = RolloutControl::timer;
  Bed bed(d, 1, 1);
  bed.guard.s.channels[0].y = 5;
  const auto votes = bed.guard.due(kNow).votes;
  REQUIRE(votes.size() == 1);
  REQUIRE(votes[0].verdict == Verdict::hold);
}

TEST_CASE("untaken vote is sent again") {
  Bed bed(smallDeployment(), 1, 1);
  bed.guard.s.against = true;
  REQUIRE(bed.guard.due(kNow).votes.size() == 1);
  REQUIRE(bed.guard.due(kNow + 100 * kMillisecond).votes.empty()); // its answer is out
  bed.guard.voteAnswered(VoteReply::rateLimited, kNow + 200 * kMillisecond);
  REQUIRE(bed.guard.due(kNow + 250 * kMillisecond).votes.empty());
  REQUIRE(bed.guard.due(kNow + 2 * kSecond).votes.size() == 1);
}

TEST_CASE("no vote on before the stages machines are seen") { // found on a day with a late list
  Bed bed(smallDeployment(), 1, 1);
  bed.node(1).info.startedAt = kNow - 10 * kSecond;
  bed.guard.s.stageAt = kNow - 5 * kSecond;
  REQUIRE(bed.guard.due(kNow).votes.empty());
  bed.node(1).info.startedAt = kNow - 4 * kSecond;
  const auto votes = bed.guard.due(kNow + kMillisecond).votes;
  REQUIRE(votes.size() == 1);
  REQUIRE(votes[0].verdict == Verdict::promote);
}

TEST_CASE(
    "machines that have just come excuse nobody") { // scored: a bad build got 25 more, and stood 5 s longer
  Bed bed(smallDeployment(), 1, 5);
  for (std::size_t i = 1; i <= 5; ++i) bed.node(i).mark = static_cast<std::uint16_t>(i);
  for (int i = 0; i < 20; ++i) bed.list({.build = 2, .startedAt = kNow - kSecond});
  for (std::size_t i = 0; i < 40; ++i) outcome(bed, bed.node(1 + i % 5), Outcome::failed);
  REQUIRE(bed.guard.s.against);
}

// Scored: a zone was lost, the rest bore its load, and a good build was judged bad by 2,350 outcomes.
TEST_CASE("lateness while places are lost is no evidence") {
  Bed bed(smallDeployment(), 1, 1);
  for (int i = 0; i < 5; ++i) outcome(bed, bed.node(0), Outcome::unreachable);
  outcome(bed, bed.node(1), Outcome::succeeded, kSecond);
  REQUIRE(bed.guard.s.channels[0].ratio <= 0);
  outcome(bed, bed.node(1), Outcome::failed);
  REQUIRE(bed.guard.s.channels[0].ratio > 0); // errors still speak
  for (int i = 0; i < 120; ++i) outcome(bed, bed.node(0), Outcome::succeeded);
  REQUIRE(bed.guard.s.lost < 0.05);
  REQUIRE(bed.guard.s.lostUntil > kNow);
  REQUIRE(bed.guard.s.lostUntil <= kNow + 5 * kSecond);
  bed.guard.s.lostUntil = kNow;
  const double before = bed.guard.s.channels[0].ratio + bed.guard.s.channels[0].total;
  outcome(bed, bed.node(1), Outcome::succeeded, kSecond);
  REQUIRE(bed.guard.s.channels[0].ratio + bed.guard.s.channels[0].total > before);
}

TEST_CASE("a new life does not blame lateness") { // scored: 33 restarted instances convicted a build of their
                                                  // own crowding
  Guard guard(smallDeployment(), 7, kNow);
  REQUIRE(guard.s.lostUntil == kNow + 5 * kSecond);
}

TEST_CASE("a stance is kept in slight doubt") { // scored: y 10.5 of 19.6 took 50 votes back half a second
                                                // before a release
  for (const auto &[y, on] : {std::pair{3.0, true}, {5.5, true}, {7.5, false}}) {
    Bed bed(smallDeployment(), 1, 1);
    bed.guard.due(kNow);
    REQUIRE(bed.guard.s.said == (Vote{Verdict::promote, 2, 0}));
    bed.guard.s.channels[0].y = y;
    bed.guard.due(kNow + kMillisecond);
    REQUIRE((bed.guard.s.said.verdict == Verdict::promote) == on);
  }
  Bed fresh(smallDeployment(), 1, 1);
  fresh.guard.s.channels[0].y = 5.5;
  fresh.guard.due(kNow);
  REQUIRE(fresh.guard.s.said.verdict == Verdict::abstain); // what was not said is not said in doubt
}
