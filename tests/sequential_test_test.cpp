// The mechanism: ratio, step reports, the fusers' CUSUM, the votes.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fixtures.h"

#include <algorithm>
#include <cmath>

using namespace myrtlehead;

static void outcome(PolicyFixture &fixture, Endpoint &n, Outcome o, Nanoseconds took = 100 * kMillisecond,
                    int route = 0) {
  Request request = fixture.requestAttemptedAt(n, route, true);
  request.finished = true; // the client has its answer
  fixture.policy.onAttemptFinished(request, 0, o, took, true, kNow);
}

TEST_CASE("failures move the ratio by the designs terms") {
  PolicyFixture fixture(smallDeployment(), 1, 1);
  outcome(fixture, fixture.endpoint(1), Outcome::failed);
  const double failure = std::log(0.06 / 0.02), success = std::log(0.94 / 0.98);
  REQUIRE(std::abs(fixture.internals.evidence(0).ratio - failure) < 1e-9);
  outcome(fixture, fixture.endpoint(1), Outcome::succeeded);
  REQUIRE(std::abs(fixture.internals.evidence(0).ratio - failure - success) < 1e-9);
  REQUIRE(fixture.internals.evidence(1).ratio > 1);
  REQUIRE(fixture.internals.evidence(2).ratio == 0); // its route's, and no other's
}

TEST_CASE("late answers fail and turned away ones say nothing") {
  PolicyFixture fixture(smallDeployment(), 1, 1);
  outcome(fixture, fixture.endpoint(1), Outcome::rejected);
  REQUIRE(fixture.internals.evidence(0).ratio == 0);
  outcome(fixture, fixture.endpoint(1), Outcome::succeeded, kSecond);
  REQUIRE(fixture.internals.evidence(0).ratio > 0);
}

TEST_CASE("young nodes are no evidence") {
  PolicyFixture fixture(smallDeployment(), 1, 1);
  fixture.endpoint(1).info.startedAt = kNow - kSecond;
  outcome(fixture, fixture.endpoint(1), Outcome::succeeded, kSecond);
  REQUIRE(fixture.internals.evidence(0).ratio == 0);
  outcome(fixture, fixture.endpoint(1), Outcome::failed); // errors speak at any age
  REQUIRE(fixture.internals.evidence(0).ratio > 0);
}

TEST_CASE("common trouble moves nothing on the mean") { // scored: quick errors at any endpoint sent good
                                                        // builds back
  auto d = smallDeployment();
  d.instanceCount = 1000;
  double sum = 0;
  for (int i = 0; i < 100;
       ++i) { // quiet instances, each with ten outcomes of the earlier build and three of the trial
    PolicyFixture fixture(d, 1, 1);
    fixture.internals.deployment().ownIndex = 999;
    fixture.internals.random().seed(static_cast<std::knuth_b::result_type>(i + 1));
    for (int j = 0; j < 130; ++j) {
      const bool bad = fixture.internals.random()() % 10 < 4;
      outcome(fixture, fixture.endpoint(j % 13 < 10 ? 0 : 1), bad ? Outcome::failed : Outcome::succeeded);
    }
    sum += fixture.internals.evidence(0).reportedRatio + fixture.internals.evidence(0).ratio;
  }
  REQUIRE(sum < 0);
}

TEST_CASE("left overs keep their mean") { // scored: failures were told, the small good news was not
  auto d = smallDeployment();
  d.rollout.votesToRollBack = d.instanceCount = 60, d.ownIndex = 59;
  int told = 0;
  for (int i = 0; i < 400; ++i) {
    PolicyFixture fixture(d, 1, 1);
    fixture.internals.random().seed(static_cast<std::knuth_b::result_type>(i + 1));
    fixture.internals.evidence(0).ratio = -0.1;
    fixture.policy.runDueTasks(kNow);
    told += fixture.internals.evidence(0).reportedRatio < 0;
    REQUIRE(fixture.internals.evidence(0).ratio == 0);
  }
  REQUIRE(told > 100);
  REQUIRE(told < 180); // 0.1 of 0.285 of 400
}

