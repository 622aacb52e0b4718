// RetryPolicy: whether and until when a request is retried.
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
  Request last = PolicyFixture::request(0, 5 * kMillisecond); // a tick is left: no attempt can come back
  REQUIRE(fixture.policy.route(last, kNow).action == RoutingDecision::shed);
  REQUIRE(last.finished);
}

TEST_CASE("retries follow the route's idempotency") {
  struct Case {
    int route;
    Outcome outcome;
    RoutingDecision::Action then;
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
            .action == c.then);
  }
}

TEST_CASE("a request with an idempotency key stays in its scope and window") {
  auto d = smallDeployment();
  d.routes[1].idempotencyScope = IdempotencyScope::zone;
  PolicyFixture fixture(d, 0);
  Endpoint &here = fixture.add({.build = 1, .zone = 0}), &there = fixture.add({.build = 1, .zone = 1});
  Request request = fixture.requestAttemptedAt(there, 1, true);
  const RoutingDecision decision = fixture.policy.onAttemptFinished(request, 0, Outcome::failed, kMillisecond,
                                                                    false, kNow + 10 * kMillisecond);
  REQUIRE(decision.action == RoutingDecision::forward);
  REQUIRE(decision.endpoint == &there);
  REQUIRE(here.inFlight == 0);
  REQUIRE(decision.sendBy ==
          kNow + kSecond); // from the first that may have run, however long the connection takes
  Request late = fixture.requestAttemptedAt(there, 1, true);
  REQUIRE(fixture.policy.onAttemptFinished(late, 0, Outcome::failed, kMillisecond, false, kNow + kSecond)
              .action == RoutingDecision::fail);
}

TEST_CASE("only what may have been executed is bound to a time") {
  PolicyFixture fixture;
  Request fresh = PolicyFixture::request(1),
          freely = fixture.requestAttemptedAt(fixture.endpoint(0), 0, true),
          never = fixture.requestAttemptedAt(fixture.endpoint(0), 2, true);
  REQUIRE(fixture.policy.route(fresh, kNow).sendBy == kNoDeadline);
  REQUIRE(
      fixture.policy
          .onAttemptFinished(freely, 0, Outcome::reset, kMillisecond, false, kNow + 5 * kSecond / 2 - kSecond)
          .sendBy == kNoDeadline);
  const RoutingDecision again = fixture.policy.onAttemptFinished(never, 0, Outcome::rejected, kMillisecond,
                                                                 false, kNow + 10 * kMillisecond);
  REQUIRE(again.action == RoutingDecision::forward);
  REQUIRE(again.sendBy == kNoDeadline);
}
