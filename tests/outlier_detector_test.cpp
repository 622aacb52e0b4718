// OutlierDetector: who is ejected or suspect.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy_fixture.h"

#include <algorithm>
#include <cmath>

using namespace myrtlehead;

TEST_CASE("an endpoint that fails is ejected and comes back") {
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
  bool back = false;
  for (int i = 0; i < 20; ++i) {
    Request request = PolicyFixture::request();
    back = back || fixture.policy.route(request, later).endpoint == &fixture.endpoint(0);
  }
  REQUIRE(back);
}

// What its former life leaves unanswered is not held against an endpoint that came back with another build.
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

TEST_CASE("no endpoint is ejected where all fail alike") {
  PolicyFixture fixture;
  fixture.endpoint(0).health.failureRate = fixture.endpoint(1).health.failureRate = 0.5;
  for (int i = 0; i < 5; ++i) {
    Request request = fixture.requestAttemptedAt(fixture.endpoint(0), 2, true);
    fixture.policy.onAttemptFinished(request, 0, Outcome::timedOut, kSecond, false, kNow);
  }
  REQUIRE(fixture.endpoint(0).health.ejectedUntil == 0);
}

TEST_CASE("an unresponsive endpoint is passed over") {
  PolicyFixture fixture;
  fixture.internals.meanLatency() = 50e6;
  fixture.endpoint(0).inFlight = 1;
  fixture.endpoint(0).lastOutcomeAt = kNow - kSecond;
  fixture.endpoint(1).inFlight = 3;
  fixture.endpoint(1).lastOutcomeAt = kNow;
  Request request = PolicyFixture::request();
  REQUIRE(fixture.policy.route(request, kNow).endpoint == &fixture.endpoint(1));
}

// A list that has fallen silent may lack departures: whoever served an attempt sent since then is no
// departing endpoint.
TEST_CASE("while the list is out of date only endpoints that have just served are used") {
  PolicyFixture fixture(smallDeployment(), 3);
  Request served = fixture.requestAttemptedAt(fixture.endpoint(1), 0, true),
          turned = fixture.requestAttemptedAt(fixture.endpoint(2), 0, false);
  fixture.policy.onAttemptFinished(served, 0, Outcome::succeeded, 10 * kMillisecond, true,
                                   kNow + 10 * kMillisecond);
  fixture.endpoint(2).health.latestSuccessSentAt = kNow;
  fixture.policy.onAttemptFinished(turned, 0, Outcome::rejected, 10 * kMillisecond, true,
                                   kNow + 10 * kMillisecond);
  for (int i = 0; i < 20; ++i) {
    fixture.policy.requireSuccessSince(kNow - kSecond);
    Request request = PolicyFixture::request();
    REQUIRE(fixture.policy.route(request, kNow).endpoint == &fixture.endpoint(1));
  }
  fixture.policy.requireSuccessSince(kNow + kSecond); // none is known to be there
  Request request = PolicyFixture::request(), far = PolicyFixture::request();
  REQUIRE(fixture.policy.route(request, kNow + kMillisecond).action == RoutingDecision::wait);
  fixture.policy.requireSuccessSince(0);
  REQUIRE(fixture.policy.route(far, kNow + kMillisecond).action == RoutingDecision::forward);
}

// An endpoint whose answers break off now and then keeps its place; one that fails again and again has lost
// it.
TEST_CASE("answers that break off now and then are no lost capacity") {
  for (const bool inARow : {false, true}) {
    PolicyFixture fixture(smallDeployment(), 2);
    for (int i = 0; i < 40; ++i) {
      const bool spoilt = inARow || i % 10 == 0;
      Request request = fixture.requestAttemptedAt(fixture.endpoint(0), 2, true);
      const auto outcome = spoilt ? Outcome::reset : Outcome::succeeded;
      fixture.policy.onAttemptFinished(request, 0, outcome, 10 * kMillisecond, true, kNow + i * kMillisecond);
    }
    REQUIRE((fixture.internals.capacityLossUntil() > kNow) == inARow);
  }
}
