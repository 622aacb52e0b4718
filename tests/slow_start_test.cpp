// SlowStart: limits the load on endpoints that are warming up.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy_fixture.h"

#include <algorithm>
#include <cmath>

using namespace myrtlehead;

static int attemptsAtColdEndpoint(double warmCompletionRate, int requests, std::uint64_t seed) {
  PolicyFixture fixture(smallDeployment(), 0);
  fixture.internals.random().seed(static_cast<std::knuth_b::result_type>(seed));
  fixture.add({.build = 1, .startedAt = kNow - kMillisecond});
  fixture.internals.completionRate() = warmCompletionRate;
  int sent = 0;
  for (int i = 0; i < requests; ++i) {
    Request request = PolicyFixture::request();
    sent += fixture.policy.route(request, kNow + kSecond * i / requests).action == RoutingDecision::forward;
  }
  return sent;
}

TEST_CASE("the load on a cold endpoint stays within its budget") {
  const int sent = attemptsAtColdEndpoint(10, 50, 7);
  REQUIRE(sent >= 4);
  REQUIRE(sent <= 7);
}

TEST_CASE("many instances with little traffic together stay within one endpoint's budget") {
  int sent = 0;
  for (std::uint64_t i = 1; i <= 400; ++i) sent += attemptsAtColdEndpoint(0.025, 3, i);
  REQUIRE(sent >= 1);
  REQUIRE(sent <= 14);
}

TEST_CASE("retries and timeouts do not raise the budget") {
  PolicyFixture fixture;
  for (int i = 0; i < 400; ++i) {
    Request request = fixture.requestAttemptedAt(fixture.endpoint(0), 2, true);
    fixture.policy.onAttemptFinished(request, 0, i % 20 == 0 ? Outcome::succeeded : Outcome::timedOut,
                                     kMillisecond, false, kNow);
  }
  fixture.policy.runDueTasks(kNow + kSecond);
  REQUIRE(fixture.internals.completionRate() == 10); // 20 completions in one second at two endpoints
}

TEST_CASE("a candidate's endpoint gets up to 1.2 times the completion rate of a warm endpoint") {
  PolicyFixture fixture(smallDeployment(), 10, 1);
  fixture.internals.completionRate() = 2;
  fixture.internals.rolloutState().exposureCap = 1;
  int atCandidate = 0;
  for (int i = 0; i < 200; ++i) {
    Request request = PolicyFixture::request(0, 20 * kSecond);
    atCandidate += fixture.policy.route(request, kNow + i * 50 * kMillisecond).endpoint->info.build == 2;
  }
  REQUIRE(atCandidate >= 20);
  REQUIRE(atCandidate <= 26); // 1.2 times 2 attempts per second for 10 s
}
