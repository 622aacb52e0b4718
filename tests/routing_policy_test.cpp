// RoutingPolicy: from the receipt of a request to its end.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy_fixture.h"

#include <algorithm>
#include <cmath>

using namespace myrtlehead;

TEST_CASE("a request is finished only once") {
  PolicyFixture fixture;
  Request request = fixture.requestAttemptedAt(fixture.endpoint(0), 2, true);
  REQUIRE(fixture.policy.onAttemptFinished(request, 0, Outcome::timedOut, kSecond, false, kNow).action ==
          RoutingDecision::fail);
  REQUIRE(fixture.policy.onAttemptFinished(request, 0, Outcome::timedOut, kSecond, false, kNow).action ==
          RoutingDecision::none);
  REQUIRE(fixture.policy.route(request, kNow).action == RoutingDecision::none);
}

TEST_CASE("no attempt is sent to an endpoint that is draining or has departed") {
  PolicyFixture fixture(smallDeployment(), 0);
  Endpoint &draining = fixture.add({.build = 1}), &ready = fixture.add({.build = 1});
  fixture.policy.onEndpointUpdate(draining, {.build = 1, .state = EndpointState::draining}, kNow);
  fixture.policy.onEndpointUpdatesApplied(false);
  for (int i = 0; i < 20; ++i) {
    Request request = PolicyFixture::request();
    REQUIRE(fixture.policy.route(request, kNow).endpoint == &ready);
  }
  fixture.policy.onEndpointUpdatesApplied(true); // a complete list that contains neither endpoint
  Request request = PolicyFixture::request();
  REQUIRE(fixture.policy.route(request, kNow).action == RoutingDecision::wait);
}
