// OverloadController: which requests are shed.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy_fixture.h"

#include <algorithm>
#include <cmath>

using namespace myrtlehead;

TEST_CASE("requests of low priority are shed first") {
  PolicyFixture fixture;
  fixture.internals.shedShare() = 0.5;
  int shed[2] = {0, 0};
  for (int i = 0; i < 1000; ++i)
    for (const int route : {0, 1}) {
      Request request = PolicyFixture::request(route);
      const RoutingDecision decision = fixture.policy.route(request, kNow);
      shed[route] += decision.action == RoutingDecision::shed;
      if (decision.action == RoutingDecision::shed) REQUIRE(request.finished);
    }
  REQUIRE(shed[0] > shed[1] + 100);
  REQUIRE(shed[1] > 0);
}

TEST_CASE("requests of tenants over their quota are shed first") {
  auto deployment = smallDeployment();
  deployment.tenantQuotas = {30, 30};
  deployment.overQuotaWeight = 0.1;
  PolicyFixture fixture(deployment);
  fixture.internals.shedShare() = 0.4;
  fixture.internals.quotaExcess() = {0, 1000};
  int shed[2] = {0, 0};
  for (int i = 0; i < 400; ++i)
    for (const std::size_t tenant : {0, 1}) {
      fixture.internals.quotaExcess()[0] = 0;
      Request request = PolicyFixture::request(1);
      request.tenant = tenant;
      shed[tenant] += fixture.policy.route(request, kNow).action == RoutingDecision::shed;
    }
  REQUIRE(shed[1] > 2 * shed[0]);
}

TEST_CASE("shedding ends when no attempts are in flight any more") {
  PolicyFixture fixture;
  fixture.internals.integralShedShare() = fixture.internals.shedShare() = 0.8;
  fixture.internals.meanObjective() = 0.5;
  for (Nanoseconds t = kNow; t < kNow + 6 * kSecond; t += 50 * kMillisecond) fixture.policy.runDueTasks(t);
  REQUIRE(fixture.internals.shedShare() == 0);
}

// After an overload, shedding must end within 3 s at a latency below the overload ratio.
TEST_CASE("shedding ends within 3 s after latencies have recovered") {
  PolicyFixture fixture;
  fixture.internals.integralShedShare() = fixture.internals.shedShare() = 0.7;
  fixture.internals.meanObjective() = 0.5;
  fixture.internals.medianLatencyRatio() = 1;
  // With 40 completions per second, attempts take 0.3 of their objectives.
  fixture.endpoint(0).inFlight = 6;
  for (Nanoseconds t = kNow + 50 * kMillisecond; t < kNow + 3 * kSecond; t += 50 * kMillisecond) {
    fixture.internals.completed() = 2;
    fixture.policy.runDueTasks(t);
  }
  REQUIRE(fixture.internals.latencyRatio() < 0.35);
  REQUIRE(fixture.internals.shedShare() == 0);
}

TEST_CASE("an overload is detected although most attempts time out") {
  PolicyFixture fixture;
  fixture.internals.meanObjective() = 0.5;
  for (int step = 0; step < 40; ++step) {
    const Nanoseconds now = kNow + step * 50 * kMillisecond;
    for (int i = 0; i < 10; ++i) {
      Request request = fixture.requestAttemptedAt(fixture.endpoint(0), 0, true);
      request.finished = true;
      fixture.policy.onAttemptFinished(request, 0, i == 0 ? Outcome::succeeded : Outcome::timedOut,
                                       250 * kMillisecond, true, now);
    }
    fixture.endpoint(0).inFlight = 40;
    fixture.policy.runDueTasks(now);
  }
  REQUIRE(fixture.internals.shedShare() > 0.5);
}
