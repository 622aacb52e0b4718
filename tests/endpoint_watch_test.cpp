// The watch on discovery, and what may befall it.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "control_fixture.h"

using namespace myrtlehead;

TEST_CASE("the watch is followed and asked for again") {
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
  Calls c(script);
  auto body = [&]() -> sched::Task<> {
    const auto known = json::parse(R"({"index":41,"snapshot":true,"endpoints":[]})");
    REQUIRE(c.watch.start(*known));
    REQUIRE(!c.watch.start(json::Value{}));
    c.loop.sched.spawn(c.router.run());
    c.loop.sched.spawn(c.watch.run());
    while (c.router.findEndpoint("s-1") == nullptr) co_await c.loop.sched.sleep(kMillisecond);
    REQUIRE(c.router.findEndpoint("s-1")->isReady);
    REQUIRE(c.router.findEndpoint("s-1")->address == "127.0.0.1:9");
    while (c.router.findEndpoint("s-1")->isReady) co_await c.loop.sched.sleep(kMillisecond);
    REQUIRE(asked[0] == "GET /catalog/members?stream=1&index=41");
    REQUIRE(asked[1] == asked[0]);
    REQUIRE(asked[2] == "GET /catalog/members?stream=1&index=43");
  };
  c.loop.run(body());
}

// Told of another address, the instance reads on where it was until the new place has told something.
TEST_CASE("the watch moves without a gap") {
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
  Calls c(here);
  std::string asked;
  StandIn there(c.loop, [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    asked = co_await requestLine(s, b);
    co_await c.loop.sched.sleep(20 * kMillisecond);
    REQUIRE(old.empty()); // it is still read
    const auto out = kStream + chunk(listLine(43, "terminating"));
    co_await s.write(out, {});
    co_await s.read(b, {});
  });
  auto body = [&]() -> sched::Task<> {
    c.loop.sched.spawn(c.router.run());
    c.loop.sched.spawn(c.watch.run());
    while (c.router.findEndpoint("s-1") == nullptr) co_await c.loop.sched.sleep(kMillisecond);
    c.watch.moveTo(*net::parseAddress(there.address()));
    while (old.empty()) co_await c.loop.sched.wait(more);
    REQUIRE(!c.router.findEndpoint("s-1")->isReady);
    REQUIRE(asked == "GET /catalog/members?stream=1&index=42");
    REQUIRE(c.server.accepted == 1);
    REQUIRE(there.accepted == 1);
  };
  c.loop.run(body());
}

// A watch without a line is asked for anew while the old one stands, and well before what it misses counts.
TEST_CASE("a silent watch is opened anew in time") {
  Nanoseconds lastLine = 0, asked = 0;
  bool oldStood = false, ended = false;
  Calls *all = nullptr;
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
  Calls c(script);
  all = &c;
  auto body = [&]() -> sched::Task<> {
    c.loop.sched.spawn(c.router.run());
    c.loop.sched.spawn(c.watch.run());
    while (c.router.findEndpoint("s-1") == nullptr) co_await c.loop.sched.sleep(kMillisecond);
    while (c.router.findEndpoint("s-1")->isReady) co_await c.loop.sched.sleep(kMillisecond);
    REQUIRE(oldStood);
    REQUIRE(c.server.accepted == 2);
    REQUIRE(asked - lastLine > 2 * kSecond);
    REQUIRE(c.loop.sched.now() - lastLine < 5 * kSecond);
  };
  c.loop.run(body());
}

