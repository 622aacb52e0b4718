// The watch on discovery: updates, moves, silence, refusals and unreadable messages.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "control_fixture.h"

using namespace myrtlehead;

TEST_CASE("updates are applied, and discovery is polled again after an error") {
  std::vector<std::string> asked;
  auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    asked.push_back(co_await requestLine(s, b));
    std::string out = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"; // the first call fails
    if (asked.size() == 2) { // a line in two chunks, an empty one, then one that is no list
      const auto line = listLine(43, "in_service");
      out = kStream + chunk(line.substr(0, 20)) + chunk(line.substr(20) + "\n") + chunk("{\"index\":44}\n");
    }
    if (asked.size() == 3) out = kStream + chunk(listLine(45, "terminating"));
    co_await s.write(out, {});
    if (asked.size() < 3) co_return;
    co_await s.read(b, {});
  };
  ControlFixture fixture(script);
  auto body = [&]() -> sched::Task<> {
    const auto known = json::parse(R"({"index":41,"snapshot":true,"endpoints":[]})");
    REQUIRE(fixture.watch.applyInitialList(*known));
    REQUIRE(!fixture.watch.applyInitialList(json::Value{}));
    fixture.loop.sched.spawn(fixture.router.run());
    fixture.loop.sched.spawn(fixture.watch.run());
    while (fixture.router.findEndpoint("s-1") == nullptr) co_await fixture.loop.sched.sleep(kMillisecond);
    REQUIRE(fixture.router.findEndpoint("s-1")->isReady);
    REQUIRE(fixture.router.findEndpoint("s-1")->address == "127.0.0.1:9");
    while (fixture.router.findEndpoint("s-1")->isReady) co_await fixture.loop.sched.sleep(kMillisecond);
    REQUIRE(asked[0] == "GET /catalog/members?stream=1&index=41");
    REQUIRE(asked[1] == asked[0]);
    REQUIRE(asked[2] == "GET /catalog/members?stream=1&index=43");
  };
  fixture.loop.run(body());
}

// The instance follows the old address until the new one has sent something.
TEST_CASE("a move of discovery leaves no gap in the updates") {
  std::string old;
  sched::Event more;
  auto here = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await requestLine(s, b);
    auto out = kStream + chunk(listLine(42, "in_service"));
    co_await s.write(out, {});
    co_await s.read(b, {}); // its end
    old = "left";
    more.notify();
  };
  ControlFixture fixture(here);
  std::string asked;
  StandIn there(fixture.loop, [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    asked = co_await requestLine(s, b);
    co_await fixture.loop.sched.sleep(20 * kMillisecond);
    REQUIRE(old.empty()); // it is still read
    const auto out = kStream + chunk(listLine(43, "terminating"));
    co_await s.write(out, {});
    co_await s.read(b, {});
  });
  auto body = [&]() -> sched::Task<> {
    fixture.loop.sched.spawn(fixture.router.run());
    fixture.loop.sched.spawn(fixture.watch.run());
    while (fixture.router.findEndpoint("s-1") == nullptr) co_await fixture.loop.sched.sleep(kMillisecond);
    fixture.watch.moveTo(*net::parseAddress(there.address()));
    while (old.empty()) co_await fixture.loop.sched.wait(more);
    REQUIRE(!fixture.router.findEndpoint("s-1")->isReady);
    REQUIRE(asked == "GET /catalog/members?stream=1&index=42");
    REQUIRE(fixture.server.accepted == 1);
    REQUIRE(there.accepted == 1);
  };
  fixture.loop.run(body());
}

// The new call is sent while the old watch stands, well before the instance counts as notified.
TEST_CASE("a silent watch is replaced in time") {
  Nanoseconds lastLine = 0, asked = 0;
  bool oldStood = false, ended = false;
  ControlFixture *all = nullptr;
  auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    const auto line = co_await requestLine(s, b);
    const bool first = lastLine == 0;
    if (!first) asked = all->loop.sched.now(), oldStood = !ended;
    if (first) lastLine = all->loop.sched.now();
    const auto out = kStream + chunk(listLine(first ? 42 : 43, first ? "in_service" : "terminating"));
    co_await s.write(out, {});
    co_await s.read(b, {});
    ended = ended || first;
  };
  ControlFixture fixture(script);
  all = &fixture;
  auto body = [&]() -> sched::Task<> {
    fixture.loop.sched.spawn(fixture.router.run());
    fixture.loop.sched.spawn(fixture.watch.run());
    while (fixture.router.findEndpoint("s-1") == nullptr) co_await fixture.loop.sched.sleep(kMillisecond);
    while (fixture.router.findEndpoint("s-1")->isReady) co_await fixture.loop.sched.sleep(kMillisecond);
    REQUIRE(oldStood);
    REQUIRE(fixture.server.accepted == 2);
    REQUIRE(asked - lastLine > 2 * kSecond);
    REQUIRE(fixture.loop.sched.now() - lastLine < 5 * kSecond);
  };
  fixture.loop.run(body());
}

