// LoadBalancer: the choice of an endpoint for a request.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy_fixture.h"

#include <algorithm>
#include <cmath>

using namespace myrtlehead;

TEST_CASE("the less loaded of two endpoints is chosen") {
  PolicyFixture fixture;
  fixture.endpoint(0).inFlight = 5;
  for (int i = 0; i < 5; ++i) {
    Request request = PolicyFixture::request();
    REQUIRE(fixture.policy.route(request, kNow).endpoint == &fixture.endpoint(1));
  }
}

TEST_CASE("a slow zone gets one request in twenty") {
  PolicyFixture fixture(smallDeployment(), 0);
  for (int zone : {0, 0, 1, 1}) fixture.add({.build = 1, .zone = zone});
  for (const Nanoseconds farLatency : {50 * kMillisecond, 400 * kMillisecond}) {
    int crossZoneRequests = 0;
    for (int i = 0; i < 40; ++i) { // until the estimates of the quartiles converge
      for (const std::size_t index : {0, 2}) {
        Request request = fixture.requestAttemptedAt(fixture.endpoint(index), 0, true);
        fixture.policy.onAttemptFinished(request, 0, Outcome::succeeded,
                                         index == 0 ? 50 * kMillisecond : farLatency, true, kNow);
      }
    }
    for (int i = 0; i < 200; ++i) {
      Request request = PolicyFixture::request();
      crossZoneRequests += fixture.policy.route(request, kNow).endpoint->info.zone == 1;
    }
    REQUIRE((farLatency > 100 * kMillisecond ? crossZoneRequests < 25 : crossZoneRequests > 60));
  }
}

TEST_CASE("requests are distributed by weight") {
  PolicyFixture fixture(smallDeployment(), 0);
  fixture.add({.build = 1});
  fixture.add({.build = 1, .weight = 0.25});
  int lightRequests = 0;
  for (int i = 0; i < 1000; ++i) {
    auto request = PolicyFixture::request();
    const auto decision = fixture.policy.route(request, kNow);
    lightRequests += decision.endpoint == &fixture.endpoint(1);
    fixture.policy.onAttemptFinished(request, 0, Outcome::succeeded, kMillisecond, true, kNow);
  }
  REQUIRE(lightRequests > 150);
  REQUIRE(lightRequests < 350); // the expected value is one in five, 200
}
