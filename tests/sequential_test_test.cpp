// SequentialTest: evidence against a build, and its reports.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy_fixture.h"

#include <algorithm>
#include <cmath>

using namespace myrtlehead;

TEST_CASE("failures move the ratio by the design's terms") {
  PolicyFixture fixture(smallDeployment(), 1, 1);
  fixture.observe(fixture.endpoint(1), Outcome::failed);
  const double failure = std::log(0.06 / 0.02), success = std::log(0.94 / 0.98);
  REQUIRE(std::abs(fixture.internals.evidence(0).logLikelihoodRatio - failure) < 1e-9);
  fixture.observe(fixture.endpoint(1), Outcome::succeeded);
  REQUIRE(std::abs(fixture.internals.evidence(0).logLikelihoodRatio - failure - success) < 1e-9);
  REQUIRE(fixture.internals.evidence(1).logLikelihoodRatio > 1);
  REQUIRE(fixture.internals.evidence(2).logLikelihoodRatio == 0); // its route's, and no other's
}

TEST_CASE("late answers count as failures, and rejections are no evidence") {
  PolicyFixture fixture(smallDeployment(), 1, 1);
  fixture.observe(fixture.endpoint(1), Outcome::rejected);
  REQUIRE(fixture.internals.evidence(0).logLikelihoodRatio == 0);
  fixture.observe(fixture.endpoint(1), Outcome::succeeded, kSecond);
  REQUIRE(fixture.internals.evidence(0).logLikelihoodRatio > 0);
}

TEST_CASE("only errors of cold endpoints are evidence") {
  PolicyFixture fixture(smallDeployment(), 1, 1);
  fixture.endpoint(1).info.startedAt = kNow - kSecond;
  fixture.observe(fixture.endpoint(1), Outcome::succeeded, kSecond);
  REQUIRE(fixture.internals.evidence(0).logLikelihoodRatio == 0);
  fixture.observe(fixture.endpoint(1), Outcome::failed); // errors speak at any age
  REQUIRE(fixture.internals.evidence(0).logLikelihoodRatio > 0);
}

TEST_CASE("a fault common to both builds moves nothing on average") {
  auto d = smallDeployment();
  d.instanceCount = 1000;
  double sum = 0;
  for (int i = 0; i < 100;
       ++i) { // quiet instances, each with ten outcomes of the earlier build and three of the atCandidate
    PolicyFixture fixture(d, 1, 1);
    fixture.internals.deployment().ownIndex = 999;
    fixture.internals.random().seed(static_cast<std::knuth_b::result_type>(i + 1));
    for (int j = 0; j < 130; ++j) {
      const bool bad = fixture.internals.random()() % 10 < 4;
      fixture.observe(fixture.endpoint(j % 13 < 10 ? 0 : 1), bad ? Outcome::failed : Outcome::succeeded);
    }
    sum += fixture.internals.evidence(0).reportedLogLikelihoodRatio +
           fixture.internals.evidence(0).logLikelihoodRatio;
  }
  REQUIRE(sum < 0);
}

TEST_CASE("reports of small rests keep their mean") {
  auto d = smallDeployment();
  d.rollout.votesToRollBack = d.instanceCount = 60, d.ownIndex = 59;
  int told = 0;
  for (int i = 0; i < 400; ++i) {
    PolicyFixture fixture(d, 1, 1);
    fixture.internals.random().seed(static_cast<std::knuth_b::result_type>(i + 1));
    fixture.internals.evidence(0).logLikelihoodRatio = -0.1;
    fixture.policy.runDueTasks(kNow);
    told += fixture.internals.evidence(0).reportedLogLikelihoodRatio < 0;
    REQUIRE(fixture.internals.evidence(0).logLikelihoodRatio == 0);
  }
  REQUIRE(told > 100);
  REQUIRE(told < 180); // 0.1 of 0.285 of 400
}

TEST_CASE("the baseline sets the expected failure rate") {
  PolicyFixture fixture(smallDeployment(), 1, 1);
  fixture.internals.evidence(0).baselineOutcomes = 100, fixture.internals.evidence(0).baselineFailures = 20;
  fixture.observe(fixture.endpoint(1), Outcome::failed);
  REQUIRE(std::abs(fixture.internals.evidence(0).logLikelihoodRatio - std::log(0.42 / 0.2)) < 1e-9);
}

