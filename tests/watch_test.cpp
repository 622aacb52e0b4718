// The watch on discovery, and what may befall it.
#include "calls.h"

using namespace myrtlehead;

static void theWatchIsFollowedAndAskedForAgain() {
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
    assert(c.watch.start(*known) && !c.watch.start(json::Value{}));
    c.loop.sched.spawn(c.marshal.tick());
    c.loop.sched.spawn(c.watch.run());
    while (c.marshal.find("s-1") == nullptr) co_await c.loop.sched.sleep(kMs);
    assert(c.marshal.find("s-1")->listed && c.marshal.find("s-1")->address == "127.0.0.1:9");
    while (c.marshal.find("s-1")->listed) co_await c.loop.sched.sleep(kMs);
    assert(asked[0] == "GET /catalog/members?stream=1&index=41" && asked[1] == asked[0]);
    assert(asked[2] == "GET /catalog/members?stream=1&index=43");
  };
  c.loop.run(body());
}

// Told of another address, the marshal reads on where it was until the new place has told something.
static void theWatchMovesWithoutAGap() {
  std::string old;
  sched::Signal more;
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
    co_await c.loop.sched.sleep(20 * kMs);
    assert(old.empty()); // it is still read
    const auto out = kStream + chunk(listLine(43, "terminating"));
    co_await s.write(out, {});
    co_await s.read(b, {});
  });
  auto body = [&]() -> sched::Task<> {
    c.loop.sched.spawn(c.marshal.tick());
    c.loop.sched.spawn(c.watch.run());
    while (c.marshal.find("s-1") == nullptr) co_await c.loop.sched.sleep(kMs);
    c.watch.moveTo(*net::parseAddress(there.address()));
    while (old.empty()) co_await c.loop.sched.wait(more);
    assert(!c.marshal.find("s-1")->listed && asked == "GET /catalog/members?stream=1&index=42");
    assert(c.server.accepted == 1 && there.accepted == 1);
  };
  c.loop.run(body());
}

// A watch without a line is asked for anew while the old one stands, and well before what it misses counts.
static void aSilentWatchIsOpenedAnewInTime() {
  Ns lastLine = 0, asked = 0;
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
    c.loop.sched.spawn(c.marshal.tick());
    c.loop.sched.spawn(c.watch.run());
    while (c.marshal.find("s-1") == nullptr) co_await c.loop.sched.sleep(kMs);
    while (c.marshal.find("s-1")->listed) co_await c.loop.sched.sleep(kMs);
    assert(oldStood && c.server.accepted == 2);
    assert(asked - lastLine > 2 * kSec && c.loop.sched.now() - lastLine < 5 * kSec);
  };
  c.loop.run(body());
}

int main() {
  theWatchIsFollowedAndAskedForAgain();
  theWatchMovesWithoutAGap();
  aSilentWatchIsOpenedAnewInTime();
}