// A call is refused while an earlier watch still tells, which ends right behind that: the next call comes as
// after any end, not when that watch's next line would have been overdue.
TEST_CASE("an end behind a refusal is not forgotten") {
  Nanoseconds ended = 0, next = 0;
  bool refused = false;
  Calls *all = nullptr;
  auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await requestLine(s, b);
    if (all->server.accepted > 2) {
      if (next == 0) next = all->loop.sched.now();
      co_await s.read(b, {});
    } else if (all->server.accepted == 2) {
      const std::string no = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
      co_await s.write(no, {});
      refused = true;
    } else {
      const auto out = kStream + chunk(listLine(42, "in_service"));
      co_await s.write(out, {});
      while (!refused) co_await all->loop.sched.sleep(kMillisecond);
      co_await all->loop.sched.sleep(20 * kMillisecond); // the instance has read it
      const auto life = chunk("\n");
      co_await s.write(life, {}); // it tells up to its end
      ended = all->loop.sched.now();
    }
  };
  Calls c(script);
  all = &c;
  StandIn nowhere(c.loop, [](net::Socket &s, net::Buffer &b) -> sched::Task<> { co_await s.read(b, {}); });
  auto body = [&]() -> sched::Task<> {
    c.loop.sched.spawn(c.watch.run());
    while (c.router.findEndpoint("s-1") == nullptr) co_await c.loop.sched.sleep(kMillisecond);
    c.watch.moveTo(*net::parseAddress(nowhere.address())); // twice in a row, and back again
    c.watch.moveTo(*net::parseAddress(c.server.address()));
    while (next == 0) co_await c.loop.sched.sleep(kMillisecond);
    REQUIRE(ended > 0);
    REQUIRE(next - ended < 1500 * kMillisecond);
  };
  c.loop.run(body());
}

// The new place refuses the first call while the former one, which is to go, tells on: it is asked again all
// the same.
TEST_CASE("a refusal at the new place is not the last call there") {
  Calls *all = nullptr;
  auto here = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await requestLine(s, b);
    const auto out = kStream + chunk(listLine(42, "in_service")), life = chunk("\n");
    co_await s.write(out, {});
    auto cause = net::ErrorCode::none;
    while (cause == net::ErrorCode::none) {
      co_await all->loop.sched.sleep(100 * kMillisecond);
      cause = co_await s.write(life, {});
    }
  };
  Calls c(here);
  all = &c;
  StandIn there(c.loop, [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await requestLine(s, b);
    const std::string no = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    const auto out = kStream + chunk(listLine(43, "terminating"));
    co_await s.write(there.accepted == 1 ? no : out, {});
    if (there.accepted > 1) co_await s.read(b, {});
  });
  auto body = [&]() -> sched::Task<> {
    c.loop.sched.spawn(c.watch.run());
    while (c.router.findEndpoint("s-1") == nullptr) co_await c.loop.sched.sleep(kMillisecond);
    const auto moved = c.loop.sched.now();
    c.watch.moveTo(*net::parseAddress(there.address()));
    while (c.router.findEndpoint("s-1")->isReady) co_await c.loop.sched.sleep(kMillisecond);
    REQUIRE(there.accepted == 2);
    REQUIRE(c.loop.sched.now() - moved < 8 * kSecond); // subscription_test has the exact time
  };
  c.loop.run(body());
}

// What is no list and no sign of life is asked for again, and nothing of it is taken for a list.
TEST_CASE("what tells nothing is asked for again") {
  const std::vector<std::string> odd{
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", kStream, kStream + "0\r\n\r\n",
      kStream + chunk(listLine(41, "in_service").substr(0, 50)), "HTTP/1.1 200 OK\r\nTransfer-Enc"};
  for (const auto &first : odd) {
    Calls *all = nullptr;
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
    Calls c(script);
    all = &c;
    auto body = [&]() -> sched::Task<> {
      c.loop.sched.spawn(c.watch.run());
      const auto begun = c.loop.sched.now();
      while (c.router.findEndpoint("s-1") == nullptr) co_await c.loop.sched.sleep(kMillisecond);
      REQUIRE(c.server.accepted >= 2);
      REQUIRE(c.loop.sched.now() - begun < 8 * kSecond);
    };
    c.loop.run(body());
  }
}

