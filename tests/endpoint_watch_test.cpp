// Tests of the watch on discovery: updates, address changes, silence, error responses and malformed messages.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "control_fixture.h"

using namespace myrtlehead;

TEST_CASE("updates are applied, and discovery is polled again after an error") {
  std::vector<std::string> requests;
  auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    requests.push_back(co_await readRequestLine(s, b));
    std::string out = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"; // the first call fails
    if (requests.size() == 2) { // a line in two chunks, an empty line, then a line that is not a list
      const auto line = watchEvent(43, "in_service");
      out = kChunkedResponseHead + chunk(line.substr(0, 20)) + chunk(line.substr(20) + "\n") +
            chunk("{\"index\":44}\n");
    }
    if (requests.size() == 3) out = kChunkedResponseHead + chunk(watchEvent(45, "terminating"));
    co_await s.write(out, {});
    if (requests.size() < 3) co_return;
    co_await s.read(b, {});
  };
  ControlFixture fixture(script);
  auto body = [&]() -> sched::Task<> {
    const auto initialList = json::parse(R"({"index":41,"snapshot":true,"endpoints":[]})");
    REQUIRE(fixture.watch.applyInitialList(*initialList));
    REQUIRE(!fixture.watch.applyInitialList(json::Value{}));
    fixture.loop.sched.spawn(fixture.router.run());
    fixture.loop.sched.spawn(fixture.watch.run());
    while (fixture.router.findEndpoint("s-1") == nullptr) co_await fixture.loop.sched.sleep(kMillisecond);
    REQUIRE(fixture.router.findEndpoint("s-1")->isReady);
    REQUIRE(fixture.router.findEndpoint("s-1")->address == "127.0.0.1:9");
    while (fixture.router.findEndpoint("s-1")->isReady) co_await fixture.loop.sched.sleep(kMillisecond);
    REQUIRE(requests[0] == "GET /catalog/members?stream=1&index=41");
    REQUIRE(requests[1] == requests[0]);
    REQUIRE(requests[2] == "GET /catalog/members?stream=1&index=43");
  };
  fixture.loop.run(body());
}

// The watch at the previous address must be read until the new address has sent a message.
TEST_CASE("a change of discovery's address leaves no gap in the updates") {
  bool previousEnded = false;
  sched::Event ended;
  auto previousServer = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await readRequestLine(s, b);
    auto out = kChunkedResponseHead + chunk(watchEvent(42, "in_service"));
    co_await s.write(out, {});
    co_await s.read(b, {}); // returns when the instance closes the connection
    previousEnded = true;
    ended.notify();
  };
  ControlFixture fixture(previousServer);
  std::string request;
  ScriptedServer newServer(fixture.loop, [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    request = co_await readRequestLine(s, b);
    co_await fixture.loop.sched.sleep(20 * kMillisecond);
    REQUIRE(!previousEnded); // the watch at the previous address is still read
    const auto out = kChunkedResponseHead + chunk(watchEvent(43, "terminating"));
    co_await s.write(out, {});
    co_await s.read(b, {});
  });
  auto body = [&]() -> sched::Task<> {
    fixture.loop.sched.spawn(fixture.router.run());
    fixture.loop.sched.spawn(fixture.watch.run());
    while (fixture.router.findEndpoint("s-1") == nullptr) co_await fixture.loop.sched.sleep(kMillisecond);
    fixture.watch.moveTo(*net::parseAddress(newServer.address()));
    while (!previousEnded) co_await fixture.loop.sched.wait(ended);
    REQUIRE(!fixture.router.findEndpoint("s-1")->isReady);
    REQUIRE(request == "GET /catalog/members?stream=1&index=42");
    REQUIRE(fixture.server.acceptedConnections == 1);
    REQUIRE(newServer.acceptedConnections == 1);
  };
  fixture.loop.run(body());
}

