// LoadBalancer: which of several endpoints a request goes to.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy_fixture.h"

#include <algorithm>
#include <cmath>

using namespace myrtlehead;

TEST_CASE("the less loaded of two endpoints is chosen") {
  PolicyFixture fixture;
  fixture.endpoint(0).inFlight = 5;
  for (int i = 0; i < 5; ++i) {
    Request request = PolicyFixture::request();
    REQUIRE(fixture.policy.route(request, kNow).endpoint == &fixture.endpoint(1));
  }
}

TEST_CASE("slow zones get one request in twenty") {
  PolicyFixture fixture(smallDeployment(), 0);
  for (int zone : {0, 0, 1, 1}) fixture.add({.build = 1, .zone = zone});
  for (const Nanoseconds far : {50 * kMillisecond, 400 * kMillisecond}) {
    int crossed = 0;
    for (int i = 0; i < 40; ++i) { // the quartiles settle
      for (const std::size_t at : {0, 2}) {
        Request request = fixture.requestAttemptedAt(fixture.endpoint(at), 0, true);
        fixture.policy.onAttemptFinished(request, 0, Outcome::succeeded, at == 0 ? 50 * kMillisecond : far,
                                         true, kNow);
      }
    }
    for (int i = 0; i < 200; ++i) {
      Request request = PolicyFixture::request();
      crossed += fixture.policy.route(request, kNow).endpoint->info.zone == 1;
    }
    REQUIRE((far > 100 * kMillisecond ? crossed < 25 : crossed > 60));
  }
}

TEST_CASE("weights share the requests") {
  PolicyFixture b(smallDeployment(), 0);
  b.add({.build = 1});
  b.add({.build = 1, .weight = 0.25});
  int light = 0;
  for (int i = 0; i < 1000; ++i) {
    auto request = PolicyFixture::request();
    const auto decision = b.policy.route(request, kNow);
    light += decision.endpoint == &b.endpoint(1);
    b.policy.onAttemptFinished(request, 0, Outcome::succeeded, kMillisecond, true, kNow);
  }
  REQUIRE(light > 150);
  REQUIRE(light < 350); // one in five is 200
}