TEST_CASE("a failure rate that has risen since the offer does not excuse the build") {
  PolicyFixture fixture(smallDeployment(), 1, 1);
  auto &c = fixture.internals.evidence(0);
  c.baselineOutcomes = 100, c.baselineFailures = 40, c.failureRateAtRolloutStart = 0.02;
  fixture.observe(fixture.endpoint(1), Outcome::failed);
  REQUIRE(std::abs(c.logLikelihoodRatio - std::log(0.14 / 0.06)) < 1e-9);
}

TEST_CASE("the first build is the baseline") {
  PolicyFixture fixture;
  for (int i = 0; i < 50; ++i) fixture.observe(fixture.endpoint(0), Outcome::failed);
  REQUIRE(fixture.internals.fused(0).cusum == 0);
  REQUIRE(fixture.internals.evidence(0).baselineFailures > 40);
}

TEST_CASE("a step is reported to each fusion center") {
  PolicyFixture fixture(smallDeployment(), 1, 1);
  fixture.internals.deployment().ownIndex = 1;
  for (int i = 0; i < 2; ++i) fixture.observe(fixture.endpoint(1), Outcome::failed);
  const auto due = fixture.policy.runDueTasks(kNow);
  REQUIRE(due.messages.size() == 5);
  REQUIRE(due.messages[0].to == 0);
  REQUIRE(due.messages[1].to == 2);
  REQUIRE(due.messages[4].to == -1); // pooled and route, two peers; the stance, all
  REQUIRE(fixture.internals.evidence(0).logLikelihoodRatio == 0);
  REQUIRE(fixture.internals.fused(0).cusum > 2);
}

TEST_CASE("one failing route is seen") {
  PolicyFixture fixture(smallDeployment(), 1, 1);
  for (int i = 0; i < 300; ++i)
    fixture.observe(fixture.endpoint(1), i % 30 == 0 ? Outcome::failed : Outcome::succeeded, kMillisecond,
                    i % 30 == 0 ? 1 : 0);
  REQUIRE(fixture.internals.fused(2).cusum > fixture.internals.fused(0).cusum + 5);
}

TEST_CASE("reports of wrong answers convict a build") {
  auto d = smallDeployment();
  d.rollout.wrongAnswerReportShare = 0.3;
  PolicyFixture fixture(d, 1, 1);
  for (int i = 0; i < 8; ++i) fixture.policy.onWrongAnswerReport(fixture.endpoint(1), kSecond, kNow);
  const auto votes = fixture.policy.runDueTasks(kNow).votes;
  REQUIRE(votes.size() == 1);
  REQUIRE(votes[0].verdict == Verdict::rollBack);
}

TEST_CASE("the platform's counts stand in where instances may not send messages") {
  auto d = smallDeployment();
  for (const bool peers : {true, false}) {
    d.hasPeers = peers;
    PolicyFixture fixture(d, 1, 1);
    fixture.policy.onFailureCounts(2, 0, 30, 100, kNow);
    REQUIRE(fixture.internals.isJudgedBad() == !peers);
  }
}

TEST_CASE("lateness while capacity is being lost is no evidence") {
  PolicyFixture fixture(smallDeployment(), 1, 1);
  for (int i = 0; i < 5; ++i) fixture.observe(fixture.endpoint(0), Outcome::unreachable);
  fixture.observe(fixture.endpoint(1), Outcome::succeeded, kSecond);
  REQUIRE(fixture.internals.evidence(0).logLikelihoodRatio <= 0);
  fixture.observe(fixture.endpoint(1), Outcome::failed);
  REQUIRE(fixture.internals.evidence(0).logLikelihoodRatio > 0); // errors still speak
  for (int i = 0; i < 120; ++i) fixture.observe(fixture.endpoint(0), Outcome::succeeded);
  REQUIRE(fixture.internals.connectionLossRate() < 0.05);
  REQUIRE(fixture.internals.capacityLossUntil() > kNow);
  REQUIRE(fixture.internals.capacityLossUntil() <= kNow + 5 * kSecond);
  fixture.internals.capacityLossUntil() = kNow;
  const double before = fixture.internals.evidence(0).logLikelihoodRatio +
                        fixture.internals.evidence(0).reportedLogLikelihoodRatio;
  fixture.observe(fixture.endpoint(1), Outcome::succeeded, kSecond);
  REQUIRE(fixture.internals.evidence(0).logLikelihoodRatio +
              fixture.internals.evidence(0).reportedLogLikelihoodRatio >
          before);
}

TEST_CASE("a new incarnation takes no lateness as evidence at first") {
  RoutingPolicy policy(smallDeployment(), 7, kNow);
  PolicyTestPeer internals(policy);
  REQUIRE(internals.capacityLossUntil() == kNow + 5 * kSecond);
}
