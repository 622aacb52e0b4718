// RoutingPolicy: the life of a request.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy_fixture.h"

#include <algorithm>
#include <cmath>

using namespace myrtlehead;

TEST_CASE("a request ends once") {
  PolicyFixture fixture;
  Request request = fixture.requestAttemptedAt(fixture.endpoint(0), 2, true);
  REQUIRE(fixture.policy.onAttemptFinished(request, 0, Outcome::timedOut, kSecond, false, kNow).action ==
          RoutingDecision::fail);
  REQUIRE(fixture.policy.onAttemptFinished(request, 0, Outcome::timedOut, kSecond, false, kNow).action ==
          RoutingDecision::none);
  REQUIRE(fixture.policy.route(request, kNow).action == RoutingDecision::none);
}

TEST_CASE("nothing is sent to an endpoint that drains or is gone") {
  PolicyFixture fixture(smallDeployment(), 0);
  Endpoint &a = fixture.add({.build = 1}), &b = fixture.add({.build = 1});
  fixture.policy.onEndpointUpdate(a, {.build = 1, .state = EndpointState::draining}, kNow);
  fixture.policy.onEndpointListComplete(false);
  for (int i = 0; i < 20; ++i) {
    Request request = PolicyFixture::request();
    REQUIRE(fixture.policy.route(request, kNow).endpoint == &b);
  }
  fixture.policy.onEndpointListComplete(true); // a whole list that names neither
  Request request = PolicyFixture::request();
  REQUIRE(fixture.policy.route(request, kNow).action == RoutingDecision::wait);
}