// A call is refused while an earlier watch still receives, which closes right after that: the next call comes
// after the usual backoff, not when that watch's next keep-alive would have been overdue.
TEST_CASE("the end of a watch right after a refusal leads to another call") {
  Nanoseconds ended = 0, next = 0;
  bool refused = false;
  ControlFixture *all = nullptr;
  auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await requestLine(s, b);
    if (all->server.accepted > 2) {
      if (next == 0) next = all->loop.sched.now();
      co_await s.read(b, {});
    } else if (all->server.accepted == 2) {
      const std::string refusal = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
      co_await s.write(refusal, {});
      refused = true;
    } else {
      const auto out = kStream + chunk(listLine(42, "in_service"));
      co_await s.write(out, {});
      while (!refused) co_await all->loop.sched.sleep(kMillisecond);
      co_await all->loop.sched.sleep(20 * kMillisecond); // the instance has read the refusal
      const auto keepAlive = chunk("\n");
      co_await s.write(keepAlive, {}); // a keep-alive right before its end
      ended = all->loop.sched.now();
    }
  };
  ControlFixture fixture(script);
  all = &fixture;
  StandIn nowhere(fixture.loop,
                  [](net::Socket &s, net::Buffer &b) -> sched::Task<> { co_await s.read(b, {}); });
  auto body = [&]() -> sched::Task<> {
    fixture.loop.sched.spawn(fixture.watch.run());
    while (fixture.router.findEndpoint("s-1") == nullptr) co_await fixture.loop.sched.sleep(kMillisecond);
    fixture.watch.moveTo(*net::parseAddress(nowhere.address())); // twice in a row, and back again
    fixture.watch.moveTo(*net::parseAddress(fixture.server.address()));
    while (next == 0) co_await fixture.loop.sched.sleep(kMillisecond);
    REQUIRE(ended > 0);
    REQUIRE(next - ended < 1500 * kMillisecond);
  };
  fixture.loop.run(body());
}

// Meanwhile the former address keeps sending messages.
TEST_CASE("a refusal at the new address is followed by another call there") {
  ControlFixture *all = nullptr;
  auto here = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await requestLine(s, b);
    const auto out = kStream + chunk(listLine(42, "in_service")), keepAlive = chunk("\n");
    co_await s.write(out, {});
    auto cause = net::ErrorCode::none;
    while (cause == net::ErrorCode::none) {
      co_await all->loop.sched.sleep(100 * kMillisecond);
      cause = co_await s.write(keepAlive, {});
    }
  };
  ControlFixture fixture(here);
  all = &fixture;
  StandIn there(fixture.loop, [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await requestLine(s, b);
    const std::string refusal = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    const auto out = kStream + chunk(listLine(43, "terminating"));
    co_await s.write(there.accepted == 1 ? refusal : out, {});
    if (there.accepted > 1) co_await s.read(b, {});
  });
  auto body = [&]() -> sched::Task<> {
    fixture.loop.sched.spawn(fixture.watch.run());
    while (fixture.router.findEndpoint("s-1") == nullptr) co_await fixture.loop.sched.sleep(kMillisecond);
    const auto moved = fixture.loop.sched.now();
    fixture.watch.moveTo(*net::parseAddress(there.address()));
    while (fixture.router.findEndpoint("s-1")->isReady) co_await fixture.loop.sched.sleep(kMillisecond);
    REQUIRE(there.accepted == 2);
    REQUIRE(fixture.loop.sched.now() - moved < 8 * kSecond); // discovery_subscription_test has the exact time
  };
  fixture.loop.run(body());
}

TEST_CASE("after a response without a whole message discovery is polled again") {
  const std::vector<std::string> incomplete{
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", kStream, kStream + "0\r\n\r\n",
      kStream + chunk(listLine(41, "in_service").substr(0, 50)), "HTTP/1.1 200 OK\r\nTransfer-Enc"};
  for (const auto &first : incomplete) {
    ControlFixture *all = nullptr;
    auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
      co_await requestLine(s, b);
      const auto out = kStream + chunk(listLine(43, "in_service"));
      if (all->server.accepted == 1) {
        co_await s.write(first, {});
      } else {
        co_await s.write(out, {});
        co_await s.read(b, {});
      }
    };
    ControlFixture fixture(script);
    all = &fixture;
    auto body = [&]() -> sched::Task<> {
      fixture.loop.sched.spawn(fixture.watch.run());
      const auto begun = fixture.loop.sched.now();
      while (fixture.router.findEndpoint("s-1") == nullptr) co_await fixture.loop.sched.sleep(kMillisecond);
      REQUIRE(fixture.server.accepted >= 2);
      REQUIRE(fixture.loop.sched.now() - begun < 8 * kSecond);
    };
    fixture.loop.run(body());
  }
}

