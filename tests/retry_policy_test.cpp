// RetryPolicy: whether and until when a request may be retried.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy_fixture.h"

#include <algorithm>
#include <cmath>

using namespace myrtlehead;

TEST_CASE("a request is answered before its deadline") {
  PolicyFixture fixture;
  Request request = PolicyFixture::request(0, 300 * kMillisecond);
  const RoutingDecision decision = fixture.policy.route(request, kNow);
  REQUIRE(decision.action == RoutingDecision::forward);
  REQUIRE(decision.timeout <= 300 * kMillisecond - 2 * fixture.internals.deployment().tickInterval);
  Request last = PolicyFixture::request(0, 5 * kMillisecond); // one tick is left, too little for an attempt
  REQUIRE(fixture.policy.route(last, kNow).action == RoutingDecision::shed);
  REQUIRE(last.finished);
}

TEST_CASE("retries follow the route's idempotency") {
  struct Case {
    int route;
    Outcome outcome;
    RoutingDecision::Action expected;
  };
  const Case cases[] = {
      {0, Outcome::reset, RoutingDecision::forward},    {1, Outcome::reset, RoutingDecision::forward},
      {2, Outcome::reset, RoutingDecision::fail},       {2, Outcome::failed, RoutingDecision::fail},
      {2, Outcome::rejected, RoutingDecision::forward}, {2, Outcome::unreachable, RoutingDecision::forward}};
  for (const auto &c : cases) {
    PolicyFixture fixture;
    Request request = fixture.requestAttemptedAt(fixture.endpoint(0), c.route, true);
    REQUIRE(
        fixture.policy.onAttemptFinished(request, 0, c.outcome, kMillisecond, false, kNow + 10 * kMillisecond)
            .action == c.expected);
  }
}

TEST_CASE("a request with an idempotency key is retried only in its scope and window") {
  auto deployment = smallDeployment();
  deployment.routes[1].idempotencyScope = IdempotencyScope::zone;
  PolicyFixture fixture(deployment, 0);
  Endpoint &outOfScope = fixture.add({.build = 1, .zone = 0}),
           &inScope = fixture.add({.build = 1, .zone = 1});
  Request request = fixture.requestAttemptedAt(inScope, 1, true);
  const RoutingDecision decision = fixture.policy.onAttemptFinished(request, 0, Outcome::failed, kMillisecond,
                                                                    false, kNow + 10 * kMillisecond);
  REQUIRE(decision.action == RoutingDecision::forward);
  REQUIRE(decision.endpoint == &inScope);
  REQUIRE(outOfScope.inFlight == 0);
  // The window starts when the first attempt that may have been executed was sent, however long the
  // connection setup takes.
  REQUIRE(decision.sendBy == kNow + kSecond);
  Request late = fixture.requestAttemptedAt(inScope, 1, true);
  REQUIRE(fixture.policy.onAttemptFinished(late, 0, Outcome::failed, kMillisecond, false, kNow + kSecond)
              .action == RoutingDecision::fail);
}

TEST_CASE("only a request that may have been executed has a send deadline") {
  PolicyFixture fixture;
  Request firstAttempt = PolicyFixture::request(1),
          idempotent = fixture.requestAttemptedAt(fixture.endpoint(0), 0, true),
          notIdempotent = fixture.requestAttemptedAt(fixture.endpoint(0), 2, true);
  REQUIRE(fixture.policy.route(firstAttempt, kNow).sendBy == kNoDeadline);
  REQUIRE(fixture.policy
              .onAttemptFinished(idempotent, 0, Outcome::reset, kMillisecond, false,
                                 kNow + 5 * kSecond / 2 - kSecond)
              .sendBy == kNoDeadline);
  const RoutingDecision retry = fixture.policy.onAttemptFinished(
      notIdempotent, 0, Outcome::rejected, kMillisecond, false, kNow + 10 * kMillisecond);
  REQUIRE(retry.action == RoutingDecision::forward);
  REQUIRE(retry.sendBy == kNoDeadline);
}