TEST_CASE("earlier build sets P0") {
  PolicyFixture fixture(smallDeployment(), 1, 1);
  fixture.internals.evidence(0).baselineOutcomes = 100, fixture.internals.evidence(0).baselineFailures = 20;
  outcome(fixture, fixture.endpoint(1), Outcome::failed);
  REQUIRE(std::abs(fixture.internals.evidence(0).ratio - std::log(0.42 / 0.2)) < 1e-9);
}

TEST_CASE("trouble since the offer does not excuse the build") { // a build may slow old and new alike
  PolicyFixture fixture(smallDeployment(), 1, 1);
  auto &c = fixture.internals.evidence(0);
  c.baselineOutcomes = 100, c.baselineFailures = 40, c.failureRateAtOffer = 0.02;
  outcome(fixture, fixture.endpoint(1), Outcome::failed);
  REQUIRE(std::abs(c.ratio - std::log(0.14 / 0.06)) < 1e-9);
}

TEST_CASE(
    "first build is the measure") { // found on the first incidents: it was judged with nothing to compare
  PolicyFixture fixture;
  for (int i = 0; i < 50; ++i) outcome(fixture, fixture.endpoint(0), Outcome::failed);
  REQUIRE(fixture.internals.fused(0).cusum == 0);
  REQUIRE(fixture.internals.evidence(0).baselineFailures > 40);
}

TEST_CASE("a step is reported to each fuser") {
  PolicyFixture fixture(smallDeployment(), 1, 1);
  fixture.internals.deployment().ownIndex = 1;
  for (int i = 0; i < 2; ++i) outcome(fixture, fixture.endpoint(1), Outcome::failed);
  const auto due = fixture.policy.runDueTasks(kNow);
  REQUIRE(due.messages.size() == 5);
  REQUIRE(due.messages[0].to == 0);
  REQUIRE(due.messages[1].to == 2);
  REQUIRE(due.messages[4].to == -1); // pooled and route, two peers; the stance, all
  REQUIRE(fixture.internals.evidence(0).ratio == 0);
  REQUIRE(fixture.internals.fused(0).cusum > 2);
}

TEST_CASE("notes are fused and malformed ones dropped") {
  PolicyFixture from(smallDeployment(), 1, 1), to(smallDeployment(), 1, 1);
  from.internals.deployment().ownIndex = 2;
  for (int i = 0; i < 2; ++i) outcome(from, from.endpoint(1), Outcome::failed);
  const auto note = from.policy.runDueTasks(kNow).messages.at(0).bytes;
  to.policy.onPeerMessage(2, note.data(), note.size(), kNow);
  REQUIRE(to.internals.fused(0).cusum > 2);
  REQUIRE(to.internals.stageOutcomes() == 2);
  to.policy.onPeerMessage(2, note.data(), note.size(), kNow); // a repeat does no harm
  REQUIRE(to.internals.stageOutcomes() == 2);
  const double before = to.internals.fused(0).cusum;
  auto bad = note;
  bad[0] = 99;
  to.policy.onPeerMessage(2, bad.data(), bad.size(), kNow);
  to.policy.onPeerMessage(2, note.data(), note.size() - 1, kNow);
  to.policy.onPeerMessage(2, note.data(), 0, kNow);
  REQUIRE(to.internals.fused(0).cusum == before);
}

TEST_CASE("restarted fuser hears the totals") {
  PolicyFixture from(smallDeployment(), 1, 10), late(smallDeployment(), 1, 1);
  from.internals.deployment().ownIndex = 2;
  for (std::size_t i = 1; i <= 10; ++i) outcome(from, from.endpoint(i), Outcome::failed);
  const auto notes = from.policy.runDueTasks(kNow).messages;
  const auto &last = notes.at(notes.size() - 4).bytes; // pooled and route, to two fusers each
  late.policy.onPeerMessage(2, last.data(), last.size(), kNow);
  REQUIRE(last[1] == 0);
  REQUIRE(late.internals.fused(0).cusum > 8);
  REQUIRE(late.internals.stageOutcomes() == 10);
}

TEST_CASE("bad build is voted back") {
  PolicyFixture fixture(smallDeployment(), 1, 1);
  for (int i = 0; i < 20; ++i) outcome(fixture, fixture.endpoint(1), Outcome::failed);
  const auto votes = fixture.policy.runDueTasks(kNow).votes;
  REQUIRE(votes.size() == 1);
  REQUIRE(votes[0].verdict == Verdict::rollBack);
  REQUIRE(votes[0].build == 2);
  fixture.policy.onVoteReply(VoteReply::accepted, kNow);
  REQUIRE(fixture.policy.runDueTasks(kNow + kSecond).votes.empty());
  REQUIRE(fixture.policy.runDueTasks(kNow + 5 * kSecond).votes.size() == 1); // renewed within its life
}

