// BuildSelector: the choice between candidate and baseline.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy_fixture.h"

#include <algorithm>
#include <cmath>

using namespace myrtlehead;

TEST_CASE("an overloaded baseline shares its load with the candidate") {
  for (const bool isOverloaded : {false, true}) {
    auto deployment = smallDeployment();
    deployment.instanceCount = 100;
    PolicyFixture fixture(deployment, 2, 2);
    fixture.internals.rolloutState().exposureCap = 1;
    fixture.internals.exposureCredits()[0] = 2;
    fixture.internals.completionRate() = 0.01;
    fixture.internals.rolloutState().stage = 2;
    fixture.internals.latencyRatio() = isOverloaded ? 0.8 : 0.4;
    for (std::size_t i = 0; i < 4; ++i) {
      fixture.endpoint(i).slowStart.tokens = 0;
      fixture.endpoint(i).slowStart.refilledAt = kNow;
    }
    fixture.endpoint(0).inFlight = fixture.endpoint(1).inFlight = 9;
    Request request = PolicyFixture::request();
    const auto *chosen = fixture.policy.route(request, kNow).endpoint;
    REQUIRE(isOverloaded == (chosen == &fixture.endpoint(2) || chosen == &fixture.endpoint(3)));
  }
}

TEST_CASE("a candidate's endpoint with a high load is not used") {
  PolicyFixture fixture(smallDeployment(), 4, 1);
  fixture.internals.exposureCredits()[0] = 2;
  fixture.endpoint(4).inFlight = 5;
  Request request = PolicyFixture::request();
  REQUIRE(fixture.policy.route(request, kNow).endpoint->info.build == 1);
}

// Priority groups come from DNS records. A request goes to another group only if its own has no endpoint.
TEST_CASE("a request goes to its priority group") {
  PolicyFixture fixture;
  fixture.add({.build = 1, .priorityGroup = 1});
  auto &secondGroupEndpoint = fixture.endpoint(2);
  for (int i = 0; i < 50; ++i) {
    auto firstGroupRequest = PolicyFixture::request(), secondGroupRequest = PolicyFixture::request();
    secondGroupRequest.priorityGroup = 1;
    REQUIRE(fixture.policy.route(firstGroupRequest, kNow).endpoint != &secondGroupEndpoint);
    REQUIRE(fixture.policy.route(secondGroupRequest, kNow).endpoint == &secondGroupEndpoint);
  }
  PolicyFixture singleGroup;
  auto request = PolicyFixture::request();
  request.priorityGroup = 3; // a group without endpoints
  REQUIRE(singleGroup.policy.route(request, kNow).action == RoutingDecision::forward);
}
