// Each rule, on one instance's state.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fixtures.h"

using namespace myrtlehead;

TEST_CASE("answers before the clients time is up") {
  PolicyFixture fixture;
  Request request = PolicyFixture::request(0, 300 * kMillisecond);
  const RoutingDecision decision = fixture.policy.route(request, kNow);
  REQUIRE(decision.action == RoutingDecision::forward);
  REQUIRE(decision.timeout <= 300 * kMillisecond - 2 * fixture.internals.deployment().tickInterval);
  Request last = PolicyFixture::request(0, 5 * kMillisecond); // a tick is left: no attempt can come back
  REQUIRE(fixture.policy.route(last, kNow).action == RoutingDecision::shed);
  REQUIRE(last.finished);
}

TEST_CASE("ends once") {
  PolicyFixture fixture;
  Request request = fixture.requestAttemptedAt(fixture.endpoint(0), 2, true);
  REQUIRE(fixture.policy.onAttemptFinished(request, 0, Outcome::timedOut, kSecond, false, kNow).action ==
          RoutingDecision::fail);
  REQUIRE(fixture.policy.onAttemptFinished(request, 0, Outcome::timedOut, kSecond, false, kNow).action ==
          RoutingDecision::none);
  REQUIRE(fixture.policy.route(request, kNow).action == RoutingDecision::none);
}

TEST_CASE("resends by route kind") {
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

TEST_CASE("deduped stays in its group and window") {
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

TEST_CASE("only what may have run is bound to a time") {
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

TEST_CASE("nothing goes to draining or gone") {
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

static int sendsToAColdNode(double warmRate, int requests, std::uint64_t seed) {
  PolicyFixture fixture(smallDeployment(), 0);
  fixture.internals.random().seed(static_cast<std::knuth_b::result_type>(seed));
  fixture.add({.build = 1, .startedAt = kNow - kMillisecond});
  fixture.internals.completionRate() = warmRate;
  int sent = 0;
  for (int i = 0; i < requests; ++i) {
    Request request = PolicyFixture::request();
    sent += fixture.policy.route(request, kNow + kSecond * i / requests).action == RoutingDecision::forward;
  }
  return sent;
}

TEST_CASE("cold node keeps its budget") { // of 0.6 x 2 x 0.4 to 0.55 x 10 in this second
  const int sent = sendsToAColdNode(10, 50, 7);
  REQUIRE(sent >= 4);
  REQUIRE(sent <= 7);
}

TEST_CASE(
    "many quiet marshals keep one budget") { // scored: 429 instances' least sends pushed five endpoints over
  int sent = 0;
  for (std::uint64_t i = 1; i <= 400; ++i) sent += sendsToAColdNode(0.025, 3, i);
  REQUIRE(sent >= 1);
  REQUIRE(sent <= 14);
}

TEST_CASE("a storm of tries does not raise the cold budget") { // found by a hunt: 4.6 times its share was
                                                               // sent to a cold endpoint
  PolicyFixture fixture;
  for (int i = 0; i < 400; ++i) {
    Request request = fixture.requestAttemptedAt(fixture.endpoint(0), 2, true);
    fixture.policy.onAttemptFinished(request, 0, i % 20 == 0 ? Outcome::succeeded : Outcome::timedOut,
                                     kMillisecond, false, kNow);
  }
  fixture.policy.runDueTasks(kNow + kSecond);
  REQUIRE(fixture.internals.completionRate() == 10); // 20 completed in a second at two endpoints
}

TEST_CASE("exposure stays within the cap") {
  PolicyFixture fixture(smallDeployment(), 30, 30);
  int trial = 0;
  for (int i = 0; i < 200; ++i) {
    Request request = PolicyFixture::request();
    const RoutingDecision decision = fixture.policy.route(request, kNow + i * 10 * kMillisecond);
    trial += decision.action == RoutingDecision::forward && decision.endpoint->info.build == 2;
  }
  REQUIRE(trial > 15);
  REQUIRE(trial <= 20); // 0.1 of 200, and nothing saved up from before
}

TEST_CASE("a trial node gets a warm nodes pace") { // scored: many instances' saved-up attempts crowded the
                                                   // first endpoints
  auto d = smallDeployment();
  PolicyFixture fixture(d, 10, 1);
  fixture.internals.completionRate() = 2, fixture.internals.rolloutState().exposureCap = 1;
  int trial = 0;
  for (int i = 0; i < 200; ++i) {
    Request request = PolicyFixture::request(0, 20 * kSecond);
    trial += fixture.policy.route(request, kNow + i * 50 * kMillisecond).endpoint->info.build == 2;
  }
  REQUIRE(trial >= 20);
  REQUIRE(trial <= 26); // 1.2 x 2 a second for 10 s
}

TEST_CASE("shut builds get nothing") {
  for (const auto phase : {RolloutPhase::rollingBack, RolloutPhase::withdrawn}) {
    PolicyFixture fixture(smallDeployment(), 0, 2, phase);
    fixture.internals.rolloutState().exposureCap = 0, fixture.internals.exposureCredits()[0] = 2;
    Request request = PolicyFixture::request();
    REQUIRE(fixture.policy.route(request, kNow).action == RoutingDecision::wait);
  }
}

TEST_CASE(
    "the way back uses the cap while nothing else is up") { // found by a hunt: a fleet in place was left idle
  PolicyFixture fixture(smallDeployment(), 0, 2, RolloutPhase::rollingBack);
  fixture.internals.rolloutState().exposureCap = 0.8, fixture.internals.exposureCredits()[0] = 2;
  Request request = PolicyFixture::request();
  REQUIRE(fixture.policy.route(request, kNow).action == RoutingDecision::forward);
}

TEST_CASE("unnamed build counts as first stage") {
  PolicyFixture fixture(smallDeployment(), 5);
  for (int i = 0; i < 5; ++i) fixture.add({.build = 3});
  int trial = 0;
  for (int i = 0; i < 100; ++i) {
    Request request = PolicyFixture::request();
    trial += fixture.policy.route(request, kNow + i * 10 * kMillisecond).endpoint->info.build == 3;
  }
  REQUIRE(trial > 0);
  REQUIRE(trial <= 10);
}

TEST_CASE("guarded stages are for retriable reqs") {
  auto d = smallDeployment();
  d.rollout.idempotentOnlyStages = 1;
  for (const int route : {0, 1, 2}) {
    PolicyFixture fixture(d, 0, 2);
    fixture.internals.exposureCredits()[0] = 2;
    Request request = PolicyFixture::request(route);
    REQUIRE((fixture.policy.route(request, kNow).action == RoutingDecision::forward) == (route == 0));
  }
}

TEST_CASE("no return keeps a key on its build") {
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