TEST_CASE("failing route does not drown") {
  PolicyFixture fixture(smallDeployment(), 1, 1);
  for (int i = 0; i < 300; ++i)
    outcome(fixture, fixture.endpoint(1), i % 30 == 0 ? Outcome::failed : Outcome::succeeded, kMillisecond,
            i % 30 == 0 ? 1 : 0);
  REQUIRE(fixture.internals.fused(2).cusum > fixture.internals.fused(0).cusum + 5);
}

TEST_CASE(
    "a build that stood is the measure") { // scored: a slow link sent a build back long after its release
  PolicyFixture fixture(smallDeployment(), 1, 1, RolloutPhase::released);
  fixture.internals.stageStartedAt() = kNow - 5 * kSecond;
  for (int i = 0; i < 5; ++i) outcome(fixture, fixture.endpoint(1), Outcome::succeeded);
  fixture.policy.runDueTasks(kNow);
  REQUIRE(fixture.internals.isEvaluated()); // it may yet go back
  fixture.policy.runDueTasks(kNow + 4 * kSecond);
  for (int i = 0; i < 50; ++i) outcome(fixture, fixture.endpoint(1), Outcome::failed);
  REQUIRE(!fixture.internals.isEvaluated());
  REQUIRE(fixture.internals.fused(0).cusum <= 0);
}

TEST_CASE("one sick node does not convict its build") { // scored: quick errors at one endpoint of five sent a
                                                        // good one back
  PolicyFixture one(smallDeployment(), 1, 5), all(smallDeployment(), 1, 5);
  for (std::size_t i = 0; i < 5; ++i)
    one.endpoint(i + 1).fingerprint = all.endpoint(i + 1).fingerprint = static_cast<std::uint16_t>(i + 1);
  for (std::size_t i = 0; i < 40; ++i) {
    outcome(one, one.endpoint(1), Outcome::failed);
    outcome(all, all.endpoint(1 + i % 5), Outcome::failed);
  }
  REQUIRE(one.internals.fused(0).cusum > 20);
  REQUIRE(!one.internals.isJudgedBad());
  REQUIRE(all.internals.isJudgedBad());
}

TEST_CASE("flags convict wrong answers") {
  auto d = smallDeployment();
  d.rollout.reportedWrongShare = 0.3;
  PolicyFixture fixture(d, 1, 1);
  for (int i = 0; i < 8; ++i) fixture.policy.onWrongAnswerReport(fixture.endpoint(1), kSecond, kNow);
  const auto votes = fixture.policy.runDueTasks(kNow).votes;
  REQUIRE(votes.size() == 1);
  REQUIRE(votes[0].verdict == Verdict::rollBack);
}

TEST_CASE("tallies stand in where peers may not speak") {
  auto d = smallDeployment();
  for (const bool peers : {true, false}) {
    d.hasPeers = peers;
    PolicyFixture fixture(d, 1, 1);
    fixture.policy.onFailureCounts(2, 0, 30, 100, kNow);
    REQUIRE(fixture.internals.isJudgedBad() == !peers);
  }
}

TEST_CASE("clock is held in doubt") {
  auto d = smallDeployment();
  d.rollout.control = RolloutControl::timer;
  PolicyFixture fixture(d, 1, 1);
  fixture.internals.fused(0).cusum = 5;
  const auto votes = fixture.policy.runDueTasks(kNow).votes;
  REQUIRE(votes.size() == 1);
  REQUIRE(votes[0].verdict == Verdict::hold);
}

TEST_CASE("untaken vote is sent again") {
  PolicyFixture fixture(smallDeployment(), 1, 1);
  fixture.internals.isJudgedBad() = true;
  REQUIRE(fixture.policy.runDueTasks(kNow).votes.size() == 1);
  REQUIRE(fixture.policy.runDueTasks(kNow + 100 * kMillisecond).votes.empty()); // its answer is out
  fixture.policy.onVoteReply(VoteReply::rateLimited, kNow + 200 * kMillisecond);
  REQUIRE(fixture.policy.runDueTasks(kNow + 250 * kMillisecond).votes.empty());
  REQUIRE(fixture.policy.runDueTasks(kNow + 2 * kSecond).votes.size() == 1);
}

