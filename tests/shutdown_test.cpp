// Graceful shutdown of the clients' side, in orders that are rare: each is made to happen every time, by
// blocking the scheduler until the other side has come to the point.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "raw_client.h"

#include <ctime>

using namespace myrtlehead;

namespace {

constexpr Nanoseconds kAcceptTime =
    500 * kMillisecond; // from the shutdown's begin: so long connections are accepted

// A proxy whose listener is shut down at once, and whose scheduler halts when that has ended, as the
// program's does.
struct ShutdownFixture : FixedAnswerProxy {
  using FixedAnswerProxy::FixedAnswerProxy;
  void run() {
    begun = loop.sched.now();
    loop.run(listener.shutDown());
    took = loop.sched.now() - begun;
  }
  // Runs `act` that long after the shutdown's begin, before whatever else is due then.
  void at(Nanoseconds time, std::function<void()> act) { loop.sched.spawn(later(time, std::move(act))); }
  // Blocks the scheduler from one time to another: what arrives meanwhile is handled in one round.
  void blockSchedulerBetween(Nanoseconds from, Nanoseconds to) {
    at(from, [this, until = loop.sched.now() + to] {
      timespec t{};
      do clock_gettime(CLOCK_MONOTONIC, &t);
      while (t.tv_sec * kSecond + t.tv_nsec < until);
    });
  }
  Nanoseconds begun = 0, took = 0;

private:
  sched::Task<> later(Nanoseconds time, std::function<void()> act) {
    co_await loop.sched.sleep(time);
    act();
  }
};

} // namespace

// Accepted in the round in which the listener closes: its session has not run yet.
TEST_CASE("a session that has not run yet is answered and closed") {
  ShutdownFixture proxy;
  std::unique_ptr<RawClient> client;
  proxy.at(kAcceptTime - 150 * kMillisecond, [&] {
    client = std::make_unique<RawClient>(proxy.listener.address());
    client->write(startupMessage() + requestMessage(1));
  });
  proxy.blockSchedulerBetween(kAcceptTime - 150 * kMillisecond, kAcceptTime + 20 * kMillisecond);
  proxy.run();
  REQUIRE(client->readToEnd() == "RZTDCZ");
}

// Accepted by the system, and not by this process, when the listener closes.
TEST_CASE("connections in the backlog are answered") {
  ShutdownFixture proxy;
  std::vector<std::unique_ptr<RawClient>> clients;
  proxy.blockSchedulerBetween(kAcceptTime - 150 * kMillisecond, kAcceptTime + 20 * kMillisecond);
  proxy.at(kAcceptTime - 5 * kMillisecond, [&] { // in that round, right before the listener closes
    for (int i = 0; i < 50; ++i) {
      clients.push_back(std::make_unique<RawClient>(proxy.listener.address()));
      clients.back()->write(startupMessage() + requestMessage(i));
    }
  });
  proxy.run();
  for (const auto &client : clients) REQUIRE(client->readToEnd() == "RZTDCZ");
}

// All descriptors are used by requests in flight, so none is accepted; those in the backlog are answered in
// time.
TEST_CASE("connections in the backlog are answered where descriptors are short") {
  ShutdownFixture proxy(StandIn::row("value"), 300 * kMillisecond, 24);
  std::vector<std::unique_ptr<RawClient>> clients;
  proxy.at(kAcceptTime - 200 * kMillisecond, [&] {
    for (int i = 0; i < 40; ++i) {
      clients.push_back(std::make_unique<RawClient>(proxy.listener.address()));
      clients.back()->write(startupMessage() + requestMessage(i));
    }
  });
  for (Nanoseconds t = kAcceptTime; t < kAcceptTime + 200 * kMillisecond; t += 2 * kMillisecond)
    proxy.at(t, [&] {
      for (const auto &client : clients) client->readAvailable();
    });
  proxy.run();
  int served = 0;
  for (const auto &client : clients) {
    std::string codes;
    const auto got = client->readToEnd(&codes);
    served += got == "RZTDCZ";
    REQUIRE((got == "RZTDCZ" || codes == "53300 "));
  }
  REQUIRE(served > 0); // how many is the overload's matter: one endpoint, and each request takes 300 ms
}

// A connection that came last has its first message still on the way.
TEST_CASE("a new connection may still send its first request") {
  ShutdownFixture proxy;
  std::unique_ptr<RawClient> said, asked, silent;
  proxy.at(kAcceptTime - 80 * kMillisecond, [&] {
    said = std::make_unique<RawClient>(proxy.listener.address());
    asked = std::make_unique<RawClient>(proxy.listener.address());
    silent = std::make_unique<RawClient>(proxy.listener.address());
    asked->write(startupMessage());
  });
  proxy.at(kAcceptTime + 20 * kMillisecond, [&] {
    said->write(startupMessage() + requestMessage(1));
    asked->write(requestMessage(2));
  });
  proxy.run();
  REQUIRE(said->readToEnd() == "RZTDCZ");
  REQUIRE(asked->readToEnd() == "RZTDCZ");
  REQUIRE(silent->readToEnd().empty());
}