// An instance with discovery and one endpoint, s-1, that answers each request at once.
struct DiscoveryAndEndpoint {
  explicit DiscoveryAndEndpoint(StandIn::Script discovery)
      : control(std::move(discovery)), endpoint(control.loop, serve) {
    control.router.onRolloutState({1, 2, RolloutPhase::released, 1, 0});
    control.loop.sched.spawn(control.router.run());
  }
  static sched::Task<> serve(net::Socket &s, net::Buffer &b) {
    const bool admitted = co_await StandIn::admit(s, b);
    if (!admitted) co_return;
    for (std::string sql = co_await StandIn::query(s, b); !sql.empty(); sql = co_await StandIn::query(s, b)) {
      const auto row = StandIn::row("value");
      co_await s.write(row, {});
    }
  }
  std::string list(int index) const {
    return "{\"index\":" + std::to_string(index) +
           ",\"snapshot\":true,\"endpoints\":[{\"name\":\"s-1\",\"address\":\"" + endpoint.address() +
           "\",\"status\":\"in_service\",\"release\":1}]}";
  }
  // What the router decides on a request now; a forwarded one succeeds.
  sched::Task<AttemptDecision::Action> request() {
    sched::CancellationToken stop;
    RequestContext call(0, 7, 400 * kMillisecond, false, control.loop.sched.now());
    const auto decision = co_await control.router.nextAttempt(call, stop);
    if (decision.action == AttemptDecision::forward)
      control.router.onAttemptFinished(call, Outcome::succeeded);
    co_return decision.action;
  }
  ControlFixture control;
  StandIn endpoint;
};

const std::string kRefused = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

// The list known at the start is of unknown age.
TEST_CASE("once the first call since the start has failed, nothing is forwarded until a list comes") {
  bool mayAnswer = false, refused = false;
  DiscoveryAndEndpoint *all = nullptr;
  DiscoveryAndEndpoint fixture([&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await requestLine(s, b);
    if (!mayAnswer) co_await all->control.loop.sched.sleep(100 * kMillisecond);
    const auto out = mayAnswer ? kStream + chunk(all->list(43) + "\n") : kRefused;
    refused = !mayAnswer;
    co_await s.write(out, {});
    if (mayAnswer) co_await s.read(b, {});
  });
  all = &fixture;
  auto body = [&]() -> sched::Task<> {
    const auto known = json::parse(fixture.list(41));
    REQUIRE(fixture.control.watch.applyInitialList(*known));
    fixture.control.loop.sched.spawn(fixture.control.watch.run());
    auto was = co_await fixture.request();
    REQUIRE(was == AttemptDecision::forward); // the known list is relied on while the call is unanswered
    while (!refused) co_await fixture.control.loop.sched.sleep(kMillisecond);
    co_await fixture.control.loop.sched.sleep(20 * kMillisecond);
    was = co_await fixture.request();
    REQUIRE(was == AttemptDecision::shed);
    mayAnswer = true;
    while (was != AttemptDecision::forward) was = co_await fixture.request();
  };
  fixture.control.loop.run(body());
}

// Discovery closes the watch and refuses every further call. Once the instance counts as notified of what it
// may have missed, only an endpoint that has just served is forwarded to.
TEST_CASE("after its watch was closed a list is relied on for a limited time") {
  int asked = 0;
  DiscoveryAndEndpoint *all = nullptr;
  DiscoveryAndEndpoint fixture([&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await requestLine(s, b);
    const auto out = ++asked == 1 ? kStream + chunk(all->list(42) + "\n") : kRefused;
    co_await s.write(out, {});
  });
  all = &fixture;
  auto body = [&]() -> sched::Task<> {
    auto &sched = fixture.control.loop.sched;
    fixture.control.loop.sched.spawn(fixture.control.watch.run());
    while (fixture.control.router.findEndpoint("s-1") == nullptr) co_await sched.sleep(kMillisecond);
    const Nanoseconds ended = sched.now();
    auto was = co_await fixture.request();
    REQUIRE(was == AttemptDecision::forward);
    co_await sched.sleep(ended + 5 * kSecond - sched.now());
    was = co_await fixture.request(); // the success proves it
    REQUIRE(was == AttemptDecision::forward);
    co_await sched.sleep(ended + 6 * kSecond - sched.now());
    was = co_await fixture.request();
    REQUIRE(was == AttemptDecision::forward);
    co_await sched.sleep(ended + 6 * kSecond + 2 * kSecond - sched.now());
    was = co_await fixture.request();
    REQUIRE(was == AttemptDecision::forward);
  };
  fixture.control.loop.run(body());
  DiscoveryAndEndpoint silent([&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await requestLine(s, b);
    const auto out = ++asked == 1 ? kStream + chunk(all->list(42) + "\n") : kRefused;
    co_await s.write(out, {});
  });
  all = &silent, asked = 0;
  auto unproven = [&]() -> sched::Task<> {
    auto &sched = silent.control.loop.sched;
    sched.spawn(silent.control.watch.run());
    while (silent.control.router.findEndpoint("s-1") == nullptr) co_await sched.sleep(kMillisecond);
    co_await sched.sleep(5600 * kMillisecond);
    const auto was = co_await silent.request();
    REQUIRE(was == AttemptDecision::shed);
    REQUIRE(asked > 2);
  };
  silent.control.loop.run(unproven());
}
