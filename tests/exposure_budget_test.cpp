// ExposureBudget: attempts at candidate builds.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy_fixture.h"

#include <algorithm>
#include <cmath>

using namespace myrtlehead;

// An endpoint whose build names do not tell is on atCandidate for ever: within the first stage's cap, no
// evidence, and not for a key that may not return to an earlier build.
TEST_CASE("an unknown build never exceeds the cap") {
  PolicyFixture b;
  b.add({.build = kUnknownBuild});
  b.endpoint(0).inFlight = b.endpoint(1).inFlight = 9; // or it would not be needed
  b.internals.exposureCredits() = {2};
  int tried = 0;
  for (int i = 0; i < 400; ++i) {
    auto request = PolicyFixture::request();
    const Nanoseconds now = kNow + i * 10 * kMillisecond;
    request.receivedAt = now, request.deadline = now + kSecond;
    b.endpoint(0).lastOutcomeAt = b.endpoint(1).lastOutcomeAt = now;
    const auto decision = b.policy.route(request, now);
    tried += decision.endpoint == &b.endpoint(2);
    b.policy.onAttemptFinished(request, 0, Outcome::succeeded, kMillisecond, true, now);
  }
  REQUIRE(tried > 0);
  REQUIRE(tried <= 2 + 400 * 0.1);
  for (const auto &fused : b.internals.allFused()) REQUIRE(fused.cusum == 0);
  for (const auto &evidence : b.internals.allEvidence()) REQUIRE(evidence.reportedOutcomes == 0);
  auto d = smallDeployment();
  d.rollout.stickyKeys = true;
  PolicyFixture keyed(d, 0);
  keyed.add({.build = kUnknownBuild});
  auto request = PolicyFixture::request();
  request.key = 7;
  REQUIRE(keyed.policy.route(request, kNow).action != RoutingDecision::forward);
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
  REQUIRE(atCandidate <= 20); // 0.1 of 200, and nothing saved up from before
}

TEST_CASE("a build whose cap is 0 gets nothing") {
  for (const auto phase : {RolloutPhase::rollingBack, RolloutPhase::withdrawn}) {
    PolicyFixture fixture(smallDeployment(), 0, 2, phase);
    fixture.internals.rolloutState().exposureCap = 0, fixture.internals.exposureCredits()[0] = 2;
    Request request = PolicyFixture::request();
    REQUIRE(fixture.policy.route(request, kNow).action == RoutingDecision::wait);
  }
}

TEST_CASE("a rollback uses the cap while nothing else is ready") {
  PolicyFixture fixture(smallDeployment(), 0, 2, RolloutPhase::rollingBack);
  fixture.internals.rolloutState().exposureCap = 0.8, fixture.internals.exposureCredits()[0] = 2;
  Request request = PolicyFixture::request();
  REQUIRE(fixture.policy.route(request, kNow).action == RoutingDecision::forward);
}

TEST_CASE("a build that is not announced yet counts as in its first stage") {
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

TEST_CASE("idempotent-only stages get idempotent requests only") {
  auto d = smallDeployment();
  d.rollout.idempotentOnlyStages = 1;
  for (const int route : {0, 1, 2}) {
    PolicyFixture fixture(d, 0, 2);
    fixture.internals.exposureCredits()[0] = 2;
    Request request = PolicyFixture::request(route);
    REQUIRE((fixture.policy.route(request, kNow).action == RoutingDecision::forward) == (route == 0));
  }
}
