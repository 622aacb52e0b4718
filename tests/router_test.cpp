// Router: which attempts are still current, and how endpoints are added, replaced and merged.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fixtures.h"

#include "router/router.h"

using namespace myrtlehead;

TEST_CASE("an attempt is current only while its endpoint and the rollout are unchanged") {
  EventLoop loop;
  Router router(loop.sched, smallDeployment(), 7, loop.log);
  const auto updateList = [&](EndpointState state, int build) {
    router.onEndpointUpdates({{"s-1", "127.0.0.1:9", {.build = build, .state = state}}}, false);
  };
  router.onRolloutState({1, 2, RolloutPhase::released, 1, 0});
  updateList(EndpointState::ready, 1);
  auto body = [&]() -> sched::Task<> {
    sched::CancellationToken notCancelled;
    const auto expectForward = [&](RequestContext &context) -> sched::Task<> {
      const auto decision = co_await router.nextAttempt(context, notCancelled);
      REQUIRE(decision.action == AttemptDecision::forward);
      REQUIRE(decision.endpoint->name == "s-1");
      REQUIRE(decision.deadline > loop.sched.now());
    };
    RequestContext drained(0, 0, kSecond, false, loop.sched.now()),
        replaced(0, 0, kSecond, false, loop.sched.now());
    RequestContext rolledBack(0, 0, kSecond, false, loop.sched.now());
    co_await expectForward(drained);
    updateList(EndpointState::ready, 1);
    REQUIRE(router.isStillCurrent(drained)); // listed again without a change
    updateList(EndpointState::draining, 1);
    REQUIRE(!router.isStillCurrent(drained));
    updateList(EndpointState::ready, 1);
    co_await expectForward(replaced);
    updateList(EndpointState::ready, 2);
    REQUIRE(!router.isStillCurrent(replaced));
    router.onRolloutState({2, 2, RolloutPhase::released, 1, 0});
    co_await expectForward(rolledBack);
    router.onRolloutState({2, 2, RolloutPhase::rollingBack, 0.5, 0});
    REQUIRE(!router.isStillCurrent(rolledBack));
    REQUIRE(router.onAttemptFinished(drained, Outcome::succeeded).action == AttemptDecision::none);
  };
  loop.run(body());
}

// Guards against a load report of an earlier incarnation that is applied to the present one, and against
// memory that grows with each new endpoint name.
TEST_CASE("the state of an earlier incarnation of an endpoint is discarded") {
  EventLoop loop;
  auto deployment = smallDeployment();
  deployment.loadReportFields = {LoadReportField::queued};
  Router router(loop.sched, deployment, 7, loop.log);
  router.onRolloutState({1, 2, RolloutPhase::released, 1, 0});
  const auto listOnly = [&](const std::string &name, int build) {
    router.onEndpointUpdates({{name, "127.0.0.1:9", {.build = build}}}, true);
    return router.findEndpoint(name);
  };
  const auto *first = listOnly("s-1", 1);
  auto body = [&]() -> sched::Task<> {
    sched::CancellationToken notCancelled;
    RequestContext context(0, 0, kSecond, false, loop.sched.now());
    const auto result = co_await router.nextAttempt(context, notCancelled);
    REQUIRE(result.action == AttemptDecision::forward);
    router.onLoadReport(context, {7});
    REQUIRE(first->policyEndpoint->loadReport.requests == 7);
    listOnly("s-1", 2);
    listOnly("s-1", 1);
    router.onLoadReport(context, {9});
    REQUIRE(first->policyEndpoint->loadReport.requests == 0);
    listOnly("s-2", 1);
    REQUIRE(router.findEndpoint("s-1") == first); // its entry is kept for a while
    router.onAttemptFinished(context, Outcome::reset);
    router.findEndpoint("s-1")->lastReadyAt -= 200 * kSecond;
    REQUIRE(listOnly("s-3", 1) == first);
    REQUIRE(router.findEndpoint("s-1") == nullptr);
    REQUIRE(first->policyEndpoint->health.consecutiveFailures == 0);
  };
  loop.run(body());
}

TEST_CASE("a waiting request is forwarded once an endpoint is listed") {
  EventLoop loop;
  Router router(loop.sched, smallDeployment(), 7, loop.log);
  router.onRolloutState({1, 2, RolloutPhase::released, 1, 0});
  auto listLater = [&]() -> sched::Task<> {
    co_await loop.sched.sleep(50 * kMillisecond);
    router.onEndpointUpdates({{"s-1", "127.0.0.1:9", {.build = 1}}}, true);
  };
  auto body = [&]() -> sched::Task<> {
    sched::CancellationToken notCancelled, clientGone;
    loop.sched.spawn(listLater());
    RequestContext context(0, 0, kSecond, false, loop.sched.now()),
        abandoned(0, 0, kSecond, false, loop.sched.now());
    clientGone.cancel();
    const auto result = co_await router.nextAttempt(abandoned, clientGone);
    REQUIRE(result.action == AttemptDecision::none); // its client is gone
    const auto result2 = co_await router.nextAttempt(context, notCancelled);
    REQUIRE(result2.action == AttemptDecision::forward);
  };
  loop.run(body());
}

