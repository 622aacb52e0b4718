// Tests of the persistent HTTP connection: calls, timeouts and changes of the server address.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "control_fixture.h"

#include <ctime>

using namespace myrtlehead;

static std::string response(const std::string &body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The server stalls beyond the deadline of the first call and then sends both responses at once.
TEST_CASE("a late response is not matched to the next call") {
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
    // No new connection can be opened, so the old one carries the call.
    fixture.server.listener->shutdown();
    const net::Deadline later{fixture.loop.sched.now() + kSecond, nullptr};
    request = http::writeRequest("POST", "/2", "platform");
    auto second = co_await connection.call(request, later);
    REQUIRE(second);
    REQUIRE(second->body == "second");
    REQUIRE(fixture.server.acceptedConnections == 1);
  };
  fixture.loop.run(body());
}

// Guards against a timeout if the scheduler handles the response and the deadline in the same round.
TEST_CASE("a response in the scheduler round of its deadline is returned") {
  EventLoop *loop = nullptr;
  Nanoseconds deadline = 0;
  auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    const auto answer = response("in time");
    co_await readRequestLine(s, b);
    co_await loop->sched.sleep(deadline - loop->sched.now() - 150 * kMillisecond);
    co_await s.write(answer, {});
    timespec t{};
    do clock_gettime(CLOCK_MONOTONIC, &t); // blocks the scheduler until the response and the deadline are due
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

TEST_CASE("a partly written request closes its connection") {
  auto script = [](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await s.waitReadable({}); // reads nothing until the client has closed the connection
    sched::CancellationToken clientClosed;
    s.cancelOnHangUp(&clientClosed);
    (void)b;
    co_await s.waitReadable({sched::kNever, &clientClosed});
  };
  ControlFixture fixture(script);
  http_client::PersistentConnection connection(fixture.loop.sched, fixture.loop.budget,
                                               *net::parseAddress(fixture.server.address()));
  auto body = [&]() -> sched::Task<> {
    const int availableBefore = fixture.loop.budget.available();
    const net::Deadline soon{fixture.loop.sched.now() + 50 * kMillisecond, nullptr};
    auto failed = co_await connection.call(std::string(32 << 20, 'x'), soon);
    REQUIRE(!failed);
    REQUIRE(failed.failure().progress == net::SendProgress::partlyWritten);
    connection.discard();
    co_await fixture.loop.sched.sleep(20 * kMillisecond);
    REQUIRE(fixture.loop.budget.available() >=
            availableBefore - 1); // only the socket of the server may still be open
  };
  fixture.loop.run(body());
}

TEST_CASE(
    "after a change of address a call in flight is answered by the old server, later calls by the new") {
  const auto respondAfter = [](std::string text, Nanoseconds delay,
                               EventLoop *&loop) -> ScriptedServer::Script {
    return [=, &loop](net::Socket &s, net::Buffer &b) -> sched::Task<> {
      const auto answer = response(text);
      while (!(co_await readRequestLine(s, b)).empty()) {
        co_await loop->sched.sleep(delay);
        co_await s.write(answer, {});
      }
    };
  };
  EventLoop *loop = nullptr;
  ControlFixture fixture(respondAfter("old", 30 * kMillisecond, loop));
  loop = &fixture.loop;
  ScriptedServer newServer(fixture.loop, respondAfter("new", 0, loop));
  http_client::PersistentConnection connection(fixture.loop.sched, fixture.loop.budget,
                                               *net::parseAddress(fixture.server.address()));
  auto changeAddress = [&]() -> sched::Task<> {
    co_await fixture.loop.sched.sleep(10 * kMillisecond);
    connection.moveTo(*net::parseAddress(newServer.address()));
  };
  auto body = [&]() -> sched::Task<> {
    fixture.loop.sched.spawn(connection.keepOpen());
    fixture.loop.sched.spawn(changeAddress());
    const auto request = http::writeRequest("POST", "/", "platform");
    for (const auto *expected : {"old", "new"}) {
      const net::Deadline until{fixture.loop.sched.now() + kSecond, nullptr};
      auto answered = co_await connection.call(request, until);
      REQUIRE(answered);
      REQUIRE(answered->body == expected);
    }
    co_await fixture.loop.sched.sleep(10 * kMillisecond);
    REQUIRE(fixture.server.finishedConnections == 1);
    REQUIRE(newServer.acceptedConnections == 1);
    connection.discard(); // as after an unreadable response: a new connection is opened for the next call
    co_await fixture.loop.sched.sleep(10 * kMillisecond);
    REQUIRE(newServer.finishedConnections == 1);
    REQUIRE(newServer.acceptedConnections == 2);
  };
  fixture.loop.run(body());
}

TEST_CASE("a closed connection is reopened, and a call on it is sent once") {
  std::vector<std::string> requestLines; // one entry per connection
  auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    if (requestLines.empty())
      requestLines.push_back("closed"); // the server closes the first connection at once
    else
      requestLines.push_back(co_await readRequestLine(s, b));
    const auto answer = response("x");
    if (requestLines.size() > 1) co_await s.write(answer, {});
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
    REQUIRE(requestLines.size() == 2);
    REQUIRE(requestLines[1] == "POST /1");
  };
  fixture.loop.run(body());
}
