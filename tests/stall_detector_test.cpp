// StallDetector: periods in which the instance itself did not run.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy_fixture.h"

#include <algorithm>
#include <cmath>

using namespace myrtlehead;

TEST_CASE("timeouts after a stall of this instance are not counted against endpoints") {
  PolicyFixture fixture;
  std::vector<Request> requests(5);
  for (auto &request : requests) request = fixture.requestAttemptedAt(fixture.endpoint(0), 2, true);
  for (auto &request : requests)
    fixture.policy.onAttemptFinished(request, 0, Outcome::timedOut, kSecond, false, kNow + 2 * kSecond);
  REQUIRE(fixture.endpoint(0).health.consecutiveFailures == 0);
  REQUIRE(fixture.endpoint(0).health.ejectedUntil == 0);
}