TEST_CASE("no vote on before the stages machines are seen") { // found on a day with a late list
  PolicyFixture fixture(smallDeployment(), 1, 1);
  fixture.endpoint(1).info.startedAt = kNow - 10 * kSecond;
  fixture.internals.stageStartedAt() = kNow - 5 * kSecond;
  REQUIRE(fixture.policy.runDueTasks(kNow).votes.empty());
  fixture.endpoint(1).info.startedAt = kNow - 4 * kSecond;
  const auto votes = fixture.policy.runDueTasks(kNow + kMillisecond).votes;
  REQUIRE(votes.size() == 1);
  REQUIRE(votes[0].verdict == Verdict::promote);
}

TEST_CASE(
    "machines that have just come excuse nobody") { // scored: a bad build got 25 more, and stood 5 s longer
  PolicyFixture fixture(smallDeployment(), 1, 5);
  for (std::size_t i = 1; i <= 5; ++i) fixture.endpoint(i).fingerprint = static_cast<std::uint16_t>(i);
  for (int i = 0; i < 20; ++i) fixture.add({.build = 2, .startedAt = kNow - kSecond});
  for (std::size_t i = 0; i < 40; ++i) outcome(fixture, fixture.endpoint(1 + i % 5), Outcome::failed);
  REQUIRE(fixture.internals.isJudgedBad());
}

// Scored: a zone was lost, the rest bore its load, and a good build was judged bad by 2,350 outcomes.
TEST_CASE("lateness while places are lost is no evidence") {
  PolicyFixture fixture(smallDeployment(), 1, 1);
  for (int i = 0; i < 5; ++i) outcome(fixture, fixture.endpoint(0), Outcome::unreachable);
  outcome(fixture, fixture.endpoint(1), Outcome::succeeded, kSecond);
  REQUIRE(fixture.internals.evidence(0).ratio <= 0);
  outcome(fixture, fixture.endpoint(1), Outcome::failed);
  REQUIRE(fixture.internals.evidence(0).ratio > 0); // errors still speak
  for (int i = 0; i < 120; ++i) outcome(fixture, fixture.endpoint(0), Outcome::succeeded);
  REQUIRE(fixture.internals.connectionLossRate() < 0.05);
  REQUIRE(fixture.internals.capacityLossUntil() > kNow);
  REQUIRE(fixture.internals.capacityLossUntil() <= kNow + 5 * kSecond);
  fixture.internals.capacityLossUntil() = kNow;
  const double before = fixture.internals.evidence(0).ratio + fixture.internals.evidence(0).reportedRatio;
  outcome(fixture, fixture.endpoint(1), Outcome::succeeded, kSecond);
  REQUIRE(fixture.internals.evidence(0).ratio + fixture.internals.evidence(0).reportedRatio > before);
}

TEST_CASE("a new life does not blame lateness") { // scored: 33 restarted instances convicted a build of their
                                                  // own crowding
  RoutingPolicy policy(smallDeployment(), 7, kNow);
  PolicyTestPeer internals(policy);
  REQUIRE(internals.capacityLossUntil() == kNow + 5 * kSecond);
}

TEST_CASE("a stance is kept in slight doubt") { // scored: y 10.5 of 19.6 took 50 votes back half a second
                                                // before a release
  for (const auto &[y, on] : {std::pair{3.0, true}, {5.5, true}, {7.5, false}}) {
    PolicyFixture fixture(smallDeployment(), 1, 1);
    fixture.policy.runDueTasks(kNow);
    REQUIRE(fixture.internals.announced() == (Vote{Verdict::promote, 2, 0}));
    fixture.internals.fused(0).cusum = y;
    fixture.policy.runDueTasks(kNow + kMillisecond);
    REQUIRE((fixture.internals.announced().verdict == Verdict::promote) == on);
  }
  PolicyFixture fresh(smallDeployment(), 1, 1);
  fresh.internals.fused(0).cusum = 5.5;
  fresh.policy.runDueTasks(kNow);
  REQUIRE(fresh.internals.announced().verdict == Verdict::abstain); // what was not said is not said in doubt
}
