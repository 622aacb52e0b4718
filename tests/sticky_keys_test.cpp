// StickyKeys: keys that go to no earlier build.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy_fixture.h"

#include <algorithm>
#include <cmath>

using namespace myrtlehead;

TEST_CASE("a key stays on its build until the rollback") {
  auto d = smallDeployment();
  d.rollout.stickyKeys = true;
  PolicyFixture fixture(d, 2, 2);
  fixture.internals.stickyBuilds()[5] = 2;
  Request request = PolicyFixture::request();
  request.key = 5;
  REQUIRE(fixture.policy.route(request, kNow).action ==
          RoutingDecision::wait); // no exposure is left, and build 1 is closed to it
  fixture.policy.onRolloutState({2, 0, RolloutPhase::rollingBack, 0}, kNow);
  REQUIRE(fixture.policy.route(request, kNow).endpoint->info.build == 1);
}
