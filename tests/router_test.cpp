// The facade before the decisions.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fixtures.h"

#include "router/router.h"

using namespace myrtlehead;

TEST_CASE("an attempt is only current while endpoint list and rollout stand") {
  Loop loop;
  Router router(loop.sched, smallDeployment(), 7, loop.log);
  const auto list = [&](EndpointState state, int build) {
    router.onEndpointUpdates({{"s-1", "127.0.0.1:9", {.build = build, .state = state}}}, false);
  };
  router.onRolloutState({1, 2, RolloutPhase::released, 1, 0});
  list(EndpointState::ready, 1);
  auto body = [&]() -> sched::Task<> {
    sched::CancellationToken stop;
    const auto picked = [&](RequestContext &call) -> sched::Task<> {
      const auto decision = co_await router.nextAttempt(call, stop);
      REQUIRE(decision.action == AttemptDecision::forward);
      REQUIRE(decision.endpoint->name == "s-1");
      REQUIRE(decision.deadline > loop.sched.now());
    };
    RequestContext drained(0, 0, kSecond, false, loop.sched.now()),
        replaced(0, 0, kSecond, false, loop.sched.now());
    RequestContext back(0, 0, kSecond, false, loop.sched.now());
    co_await picked(drained);
    list(EndpointState::ready, 1);
    REQUIRE(router.isStillCurrent(drained)); // listed again as it was
    list(EndpointState::draining, 1);
    REQUIRE(!router.isStillCurrent(drained));
    list(EndpointState::ready, 1);
    co_await picked(replaced);
    list(EndpointState::ready, 2);
    REQUIRE(!router.isStillCurrent(replaced));
    router.onRolloutState({2, 2, RolloutPhase::released, 1, 0});
    co_await picked(back);
    router.onRolloutState({2, 2, RolloutPhase::rollingBack, 0.5, 0});
    REQUIRE(!router.isStillCurrent(back));
    REQUIRE(router.onAttemptFinished(drained, Outcome::succeeded).action == AttemptDecision::none);
  };
  loop.run(body());
}

// A report that came with an attempt at an earlier incarnation says nothing of the present one; and names
// that come and go take up no more memory.
TEST_CASE("an earlier incarnation of an endpoint is forgotten") {
  Loop loop;
  auto d = smallDeployment();
  d.loadReportFields = {LoadReportField::queued};
  Router router(loop.sched, d, 7, loop.log);
  router.onRolloutState({1, 2, RolloutPhase::released, 1, 0});
  const auto list = [&](const std::string &name, int build) {
    router.onEndpointUpdates({{name, "127.0.0.1:9", {.build = build}}}, true);
    return router.findEndpoint(name);
  };
  const auto *first = list("s-1", 1);
  auto body = [&]() -> sched::Task<> {
    sched::CancellationToken stop;
    RequestContext call(0, 0, kSecond, false, loop.sched.now());
    const auto result = co_await router.nextAttempt(call, stop);
    REQUIRE(result.action == AttemptDecision::forward);
    router.onLoadReport(call, {7});
    REQUIRE(first->policyEndpoint->loadReport.requests == 7);
    list("s-1", 2);
    list("s-1", 1);
    router.onLoadReport(call, {9});
    REQUIRE(first->policyEndpoint->loadReport.requests == 0);
    list("s-2", 1);
    REQUIRE(router.findEndpoint("s-1") == first); // it may come back soon
    router.onAttemptFinished(call, Outcome::reset);
    router.findEndpoint("s-1")->lastReadyAt -= 200 * kSecond;
    REQUIRE(list("s-3", 1) == first);
    REQUIRE(router.findEndpoint("s-1") == nullptr);
    REQUIRE(first->policyEndpoint->health.consecutiveFailures == 0);
  };
  loop.run(body());
}

TEST_CASE("a waiting request is forwarded once an endpoint is listed") {
  Loop loop;
  Router router(loop.sched, smallDeployment(), 7, loop.log);
  router.onRolloutState({1, 2, RolloutPhase::released, 1, 0});
  auto list = [&]() -> sched::Task<> {
    co_await loop.sched.sleep(50 * kMillisecond);
    router.onEndpointUpdates({{"s-1", "127.0.0.1:9", {.build = 1}}}, true);
  };
  auto body = [&]() -> sched::Task<> {
    sched::CancellationToken stop, left;
    loop.sched.spawn(list());
    RequestContext call(0, 0, kSecond, false, loop.sched.now()), none(0, 0, kSecond, false, loop.sched.now());
    left.cancel();
    const auto result = co_await router.nextAttempt(none, left);
    REQUIRE(result.action == AttemptDecision::none); // its client has gone
    const auto result2 = co_await router.nextAttempt(call, stop);
    REQUIRE(result2.action == AttemptDecision::forward);
  };
  loop.run(body());
}

// An endpoint that both have keeps its state when the name that leads changes, and draining by the list stops
// it at once, whatever the records say.
TEST_CASE("DNS records and endpoint list make one set") {
  Loop loop;
  Router router(loop.sched, smallDeployment(), 7, loop.log);
  endpoint_merge::EndpointMerge sources({}, 3600 * kSecond, 0, subsetting::Subset(1, 0, 0));
  sources.addSrvName("_pg._tcp.maps.example", 1, -1);
  router.setEndpointMerge(sources);
  const auto now = loop.sched.now();
  sources.onSrvAnswer(0, endpoint_merge::DnsRecordsResult::records, {{"s-1.maps.example", 6432, 0, 1}},
                      now + 60 * kSecond, now);
  sources.onAddressAnswer("s-1.maps.example", endpoint_merge::DnsRecordsResult::records, {"127.0.0.1"});
  router.onEndpointMergeChanged();
  auto *target = router.findEndpoint("s-1.maps.example:6432");
  REQUIRE(target != nullptr);
  REQUIRE(target->isReady);
  router.onEndpointUpdates({{"n1", "127.0.0.1:6432", {.build = 1}}}, true);
  REQUIRE(router.findEndpoint("n1") == target);
  REQUIRE(router.findEndpoint("s-1.maps.example:6432") == nullptr);
  auto body = [&]() -> sched::Task<> {
    sched::CancellationToken stop;
    RequestContext call(0, 0, kSecond, false, loop.sched.now());
    auto decision = co_await router.nextAttempt(call, stop);
    REQUIRE(decision.action == AttemptDecision::forward);
    REQUIRE(decision.endpoint == target);
    REQUIRE(router.isStillCurrent(call));
    router.onEndpointUpdates({{"n1", "127.0.0.1:6432", {.build = 1, .state = EndpointState::draining}}},
                             false);
    router.onEndpointMergeChanged();
    REQUIRE(!router.isStillCurrent(call));
    REQUIRE(!target->isReady);
    decision = router.onAttemptFinished(call, Outcome::notSent);
    REQUIRE(decision.action != AttemptDecision::forward);
  };
  loop.run(body());
}
