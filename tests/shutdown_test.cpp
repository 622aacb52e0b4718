// Graceful shutdown of the client-facing side under rare orders of events. Each order is reproduced reliably
// by blocking the scheduler until the client has reached the required point.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "raw_client.h"

#include <ctime>

using namespace myrtlehead;

namespace {

// Connections are accepted for this long after the shutdown has begun.
constexpr Nanoseconds kAcceptDuration = 500 * kMillisecond;

// A proxy whose run() shuts the listener down at once and returns when the shutdown has ended, as the program
// does.
struct ShutdownFixture : FixedAnswerProxy {
  using FixedAnswerProxy::FixedAnswerProxy;
  void run() {
    startedAt = loop.sched.now();
    loop.run(listener.shutDown());
    duration = loop.sched.now() - startedAt;
  }
  // Runs `action` at `time` after the start of the shutdown, before everything else that is due then.
  void runAt(Nanoseconds time, std::function<void()> action) {
    loop.sched.spawn(runLater(time, std::move(action)));
  }
  // Blocks the scheduler between two times, so that everything that arrives meanwhile is handled in one
  // round.
  void blockSchedulerBetween(Nanoseconds from, Nanoseconds to) {
    runAt(from, [this, until = loop.sched.now() + to] {
      timespec t{};
      do clock_gettime(CLOCK_MONOTONIC, &t);
      while (t.tv_sec * kSecond + t.tv_nsec < until);
    });
  }
  Nanoseconds startedAt = 0, duration = 0;

private:
  sched::Task<> runLater(Nanoseconds time, std::function<void()> action) {
    co_await loop.sched.sleep(time);
    action();
  }
};

} // namespace

// The connection is accepted in the scheduler round in which the listener closes, so its session has not run
// yet when the sessions are asked to close.
TEST_CASE("a request on a session that has not run yet is answered at a shutdown") {
  ShutdownFixture proxy;
  std::unique_ptr<RawClient> client;
  proxy.runAt(kAcceptDuration - 150 * kMillisecond, [&] {
    client = std::make_unique<RawClient>(proxy.listener.address());
    client->write(startupMessage() + requestMessage(1));
  });
  proxy.blockSchedulerBetween(kAcceptDuration - 150 * kMillisecond, kAcceptDuration + 20 * kMillisecond);
  proxy.run();
  REQUIRE(client->readToEnd() == "RZTDCZ");
}

// The connections are accepted by the kernel, but not by this process, when the listener closes.
TEST_CASE("connections in the backlog are answered") {
  ShutdownFixture proxy;
  std::vector<std::unique_ptr<RawClient>> clients;
  proxy.blockSchedulerBetween(kAcceptDuration - 150 * kMillisecond, kAcceptDuration + 20 * kMillisecond);
  // In the blocked round, directly before the listener closes.
  proxy.runAt(kAcceptDuration - 5 * kMillisecond, [&] {
    for (int i = 0; i < 50; ++i) {
      clients.push_back(std::make_unique<RawClient>(proxy.listener.address()));
      clients.back()->write(startupMessage() + requestMessage(i));
    }
  });
  proxy.run();
  for (const auto &client : clients) REQUIRE(client->readToEnd() == "RZTDCZ");
}

