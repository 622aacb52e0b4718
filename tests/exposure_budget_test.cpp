// ExposureBudget: the limit on attempts at candidate builds.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy_fixture.h"

#include <algorithm>
#include <cmath>

using namespace myrtlehead;

// An endpoint whose build is unknown always counts as a candidate: its attempts stay within the cap of the
// first stage, its outcomes are no evidence, and it serves no request with a key if keys are sticky.
TEST_CASE("an unknown build never exceeds the cap") {
  PolicyFixture fixture;
  fixture.add({.build = kUnknownBuild});
  // With idle baseline endpoints, the endpoint would not be chosen.
  fixture.endpoint(0).inFlight = fixture.endpoint(1).inFlight = 9;
  fixture.internals.exposureCredits() = {2};
  int attempts = 0;
  for (int i = 0; i < 400; ++i) {
    auto request = PolicyFixture::request();
    const Nanoseconds now = kNow + i * 10 * kMillisecond;
    request.receivedAt = now, request.deadline = now + kSecond;
    fixture.endpoint(0).lastOutcomeAt = fixture.endpoint(1).lastOutcomeAt = now;
    const auto decision = fixture.policy.route(request, now);
    attempts += decision.endpoint == &fixture.endpoint(2);
    fixture.policy.onAttemptFinished(request, 0, Outcome::succeeded, kMillisecond, true, now);
  }
  REQUIRE(attempts > 0);
  REQUIRE(attempts <= 2 + 400 * 0.1);
  for (const auto &fused : fixture.internals.allFused()) REQUIRE(fused.cusum == 0);
  for (const auto &evidence : fixture.internals.allEvidence()) REQUIRE(evidence.reportedOutcomes == 0);
  auto d = smallDeployment();
  d.rollout.stickyKeys = true;
  PolicyFixture sticky(d, 0);
  sticky.add({.build = kUnknownBuild});
  auto request = PolicyFixture::request();
  request.key = 7;
  REQUIRE(sticky.policy.route(request, kNow).action != RoutingDecision::forward);
}

TEST_CASE("exposure stays within the cap") {
  PolicyFixture fixture(smallDeployment(), 30, 30);
  int atCandidate = 0;
  for (int i = 0; i < 200; ++i) {
    Request request = PolicyFixture::request();
    const RoutingDecision decision = fixture.policy.route(request, kNow + i * 10 * kMillisecond);
    atCandidate += decision.action == RoutingDecision::forward && decision.endpoint->info.build == 2;
  }
  REQUIRE(atCandidate > 15);
  REQUIRE(atCandidate <= 20); // 0.1 * 200; the credit starts at 0
}

TEST_CASE("a build with a cap of 0 receives no requests") {
  for (const auto phase : {RolloutPhase::rollingBack, RolloutPhase::withdrawn}) {
    PolicyFixture fixture(smallDeployment(), 0, 2, phase);
    fixture.internals.rolloutState().exposureCap = 0, fixture.internals.exposureCredits()[0] = 2;
    Request request = PolicyFixture::request();
    REQUIRE(fixture.policy.route(request, kNow).action == RoutingDecision::wait);
  }
}

TEST_CASE("a build that is being rolled back is used up to the cap if no other is ready") {
  PolicyFixture fixture(smallDeployment(), 0, 2, RolloutPhase::rollingBack);
  fixture.internals.rolloutState().exposureCap = 0.8, fixture.internals.exposureCredits()[0] = 2;
  Request request = PolicyFixture::request();
  REQUIRE(fixture.policy.route(request, kNow).action == RoutingDecision::forward);
}

TEST_CASE("a build that is not announced yet has the cap of the first stage") {
  PolicyFixture fixture(smallDeployment(), 5);
  for (int i = 0; i < 5; ++i) fixture.add({.build = 3});
  int atCandidate = 0;
  for (int i = 0; i < 100; ++i) {
    Request request = PolicyFixture::request();
    atCandidate += fixture.policy.route(request, kNow + i * 10 * kMillisecond).endpoint->info.build == 3;
  }
  REQUIRE(atCandidate > 0);
  REQUIRE(atCandidate <= 10);
}

TEST_CASE("candidates in idempotent-only stages receive idempotent requests only") {
  auto d = smallDeployment();
  d.rollout.idempotentOnlyStages = 1;
  for (const int route : {0, 1, 2}) {
    PolicyFixture fixture(d, 0, 2);
    fixture.internals.exposureCredits()[0] = 2;
    Request request = PolicyFixture::request(route);
    REQUIRE((fixture.policy.route(request, kNow).action == RoutingDecision::forward) == (route == 0));
  }
}
