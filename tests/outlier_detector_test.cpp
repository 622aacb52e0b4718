// OutlierDetector: which endpoints are ejected or suspect.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy_fixture.h"

#include <algorithm>
#include <cmath>

using namespace myrtlehead;

TEST_CASE("a failing endpoint is ejected and used again after the ejection") {
  PolicyFixture fixture(smallDeployment(), 4);
  for (int i = 0; i < 3; ++i) {
    Request request = fixture.requestAttemptedAt(fixture.endpoint(0), 2, true);
    fixture.policy.onAttemptFinished(request, 0, Outcome::timedOut, kSecond, false, kNow);
  }
  REQUIRE(fixture.endpoint(0).health.ejectedUntil > kNow);
  REQUIRE(fixture.endpoint(0).health.ejectedUntil <= kNow + kSecond);
  for (int i = 0; i < 20; ++i) {
    Request request = PolicyFixture::request();
    REQUIRE(fixture.policy.route(request, kNow).endpoint != &fixture.endpoint(0));
  }
  const Nanoseconds later = kNow + kSecond;
  for (std::size_t i = 1; i < 4; ++i) fixture.endpoint(i).inFlight = 200;
  bool isUsedAgain = false;
  for (int i = 0; i < 20; ++i) {
    Request request = PolicyFixture::request();
    isUsedAgain = isUsedAgain || fixture.policy.route(request, later).endpoint == &fixture.endpoint(0);
  }
  REQUIRE(isUsedAgain);
}

// A restarted endpoint must not be ejected because attempts sent before its restart were reset.
TEST_CASE("outcomes of an earlier incarnation are not counted against an endpoint") {
  PolicyFixture fixture(smallDeployment(), 4);
  for (int i = 0; i < 3; ++i) {
    Request request = fixture.requestAttemptedAt(fixture.endpoint(0), 0, true);
    fixture.policy.onEndpointUpdate(fixture.endpoint(0), {.build = 1, .startedAt = kNow + kMillisecond},
                                    kNow + kMillisecond);
    fixture.policy.onAttemptFinished(request, 0, Outcome::reset, kMillisecond, false,
                                     kNow + 2 * kMillisecond);
  }
  REQUIRE(fixture.endpoint(0).health.consecutiveFailures == 0);
  REQUIRE(fixture.endpoint(0).health.ejectedUntil == 0);
  REQUIRE(fixture.endpoint(0).health.failureRate == 0);
}

TEST_CASE("no endpoint is ejected if all endpoints fail equally often") {
  PolicyFixture fixture;
  fixture.endpoint(0).health.failureRate = fixture.endpoint(1).health.failureRate = 0.5;
  for (int i = 0; i < 5; ++i) {
    Request request = fixture.requestAttemptedAt(fixture.endpoint(0), 2, true);
    fixture.policy.onAttemptFinished(request, 0, Outcome::timedOut, kSecond, false, kNow);
  }
  REQUIRE(fixture.endpoint(0).health.ejectedUntil == 0);
}

TEST_CASE("an unresponsive endpoint is not used") {
  PolicyFixture fixture;
  fixture.internals.meanLatency() = 50e6;
  fixture.endpoint(0).inFlight = 1;
  fixture.endpoint(0).lastOutcomeAt = kNow - kSecond;
  fixture.endpoint(1).inFlight = 3;
  fixture.endpoint(1).lastOutcomeAt = kNow;
  Request request = PolicyFixture::request();
  REQUIRE(fixture.policy.route(request, kNow).endpoint == &fixture.endpoint(1));
}

// An endpoint list without updates may still contain departed endpoints. An endpoint that has answered an
// attempt sent since the last update had not departed when it received the attempt.
TEST_CASE("while the list is out of date only endpoints with a recent success are used") {
  PolicyFixture fixture(smallDeployment(), 3);
  Request served = fixture.requestAttemptedAt(fixture.endpoint(1), 0, true),
          rejected = fixture.requestAttemptedAt(fixture.endpoint(2), 0, false);
  fixture.policy.onAttemptFinished(served, 0, Outcome::succeeded, 10 * kMillisecond, true,
                                   kNow + 10 * kMillisecond);
  fixture.endpoint(2).health.latestSuccessSentAt = kNow;
  fixture.policy.onAttemptFinished(rejected, 0, Outcome::rejected, 10 * kMillisecond, true,
                                   kNow + 10 * kMillisecond);
  for (int i = 0; i < 20; ++i) {
    fixture.policy.requireSuccessSince(kNow - kSecond);
    Request request = PolicyFixture::request();
    REQUIRE(fixture.policy.route(request, kNow).endpoint == &fixture.endpoint(1));
  }
  fixture.policy.requireSuccessSince(kNow + kSecond); // no endpoint has a success since then
  Request waiting = PolicyFixture::request(), forwarded = PolicyFixture::request();
  REQUIRE(fixture.policy.route(waiting, kNow + kMillisecond).action == RoutingDecision::wait);
  fixture.policy.requireSuccessSince(0);
  REQUIRE(fixture.policy.route(forwarded, kNow + kMillisecond).action == RoutingDecision::forward);
}

// Occasional resets of answers must not count as a loss of capacity; consecutive resets must.
TEST_CASE("only consecutive resets count as a loss of capacity") {
  for (const bool isConsecutive : {false, true}) {
    PolicyFixture fixture(smallDeployment(), 2);
    for (int i = 0; i < 40; ++i) {
      const bool isReset = isConsecutive || i % 10 == 0;
      Request request = fixture.requestAttemptedAt(fixture.endpoint(0), 2, true);
      const auto outcome = isReset ? Outcome::reset : Outcome::succeeded;
      fixture.policy.onAttemptFinished(request, 0, outcome, 10 * kMillisecond, true, kNow + i * kMillisecond);
    }
    REQUIRE((fixture.internals.capacityLossUntil() > kNow) == isConsecutive);
  }
}