// A instance before discovery and one endpoint, s-1, that answers each request at once.
struct WithNode {
  explicit WithNode(StandIn::Script discovery) : calls(std::move(discovery)), node(calls.loop, serve) {
    calls.router.onRolloutState({1, 2, RolloutPhase::released, 1, 0});
    calls.loop.sched.spawn(calls.router.run());
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
           ",\"snapshot\":true,\"endpoints\":[{\"name\":\"s-1\",\"address\":\"" + node.address() +
           "\",\"status\":\"in_service\",\"release\":1}]}";
  }
  // What becomes of a request now: sent and answered, or not sent.
  sched::Task<AttemptDecision::Action> request() {
    sched::CancellationToken stop;
    RequestContext call(0, 7, 400 * kMillisecond, false, calls.loop.sched.now());
    const auto decision = co_await calls.router.nextAttempt(call, stop);
    if (decision.action == AttemptDecision::forward) calls.router.onAttemptFinished(call, Outcome::succeeded);
    co_return decision.action;
  }
  Calls calls;
  StandIn node;
};

const std::string kRefused = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

// A process whose first call is refused has a list of unknown age: it sends nothing until one has come.
TEST_CASE("a start without a list sends nothing once its call has failed") {
  bool mayAnswer = false, refused = false;
  WithNode *all = nullptr;
  WithNode w([&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await requestLine(s, b);
    if (!mayAnswer) co_await all->calls.loop.sched.sleep(100 * kMillisecond);
    const auto out = mayAnswer ? kStream + chunk(all->list(43) + "\n") : kRefused;
    refused = !mayAnswer;
    co_await s.write(out, {});
    if (mayAnswer) co_await s.read(b, {});
  });
  all = &w;
  auto body = [&]() -> sched::Task<> {
    const auto known = json::parse(w.list(41));
    REQUIRE(w.calls.watch.start(*known));
    w.calls.loop.sched.spawn(w.calls.watch.run());
    auto was = co_await w.request();
    REQUIRE(was == AttemptDecision::forward); // what is known is believed while the call is out
    while (!refused) co_await w.calls.loop.sched.sleep(kMillisecond);
    co_await w.calls.loop.sched.sleep(20 * kMillisecond);
    was = co_await w.request();
    REQUIRE(was == AttemptDecision::shed);
    mayAnswer = true;
    while (was != AttemptDecision::forward) was = co_await w.request();
  };
  w.calls.loop.run(body());
}

// A watch that discovery ends, with every further call refused: once what it misses may count as told, only a
// endpoint that has just served is sent to.
TEST_CASE("a list is doubted in time after its watch was ended") {
  int asked = 0;
  WithNode *all = nullptr;
  WithNode w([&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await requestLine(s, b);
    const auto out = ++asked == 1 ? kStream + chunk(all->list(42) + "\n") : kRefused;
    co_await s.write(out, {});
  });
  all = &w;
  auto body = [&]() -> sched::Task<> {
    auto &sched = w.calls.loop.sched;
    w.calls.loop.sched.spawn(w.calls.watch.run());
    while (w.calls.router.findEndpoint("s-1") == nullptr) co_await sched.sleep(kMillisecond);
    const Nanoseconds ended = sched.now();
    auto was = co_await w.request();
    REQUIRE(was == AttemptDecision::forward);
    co_await sched.sleep(ended + 5 * kSecond - sched.now());
    was = co_await w.request(); // it serves, and is proven by that
    REQUIRE(was == AttemptDecision::forward);
    co_await sched.sleep(ended + 6 * kSecond - sched.now());
    was = co_await w.request();
    REQUIRE(was == AttemptDecision::forward);
    co_await sched.sleep(ended + 6 * kSecond + 2 * kSecond - sched.now());
    was = co_await w.request();
    REQUIRE(was == AttemptDecision::forward);
  };
  w.calls.loop.run(body());
  WithNode silent([&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await requestLine(s, b);
    const auto out = ++asked == 1 ? kStream + chunk(all->list(42) + "\n") : kRefused;
    co_await s.write(out, {});
  });
  all = &silent, asked = 0;
  auto unproven = [&]() -> sched::Task<> {
    auto &sched = silent.calls.loop.sched;
    sched.spawn(silent.calls.watch.run());
    while (silent.calls.router.findEndpoint("s-1") == nullptr) co_await sched.sleep(kMillisecond);
    co_await sched.sleep(5600 * kMillisecond);
    const auto was = co_await silent.request();
    REQUIRE(was == AttemptDecision::shed);
    REQUIRE(asked > 2);
  };
  silent.calls.loop.run(unproven());
}