// The answer at the new address was made before the drain that the previous address tells meanwhile.
TEST_CASE("an older list on a new watch makes a draining endpoint ready again") {
  bool isPolled = false, isOlderSent = false;
  ControlFixture *all = nullptr;
  ControlFixture fixture([&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await readRequestLine(s, b);
    const auto first = kChunkedResponseHead + chunk(watchEvent(42, "in_service"));
    co_await s.write(first, {});
    while (!isPolled) co_await all->loop.sched.sleep(kMillisecond);
    const auto drain = chunk(watchEvent(44, "terminating"));
    co_await s.write(drain, {});
    co_await s.read(b, {});
  });
  all = &fixture;
  ScriptedServer newServer(fixture.loop, [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await readRequestLine(s, b);
    isPolled = true;
    while (fixture.router.findEndpoint("s-1")->isReady) co_await fixture.loop.sched.sleep(kMillisecond);
    const auto older = kChunkedResponseHead + chunk(watchEvent(43, "in_service"));
    co_await s.write(older, {});
    isOlderSent = true;
    co_await fixture.loop.sched.sleep(50 * kMillisecond);
    const auto newest = chunk(watchEvent(45, "in_service"));
    co_await s.write(newest, {});
    co_await s.read(b, {});
  });
  auto body = [&]() -> sched::Task<> {
    fixture.loop.sched.spawn(fixture.watch.run());
    while (fixture.router.findEndpoint("s-1") == nullptr) co_await fixture.loop.sched.sleep(kMillisecond);
    fixture.watch.moveTo(*net::parseAddress(newServer.address()));
    while (!isOlderSent) co_await fixture.loop.sched.sleep(kMillisecond);
    co_await fixture.loop.sched.sleep(20 * kMillisecond);
    CHECK(!fixture.router.findEndpoint("s-1")->isReady);
    while (!fixture.router.findEndpoint("s-1")->isReady) co_await fixture.loop.sched.sleep(kMillisecond);
  };
  fixture.loop.run(body());
}

// The new call must be sent while the silent watch is still open, and well before the instance counts as
// notified.
TEST_CASE("a silent watch is replaced in time") {
  Nanoseconds firstWatchAt = 0, secondCallAt = 0;
  bool wasFirstOpen = false, ended = false;
  ControlFixture *all = nullptr;
  auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    const auto line = co_await readRequestLine(s, b);
    const bool first = firstWatchAt == 0;
    if (!first) secondCallAt = all->loop.sched.now(), wasFirstOpen = !ended;
    if (first) firstWatchAt = all->loop.sched.now();
    const auto out = kChunkedResponseHead +
                     chunk(watchEvent(first ? 42 : 43, first ? "in_service" : "terminating"));
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
    REQUIRE(wasFirstOpen);
    REQUIRE(fixture.server.acceptedConnections == 2);
    REQUIRE(secondCallAt - firstWatchAt > 2 * kSecond);
    REQUIRE(fixture.loop.sched.now() - firstWatchAt < 5 * kSecond);
  };
  fixture.loop.run(body());
}

// A call is rejected while an earlier watch still receives messages, and that watch closes shortly
// afterwards. The next call must be sent after the usual backoff, not only when the watch's next keep-alive
// would be overdue.
TEST_CASE("the end of a watch right after a rejected call leads to another call") {
  Nanoseconds endedAt = 0, nextCallAt = 0;
  bool rejected = false;
  ControlFixture *all = nullptr;
  auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await readRequestLine(s, b);
    if (all->server.acceptedConnections > 2) {
      if (nextCallAt == 0) nextCallAt = all->loop.sched.now();
      co_await s.read(b, {});
    } else if (all->server.acceptedConnections == 2) {
      const std::string rejection = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
      co_await s.write(rejection, {});
      rejected = true;
    } else {
      const auto out = kChunkedResponseHead + chunk(watchEvent(42, "in_service"));
      co_await s.write(out, {});
      while (!rejected) co_await all->loop.sched.sleep(kMillisecond);
      co_await all->loop.sched.sleep(20 * kMillisecond); // lets the instance read the error response
      const auto keepAlive = chunk("\n");
      co_await s.write(keepAlive, {}); // a keep-alive immediately before the watch ends
      endedAt = all->loop.sched.now();
    }
  };
  ControlFixture fixture(script);
  all = &fixture;
  ScriptedServer otherServer(fixture.loop,
                             [](net::Socket &s, net::Buffer &b) -> sched::Task<> { co_await s.read(b, {}); });
  auto body = [&]() -> sched::Task<> {
    fixture.loop.sched.spawn(fixture.watch.run());
    while (fixture.router.findEndpoint("s-1") == nullptr) co_await fixture.loop.sched.sleep(kMillisecond);
    fixture.watch.moveTo(*net::parseAddress(otherServer.address())); // to another address and back
    fixture.watch.moveTo(*net::parseAddress(fixture.server.address()));
    while (nextCallAt == 0) co_await fixture.loop.sched.sleep(kMillisecond);
    REQUIRE(endedAt > 0);
    REQUIRE(nextCallAt - endedAt < 1500 * kMillisecond);
  };
  fixture.loop.run(body());
}

