// StickyKeys: a key that a build has answered goes to no earlier build.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy_fixture.h"

#include <algorithm>
#include <cmath>

using namespace myrtlehead;

TEST_CASE("a key stays on its build until that build is rolled back") {
  auto deployment = smallDeployment();
  deployment.rollout.stickyKeys = true;
  PolicyFixture fixture(deployment, 2, 2);
  fixture.internals.stickyBuilds()[5] = 2;
  Request request = PolicyFixture::request();
  request.key = 5;
  // The exposure budget is empty, and the key may not go to build 1.
  REQUIRE(fixture.policy.route(request, kNow).action == RoutingDecision::wait);
  fixture.policy.onRolloutState({2, 0, RolloutPhase::rollingBack, 0}, kNow);
  REQUIRE(fixture.policy.route(request, kNow).endpoint->info.build == 1);
}