// Requests in flight use all descriptors, so no connection is accepted at first. Those in the backlog are
// still answered or rejected in time.
TEST_CASE("connections in the backlog are answered during a descriptor shortage") {
  ShutdownFixture proxy(ScriptedServer::rowAnswer("value"), 300 * kMillisecond, 24);
  std::vector<std::unique_ptr<RawClient>> clients;
  proxy.runAt(kAcceptDuration - 200 * kMillisecond, [&] {
    for (int i = 0; i < 40; ++i) {
      clients.push_back(std::make_unique<RawClient>(proxy.listener.address()));
      clients.back()->write(startupMessage() + requestMessage(i));
    }
  });
  for (Nanoseconds t = kAcceptDuration; t < kAcceptDuration + 200 * kMillisecond; t += 2 * kMillisecond)
    proxy.runAt(t, [&] {
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
  REQUIRE(served > 0); // the number depends on the overload control: one endpoint, 300 ms per request
}

// The first message of a connection that arrives shortly before the listener closes may still be on its way.
TEST_CASE("a new connection may still send its first request") {
  ShutdownFixture proxy;
  std::unique_ptr<RawClient> startsLate, queriesLate, silent;
  proxy.runAt(kAcceptDuration - 80 * kMillisecond, [&] {
    startsLate = std::make_unique<RawClient>(proxy.listener.address());
    queriesLate = std::make_unique<RawClient>(proxy.listener.address());
    silent = std::make_unique<RawClient>(proxy.listener.address());
    queriesLate->write(startupMessage());
  });
  proxy.runAt(kAcceptDuration + 20 * kMillisecond, [&] {
    startsLate->write(startupMessage() + requestMessage(1));
    queriesLate->write(requestMessage(2));
  });
  proxy.run();
  REQUIRE(startsLate->readToEnd() == "RZTDCZ");
  REQUIRE(queriesLate->readToEnd() == "RZTDCZ");
  REQUIRE(silent->readToEnd().empty());
}

// Requests behind one in flight are attempted concurrently and answered in order before the connection ends.
TEST_CASE("pipelined requests are answered in order during a shutdown") {
  ShutdownFixture proxy(ScriptedServer::rowAnswer("value"), 300 * kMillisecond);
  RawClient client(proxy.listener.address());
  client.write(startupMessage());
  proxy.runAt(kAcceptDuration - 50 * kMillisecond,
              [&] { client.write(requestMessage(1) + requestMessage(2, "once") + requestMessage(3)); });
  proxy.run();
  std::string codes;
  REQUIRE(client.readToEnd(&codes) == "RZTDCZTDCZTDCZ");
  REQUIRE(codes.empty());
  REQUIRE(proxy.received.size() == 3);
  REQUIRE(proxy.duration < 2 * kSecond + kAcceptDuration);
}

// Twelve descriptors allow four requests in flight. Requests that are not admitted in time are not forwarded,
// and each is rejected in order with a code that allows a retry.
TEST_CASE("pipelined requests beyond the capacity are rejected in order during a shutdown") {
  ShutdownFixture proxy(ScriptedServer::rowAnswer("value"), 300 * kMillisecond, 12);
  RawClient client(proxy.listener.address());
  client.write(startupMessage());
  proxy.runAt(kAcceptDuration - 50 * kMillisecond, [&] {
    client.write(requestMessage(1) + requestMessage(2, "once") + requestMessage(3) + requestMessage(4) +
                 requestMessage(5, "once") + requestMessage(6));
  });
  proxy.run();
  std::string codes;
  REQUIRE(client.readToEnd(&codes) == "RZTDCZTDCZTDCZTDCZEZEZ");
  REQUIRE(codes == "53300 53300 ");
  REQUIRE(proxy.received.size() == 4);
  REQUIRE(proxy.duration < 2 * kSecond + kAcceptDuration);
}

// A client that keeps sending requests does not delay the shutdown. The requests that were read are answered.
TEST_CASE("a client that keeps sending requests is closed at a shutdown") {
  ShutdownFixture proxy;
  RawClient client(proxy.listener.address());
  client.write(startupMessage());
  int id = 0;
  for (Nanoseconds t = kMillisecond; t < 2 * kSecond; t += kMillisecond)
    proxy.runAt(t, [&] { client.write(requestMessage(++id)); });
  proxy.run();
  REQUIRE(proxy.duration < kAcceptDuration + 1500 * kMillisecond);
  auto got = client.readToEnd();
  REQUIRE(got.substr(0, 2) == "RZ");
  if (got.back() == '!') got.pop_back(); // a request that crossed the end of the connection was not read
  for (got = got.substr(2); !got.empty(); got = got.substr(4)) REQUIRE(got.substr(0, 4) == "TDCZ");
}

// The rest of a partly received message is awaited until a deadline, and then refused.
TEST_CASE("the rest of a message is awaited during a shutdown") {
  ShutdownFixture proxy;
  RawClient whole(proxy.listener.address()), half(proxy.listener.address());
  whole.write(startupMessage()), half.write(startupMessage());
  const auto bytes = requestMessage(1);
  proxy.runAt(kAcceptDuration - 100 * kMillisecond,
              [&] { whole.write(bytes.substr(0, 9)), half.write(bytes.substr(0, 9)); });
  proxy.runAt(kAcceptDuration + 20 * kMillisecond, [&] { whole.write(bytes.substr(9)); });
  proxy.run();
  REQUIRE(whole.readToEnd() == "RZTDCZ");
  std::string code;
  REQUIRE(half.readToEnd(&code) == "RZE");
  REQUIRE(code == "53300 ");
  REQUIRE(proxy.duration < kAcceptDuration + 1500 * kMillisecond);
}

// Guards against a reset that overtakes the last answer. The client sends a request after the proxy has ended
// the connection and before the client has read that end; the request is not read.
TEST_CASE("a request that crosses the end of the connection does not reset it") {
  ShutdownFixture proxy;
  RawClient client(proxy.listener.address());
  client.write(startupMessage() + requestMessage(1));
  bool ended = false;
  std::string got;
  proxy.runAt(kAcceptDuration + 200 * kMillisecond, [&] {
    client.write(requestMessage(2)); // the client has not read the end of the connection yet
  });
  proxy.runAt(kAcceptDuration + 300 * kMillisecond, [&] { got = client.readToEnd(), ended = true; });
  proxy.run();
  REQUIRE(ended);
  REQUIRE(got == "RZTDCZ");
  REQUIRE(proxy.received.size() == 1);
  // The proxy ends when the client closes its end, not one second later.
  REQUIRE(proxy.duration < kAcceptDuration + 900 * kMillisecond);
}

// Such a connection releases its descriptor at once, whatever its client does. Its request has been answered.
TEST_CASE("a connection closed during a descriptor shortage is closed at once") {
  FixedAnswerProxy proxy(ScriptedServer::rowAnswer("value"), 0, 12);
  auto body = [&]() -> sched::Task<> {
    RawClient first(proxy.listener.address());
    first.write(startupMessage() + requestMessage(1));
    co_await proxy.loop.sched.sleep(2100 * kMillisecond);
    std::vector<std::unique_ptr<RawClient>> others;
    for (int i = 0; i < 5; ++i) others.push_back(std::make_unique<RawClient>(proxy.listener.address()));
    for (int i = 0; i < 50 && proxy.budget.available() != 12 - 1 - 5; ++i)
      co_await proxy.loop.sched.sleep(10 * kMillisecond);
    REQUIRE(proxy.budget.available() == 12 - 1 - 5); // without those of the listener and the other clients
    const auto got = first.readToEnd();
    REQUIRE(got == "RZTDCZ");
  };
  proxy.loop.run(body());
}