// The previous address keeps sending messages, which must not delay the next call to the new address.
TEST_CASE("a rejected call at the new address is followed by another call there") {
  ControlFixture *all = nullptr;
  auto previousServer = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await readRequestLine(s, b);
    const auto out = kChunkedResponseHead + chunk(watchEvent(42, "in_service")), keepAlive = chunk("\n");
    co_await s.write(out, {});
    auto cause = net::ErrorCode::none;
    while (cause == net::ErrorCode::none) {
      co_await all->loop.sched.sleep(100 * kMillisecond);
      cause = co_await s.write(keepAlive, {});
    }
  };
  ControlFixture fixture(previousServer);
  all = &fixture;
  ScriptedServer newServer(fixture.loop, [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await readRequestLine(s, b);
    const std::string rejection = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    const auto out = kChunkedResponseHead + chunk(watchEvent(43, "terminating"));
    co_await s.write(newServer.acceptedConnections == 1 ? rejection : out, {});
    if (newServer.acceptedConnections > 1) co_await s.read(b, {});
  });
  auto body = [&]() -> sched::Task<> {
    fixture.loop.sched.spawn(fixture.watch.run());
    while (fixture.router.findEndpoint("s-1") == nullptr) co_await fixture.loop.sched.sleep(kMillisecond);
    const auto movedAt = fixture.loop.sched.now();
    fixture.watch.moveTo(*net::parseAddress(newServer.address()));
    while (fixture.router.findEndpoint("s-1")->isReady) co_await fixture.loop.sched.sleep(kMillisecond);
    REQUIRE(newServer.acceptedConnections == 2);
    REQUIRE(fixture.loop.sched.now() - movedAt <
            8 * kSecond); // discovery_subscription_test checks the exact time
  };
  fixture.loop.run(body());
}

TEST_CASE("discovery is polled again after a response without a complete message") {
  const std::vector<std::string> incomplete{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                                            kChunkedResponseHead, kChunkedResponseHead + "0\r\n\r\n",
                                            kChunkedResponseHead +
                                                chunk(watchEvent(41, "in_service").substr(0, 50)),
                                            "HTTP/1.1 200 OK\r\nTransfer-Enc"};
  for (const auto &first : incomplete) {
    ControlFixture *all = nullptr;
    auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
      co_await readRequestLine(s, b);
      const auto out = kChunkedResponseHead + chunk(watchEvent(43, "in_service"));
      if (all->server.acceptedConnections == 1) {
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
      const auto startedAt = fixture.loop.sched.now();
      while (fixture.router.findEndpoint("s-1") == nullptr) co_await fixture.loop.sched.sleep(kMillisecond);
      REQUIRE(fixture.server.acceptedConnections >= 2);
      REQUIRE(fixture.loop.sched.now() - startedAt < 8 * kSecond);
    };
    fixture.loop.run(body());
  }
}

// An instance with discovery and one endpoint, s-1, that answers each request at once.
struct DiscoveryAndEndpoint {
  explicit DiscoveryAndEndpoint(ScriptedServer::Script discovery)
      : control(std::move(discovery)), endpoint(control.loop, serve) {
    control.router.onRolloutState({1, 2, RolloutPhase::released, 1, 0});
    control.loop.sched.spawn(control.router.run());
  }
  static sched::Task<> serve(net::Socket &s, net::Buffer &b) {
    const bool admitted = co_await ScriptedServer::acceptStartup(s, b);
    if (!admitted) co_return;
    for (std::string sql = co_await ScriptedServer::readQuery(s, b); !sql.empty();
         sql = co_await ScriptedServer::readQuery(s, b)) {
      const auto row = ScriptedServer::rowAnswer("value");
      co_await s.write(row, {});
    }
  }
  std::string list(int index) const {
    return "{\"index\":" + std::to_string(index) +
           ",\"snapshot\":true,\"endpoints\":[{\"name\":\"s-1\",\"address\":\"" + endpoint.address() +
           "\",\"status\":\"in_service\",\"release\":1}]}";
  }
  // Sends one request through the router and returns the decision. A forwarded attempt is reported as
  // succeeded.
  sched::Task<AttemptDecision::Action> request() {
    sched::CancellationToken stop;
    RequestContext call(0, 7, 400 * kMillisecond, false, control.loop.sched.now());
    const auto decision = co_await control.router.nextAttempt(call, stop);
    if (decision.action == AttemptDecision::forward)
      control.router.onAttemptFinished(call, Outcome::succeeded);
    co_return decision.action;
  }
  ControlFixture control;
  ScriptedServer endpoint;
};