// An endpoint in both sources keeps its state when its name changes, and is not used while the endpoint list
// has it draining, even if it is still in DNS records.
TEST_CASE("DNS records and the endpoint list are merged into one set") {
  EventLoop loop;
  Router router(loop.sched, smallDeployment(), 7, loop.log);
  endpoint_merge::EndpointMerge merge({}, 3600 * kSecond, 0, subsetting::Subset(1, 0, 0));
  merge.addSrvName("_pg._tcp.maps.example", 1, -1);
  router.setEndpointMerge(merge);
  const auto now = loop.sched.now();
  merge.onSrvAnswer(0, endpoint_merge::DnsRecordsResult::records, {{"s-1.maps.example", 6432, 0, 1}},
                    now + 60 * kSecond, now);
  merge.onAddressAnswer("s-1.maps.example", endpoint_merge::DnsRecordsResult::records, {"127.0.0.1"});
  router.onEndpointMergeChanged();
  auto *target = router.findEndpoint("s-1.maps.example:6432");
  REQUIRE(target != nullptr);
  REQUIRE(target->isReady);
  router.onEndpointUpdates({{"n1", "127.0.0.1:6432", {.build = 1}}}, true);
  REQUIRE(router.findEndpoint("n1") == target);
  REQUIRE(router.findEndpoint("s-1.maps.example:6432") == nullptr);
  auto body = [&]() -> sched::Task<> {
    sched::CancellationToken notCancelled;
    RequestContext context(0, 0, kSecond, false, loop.sched.now());
    auto decision = co_await router.nextAttempt(context, notCancelled);
    REQUIRE(decision.action == AttemptDecision::forward);
    REQUIRE(decision.endpoint == target);
    REQUIRE(router.isStillCurrent(context));
    router.onEndpointUpdates({{"n1", "127.0.0.1:6432", {.build = 1, .state = EndpointState::draining}}},
                             false);
    router.onEndpointMergeChanged();
    REQUIRE(!router.isStillCurrent(context));
    REQUIRE(!target->isReady);
    decision = router.onAttemptFinished(context, Outcome::notSent);
    REQUIRE(decision.action != AttemptDecision::forward);
  };
  loop.run(body());
}

// Without it, nothing shows why an instance relied on an endpoint that was draining.
TEST_CASE("an attempt that an endpoint turns away leaves no trace of what the list's state was") {
  EventLoop loop;
  Router router(loop.sched, smallDeployment(), 7, loop.log);
  router.onRolloutState({1, 2, RolloutPhase::released, 1, 0});
  router.onEndpointUpdates({{"s-1", "127.0.0.1:9", {.build = 1}}}, true);
  router.onWatchMessage(MessageSource::currentAddress);
  router.onDiscoveryAddressChanged();
  auto body = [&]() -> sched::Task<> {
    sched::CancellationToken notCancelled;
    for (int i = 0; i < 2; ++i) { // the second rejection within a second is not logged
      RequestContext context(0, 0, kSecond, false, loop.sched.now());
      co_await router.nextAttempt(context, notCancelled);
      router.onAttemptFinished(context, Outcome::rejected);
    }
  };
  loop.run(body());
  const auto log = loop.logOutput.str();
  const auto line = log.find("turned an attempt away");
  REQUIRE(line != std::string::npos);
  CHECK(log.find("turned an attempt away", line + 1) == std::string::npos);
  CHECK(log.find("endpoint=s-1", line) != std::string::npos);
  CHECK(log.find("message 0, address changed 0", line) != std::string::npos);
}

TEST_CASE("the list's history forgets an old event while keep-alives repeat") {
  ListHistory history;
  history.add(ListEvent::addressChanged, kSecond);
  for (int i = 2; i < 100; ++i) history.add(ListEvent::message, i * kSecond);
  history.add(ListEvent::watchClosed, 100 * kSecond);
  CHECK(history.describe(100 * kSecond) ==
        "address changed -99000, message -98000, message -1000, watch closed 0");
  for (int i = 0; i < 1000; ++i)
    history.add(i % 2 == 0 ? ListEvent::callSent : ListEvent::callRejected, 101 * kSecond);
  CHECK(history.describe(101 * kSecond).size() < 1000);
}