// Behind one in flight: all are attempted beside it, and answered in order before the end.
TEST_CASE("pipelined requests are answered in order during a shutdown") {
  ShutdownFixture proxy(StandIn::row("value"), 300 * kMillisecond);
  RawClient client(proxy.listener.address());
  client.write(startupMessage());
  proxy.at(kAcceptTime - 50 * kMillisecond,
           [&] { client.write(requestMessage(1) + requestMessage(2, "once") + requestMessage(3)); });
  proxy.run();
  std::string codes;
  REQUIRE(client.readToEnd(&codes) == "RZTDCZTDCZTDCZ");
  REQUIRE(codes.empty());
  REQUIRE(proxy.received.size() == 3);
  REQUIRE(proxy.took < 2 * kSecond + kAcceptTime);
}

// Twelve descriptors allow four requests in flight: what is not admitted in time is rejected in its turn,
// with a code that says that a retry is harmless, and is never forwarded; none is skipped.
TEST_CASE("pipelined requests beyond the capacity are rejected in order during a shutdown") {
  ShutdownFixture proxy(StandIn::row("value"), 300 * kMillisecond, 12);
  RawClient client(proxy.listener.address());
  client.write(startupMessage());
  proxy.at(kAcceptTime - 50 * kMillisecond, [&] {
    client.write(requestMessage(1) + requestMessage(2, "once") + requestMessage(3) + requestMessage(4) +
                 requestMessage(5, "once") + requestMessage(6));
  });
  proxy.run();
  std::string codes;
  REQUIRE(client.readToEnd(&codes) == "RZTDCZTDCZTDCZTDCZEZEZ");
  REQUIRE(codes == "53300 53300 ");
  REQUIRE(proxy.received.size() == 4);
  REQUIRE(proxy.took < 2 * kSecond + kAcceptTime);
}

// A client that always has a further request does not delay the shutdown; what was read is answered.
TEST_CASE("a client that sends on and on is closed at a shutdown") {
  ShutdownFixture proxy;
  RawClient client(proxy.listener.address());
  client.write(startupMessage());
  int id = 0;
  for (Nanoseconds t = kMillisecond; t < 2 * kSecond; t += kMillisecond)
    proxy.at(t, [&] { client.write(requestMessage(++id)); });
  proxy.run();
  REQUIRE(proxy.took < kAcceptTime + 1500 * kMillisecond);
  auto got = client.readToEnd();
  REQUIRE(got.substr(0, 2) == "RZ");
  if (got.back() == '!') got.pop_back(); // what crossed the connection's end is unread
  for (got = got.substr(2); !got.empty(); got = got.substr(4)) REQUIRE(got.substr(0, 4) == "TDCZ");
}

// The rest of a message that has begun is awaited for a while.
TEST_CASE("the rest of a message is awaited during a shutdown") {
  ShutdownFixture proxy;
  RawClient whole(proxy.listener.address()), half(proxy.listener.address());
  whole.write(startupMessage()), half.write(startupMessage());
  const auto bytes = requestMessage(1);
  proxy.at(kAcceptTime - 100 * kMillisecond,
           [&] { whole.write(bytes.substr(0, 9)), half.write(bytes.substr(0, 9)); });
  proxy.at(kAcceptTime + 20 * kMillisecond, [&] { whole.write(bytes.substr(9)); });
  proxy.run();
  REQUIRE(whole.readToEnd() == "RZTDCZ");
  REQUIRE(half.readToEnd() == "RZ");
  REQUIRE(proxy.took < kAcceptTime + 1500 * kMillisecond);
}

// What crosses the connection's end is not read, and resets nothing before the client has seen the last
// answer.
TEST_CASE("a request that crosses the end does not reset the connection") {
  ShutdownFixture proxy;
  RawClient client(proxy.listener.address());
  client.write(startupMessage() + requestMessage(1));
  bool ended = false;
  std::string got;
  proxy.at(kAcceptTime + 200 * kMillisecond, [&] {
    client.write(requestMessage(2));
  }); // behind the connection's end, which it has not read yet
  proxy.at(kAcceptTime + 300 * kMillisecond, [&] { got = client.readToEnd(), ended = true; });
  proxy.run();
  REQUIRE(ended);
  REQUIRE(got == "RZTDCZ");
  REQUIRE(proxy.received.size() == 1);
  REQUIRE(proxy.took < kAcceptTime + 900 * kMillisecond); // when the client closes, not a second after
}

// It releases its descriptor at once, whatever its client does, and its request has been answered.
TEST_CASE("a connection closed for want of descriptors is closed at once") {
  FixedAnswerProxy proxy(StandIn::row("value"), 0, 12);
  auto body = [&]() -> sched::Task<> {
    RawClient first(proxy.listener.address());
    first.write(startupMessage() + requestMessage(1));
    co_await proxy.loop.sched.sleep(2100 * kMillisecond);
    std::vector<std::unique_ptr<RawClient>> others;
    for (int i = 0; i < 5; ++i) others.push_back(std::make_unique<RawClient>(proxy.listener.address()));
    for (int i = 0; i < 50 && proxy.budget.available() != 12 - 1 - 5; ++i)
      co_await proxy.loop.sched.sleep(10 * kMillisecond);
    REQUIRE(proxy.budget.available() == 12 - 1 - 5); // the listener's and the others'
    const auto got = first.readToEnd();
    REQUIRE(got == "RZTDCZ");
  };
  proxy.loop.run(body());
}
