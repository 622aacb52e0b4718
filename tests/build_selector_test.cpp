// BuildSelector: candidate or baseline.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy_fixture.h"

#include <algorithm>
#include <cmath>

using namespace myrtlehead;

TEST_CASE("an overload is shared with the candidate") {
  for (const bool full : {false, true}) {
    auto d = smallDeployment();
    d.instanceCount = 100;
    PolicyFixture fixture(d, 2, 2);
    fixture.internals.rolloutState().exposureCap = 1, fixture.internals.exposureCredits()[0] = 2,
    fixture.internals.completionRate() = 0.01;
    fixture.internals.rolloutState().stage = 2;
    fixture.internals.latencyRatio() = full ? 0.8 : 0.4;
    for (std::size_t i = 0; i < 4; ++i)
      fixture.endpoint(i).slowStart.tokens = 0, fixture.endpoint(i).slowStart.refilledAt = kNow;
    fixture.endpoint(0).inFlight = fixture.endpoint(1).inFlight = 9;
    Request request = PolicyFixture::request();
    const auto *to = fixture.policy.route(request, kNow).endpoint;
    REQUIRE(full == (to == &fixture.endpoint(2) || to == &fixture.endpoint(3)));
  }
}

TEST_CASE("a crowded candidate is passed over") {
  PolicyFixture fixture(smallDeployment(), 4, 1);
  fixture.internals.exposureCredits()[0] = 2;
  fixture.endpoint(4).inFlight = 5;
  Request request = PolicyFixture::request();
  REQUIRE(fixture.policy.route(request, kNow).endpoint->info.build == 1);
}

// Groups of name records: a request goes to its group, and elsewhere only where its group has nobody.
TEST_CASE("a request goes to its priority group") {
  PolicyFixture b;
  b.add({.build = 1, .priorityGroup = 1});
  auto &second = b.endpoint(2);
  for (int i = 0; i < 50; ++i) {
    auto first = PolicyFixture::request(), spilt = PolicyFixture::request();
    spilt.priorityGroup = 1;
    REQUIRE(b.policy.route(first, kNow).endpoint != &second);
    REQUIRE(b.policy.route(spilt, kNow).endpoint == &second);
  }
  PolicyFixture lone;
  auto request = PolicyFixture::request();
  request.priorityGroup = 3; // a group that is gone
  REQUIRE(lone.policy.route(request, kNow).action == RoutingDecision::forward);
}
