// The persistent HTTP connection: its calls, their time-outs, and moves of the server.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "control_fixture.h"

#include <ctime>

using namespace myrtlehead;

static std::string response(const std::string &body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A server that stands still and then answers all at once.
TEST_CASE("a late response is not taken for that of the next call") {
  auto script = [](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await readRequestLine(s, b);
    const auto late = response("late"), second = response("second");
    while (b.view().find("POST /2") == std::string_view::npos) co_await s.read(b, {});
    co_await s.write(late, {});
    co_await s.write(second, {});
    co_await s.read(b, {});
  };
  ControlFixture fixture(script);
  http_client::PersistentConnection connection(fixture.loop.sched, fixture.loop.budget,
                                               *net::parseAddress(fixture.server.address()));
  auto body = [&]() -> sched::Task<> {
    const net::Deadline soon{fixture.loop.sched.now() + 50 * kMillisecond, nullptr};
    auto request = http::writeRequest("POST", "/1", "platform");
    const auto first = co_await connection.call(request, soon);
    REQUIRE(!first);
    REQUIRE(first.failure().cause == net::ErrorCode::timedOut);
    REQUIRE(first.failure().progress == net::SendProgress::fullyWritten);
    fixture.server.listener->shutdown(); // a new connection does not come up: the old one carries the call
    const net::Deadline later{fixture.loop.sched.now() + kSecond, nullptr};
    request = http::writeRequest("POST", "/2", "platform");
    auto answered = co_await connection.call(request, later);
    REQUIRE(answered);
    REQUIRE(answered->body == "second");
    REQUIRE(fixture.server.acceptedConnections == 1);
  };
  fixture.loop.run(body());
}

// The response and the deadline fall into one scheduler round.
TEST_CASE("a response in the scheduler round of its deadline counts") {
  EventLoop *loop = nullptr;
  Nanoseconds deadline = 0;
  auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    const auto answer = response("in time");
    co_await readRequestLine(s, b);
    co_await loop->sched.sleep(deadline - loop->sched.now() - 150 * kMillisecond);
    co_await s.write(answer, {});
    timespec t{};
    do clock_gettime(CLOCK_MONOTONIC, &t); // holds the scheduler round back until both are due
    while (t.tv_sec * kSecond + t.tv_nsec < deadline + kMillisecond);
    co_await readRequestLine(s, b);
    co_await s.write(answer, {});
    co_await s.read(b, {});
  };
  ControlFixture fixture(script);
  loop = &fixture.loop;
  http_client::PersistentConnection connection(fixture.loop.sched, fixture.loop.budget,
                                               *net::parseAddress(fixture.server.address()));
  auto body = [&]() -> sched::Task<> {
    deadline = fixture.loop.sched.now() + 200 * kMillisecond;
    const net::Deadline until{deadline, nullptr}, later{deadline + kSecond, nullptr};
    const auto request = http::writeRequest("POST", "/", "platform");
    auto first = co_await connection.call(request, until);
    REQUIRE(first);
    REQUIRE(first->body == "in time");
    auto second = co_await connection.call(request, later);
    REQUIRE(second);
    REQUIRE(fixture.server.acceptedConnections == 1);
  };
  fixture.loop.run(body());
}

TEST_CASE("a partly written request ends its connection") {
  auto script = [](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    net::Buffer none;
    co_await s.waitReadable({}); // reads nothing until the client has gone
    sched::CancellationToken gone;
    s.cancelOnHangUp(&gone);
    (void)b;
    co_await s.waitReadable({sched::kNever, &gone});
  };
  ControlFixture fixture(script);
  http_client::PersistentConnection connection(fixture.loop.sched, fixture.loop.budget,
                                               *net::parseAddress(fixture.server.address()));
  auto body = [&]() -> sched::Task<> {
    const int left = fixture.loop.budget.available();
    const net::Deadline soon{fixture.loop.sched.now() + 50 * kMillisecond, nullptr};
    auto failed = co_await connection.call(std::string(32 << 20, 'x'), soon);
    REQUIRE(!failed);
    REQUIRE(failed.failure().progress == net::SendProgress::partlyWritten);
    connection.discard();
    co_await fixture.loop.sched.sleep(20 * kMillisecond);
    REQUIRE(fixture.loop.budget.available() >= left - 1); // only the server's end may still be open
  };
  fixture.loop.run(body());
}

TEST_CASE("a call in flight is answered by the old address, the next one by the new") {
  const auto answersAfter = [](std::string text, Nanoseconds after,
                               EventLoop *&loop) -> ScriptedServer::Script {
    return [=, &loop](net::Socket &s, net::Buffer &b) -> sched::Task<> {
      const auto answer = response(text);
      while (!(co_await readRequestLine(s, b)).empty()) {
        co_await loop->sched.sleep(after);
        co_await s.write(answer, {});
      }
    };
  };
  EventLoop *loop = nullptr;
  ControlFixture fixture(answersAfter("old", 30 * kMillisecond, loop));
  loop = &fixture.loop;
  ScriptedServer there(fixture.loop, answersAfter("new", 0, loop));
  http_client::PersistentConnection connection(fixture.loop.sched, fixture.loop.budget,
                                               *net::parseAddress(fixture.server.address()));
  auto move = [&]() -> sched::Task<> {
    co_await fixture.loop.sched.sleep(10 * kMillisecond);
    connection.moveTo(*net::parseAddress(there.address()));
  };
  auto body = [&]() -> sched::Task<> {
    fixture.loop.sched.spawn(connection.keepOpen());
    fixture.loop.sched.spawn(move());
    const auto request = http::writeRequest("POST", "/", "platform");
    for (const auto *expected : {"old", "new"}) {
      const net::Deadline until{fixture.loop.sched.now() + kSecond, nullptr};
      auto answered = co_await connection.call(request, until);
      REQUIRE(answered);
      REQUIRE(answered->body == expected);
    }
    co_await fixture.loop.sched.sleep(10 * kMillisecond);
    REQUIRE(fixture.server.finishedConnections == 1);
    REQUIRE(there.acceptedConnections == 1);
    connection.discard(); // after an unreadable response another connection takes the next call
    co_await fixture.loop.sched.sleep(10 * kMillisecond);
    REQUIRE(there.finishedConnections == 1);
    REQUIRE(there.acceptedConnections == 2);
  };
  fixture.loop.run(body());
}

TEST_CASE("a closed connection is reopened, and a call on it is sent once") {
  std::vector<std::string> asked;
  auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    if (asked.empty())
      asked.push_back("closed"); // the first connection ends at once
    else
      asked.push_back(co_await readRequestLine(s, b));
    const auto answer = response("x");
    if (asked.size() > 1) co_await s.write(answer, {});
  };
  ControlFixture fixture(script);
  http_client::PersistentConnection connection(fixture.loop.sched, fixture.loop.budget,
                                               *net::parseAddress(fixture.server.address()));
  auto body = [&]() -> sched::Task<> {
    fixture.loop.sched.spawn(connection.keepOpen());
    while (fixture.server.acceptedConnections < 2) co_await fixture.loop.sched.sleep(kMillisecond);
    const net::Deadline until{fixture.loop.sched.now() + kSecond, nullptr};
    const auto request = http::writeRequest("POST", "/1", "platform");
    auto answered = co_await connection.call(request, until);
    REQUIRE(answered);
    REQUIRE(answered->status == 200);
    REQUIRE(asked.size() == 2);
    REQUIRE(asked[1] == "POST /1");
  };
  fixture.loop.run(body());
}