const std::string kRejection = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

// The age of the initial list is unknown, so it may contain endpoints that have been removed.
TEST_CASE("after the first call since the start has failed, nothing is forwarded until a list is received") {
  bool mayAnswer = false, rejected = false;
  DiscoveryAndEndpoint *all = nullptr;
  DiscoveryAndEndpoint fixture([&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await readRequestLine(s, b);
    if (!mayAnswer) co_await all->control.loop.sched.sleep(100 * kMillisecond);
    const auto out = mayAnswer ? kChunkedResponseHead + chunk(all->list(43) + "\n") : kRejection;
    rejected = !mayAnswer;
    co_await s.write(out, {});
    if (mayAnswer) co_await s.read(b, {});
  });
  all = &fixture;
  auto body = [&]() -> sched::Task<> {
    const auto initialList = json::parse(fixture.list(41));
    REQUIRE(fixture.control.watch.applyInitialList(*initialList));
    fixture.control.loop.sched.spawn(fixture.control.watch.run());
    auto action = co_await fixture.request();
    REQUIRE(action == AttemptDecision::forward); // the initial list is relied on while the call is unanswered
    while (!rejected) co_await fixture.control.loop.sched.sleep(kMillisecond);
    co_await fixture.control.loop.sched.sleep(20 * kMillisecond);
    action = co_await fixture.request();
    REQUIRE(action == AttemptDecision::shed);
    mayAnswer = true;
    while (action != AttemptDecision::forward) action = co_await fixture.request();
  };
  fixture.control.loop.run(body());
}

// Discovery closes the watch and rejects every later call. Once the instance counts as notified of changes
// that it may have missed, requests may be forwarded only to an endpoint that has just answered one.
TEST_CASE("a list whose watch was closed is relied on for a limited time") {
  int calls = 0;
  DiscoveryAndEndpoint *all = nullptr;
  DiscoveryAndEndpoint fixture([&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await readRequestLine(s, b);
    const auto out = ++calls == 1 ? kChunkedResponseHead + chunk(all->list(42) + "\n") : kRejection;
    co_await s.write(out, {});
  });
  all = &fixture;
  auto body = [&]() -> sched::Task<> {
    auto &sched = fixture.control.loop.sched;
    fixture.control.loop.sched.spawn(fixture.control.watch.run());
    while (fixture.control.router.findEndpoint("s-1") == nullptr) co_await sched.sleep(kMillisecond);
    const Nanoseconds ended = sched.now();
    auto action = co_await fixture.request();
    REQUIRE(action == AttemptDecision::forward);
    co_await sched.sleep(ended + 5 * kSecond - sched.now());
    action = co_await fixture.request(); // the earlier success proves the endpoint
    REQUIRE(action == AttemptDecision::forward);
    co_await sched.sleep(ended + 6 * kSecond - sched.now());
    action = co_await fixture.request();
    REQUIRE(action == AttemptDecision::forward);
    co_await sched.sleep(ended + 6 * kSecond + 2 * kSecond - sched.now());
    action = co_await fixture.request();
    REQUIRE(action == AttemptDecision::forward);
  };
  fixture.control.loop.run(body());
  DiscoveryAndEndpoint silent([&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await readRequestLine(s, b);
    const auto out = ++calls == 1 ? kChunkedResponseHead + chunk(all->list(42) + "\n") : kRejection;
    co_await s.write(out, {});
  });
  all = &silent, calls = 0;
  auto sendUnprovenRequest = [&]() -> sched::Task<> {
    auto &sched = silent.control.loop.sched;
    sched.spawn(silent.control.watch.run());
    while (silent.control.router.findEndpoint("s-1") == nullptr) co_await sched.sleep(kMillisecond);
    co_await sched.sleep(5600 * kMillisecond);
    const auto action = co_await silent.request();
    REQUIRE(action == AttemptDecision::shed);
    REQUIRE(calls > 2);
  };
  silent.control.loop.run(sendUnprovenRequest());
}
