// ConnectionPool: the outcome of a failure at each point of an attempt, and when a connection is reused.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fixtures.h"
#include "forwarded_query.h"

#include <cmath>

using namespace myrtlehead;
using namespace std::string_literals;

static const std::string kStatement = "SELECT v FROM records WHERE k = '7f' /* id=1,c=read,d=480 */";

// A pool with one scripted endpoint.
struct PoolFixture {
  explicit PoolFixture(ScriptedServer::Script script)
      : endpoint(loop, std::move(script)),
        pool(loop.sched, loop.budget, loop.log, 100 * kMillisecond, 30 * kSecond, {"util", "queue"}, 0) {
    upstreamEndpoint.address = endpoint.address();
    upstreamEndpoint.isReady = true;
  }
  sched::Task<upstream::AttemptResult> attempt(Nanoseconds timeout = kSecond,
                                               sched::CancellationToken *cancellation = nullptr,
                                               bool isCurrent = true, Nanoseconds sendWithin = kSecond) {
    const auto statement = pg::parseStatement(kStatement);
    const net::Deadline deadline{loop.sched.now() + timeout, cancellation};
    co_return co_await pool.attempt(upstreamEndpoint, statement, deadline, loop.sched.now() + sendWithin,
                                    [isCurrent] { return isCurrent; });
  }
  // Runs a single attempt and returns its outcome.
  Outcome outcome(Nanoseconds timeout = kSecond) {
    Outcome out{};
    auto body = [&]() -> sched::Task<> { out = (co_await attempt(timeout)).outcome; };
    loop.run(body());
    return out;
  }
  EventLoop loop;
  ScriptedServer endpoint;
  upstream::ConnectionPool pool;
  UpstreamEndpoint upstreamEndpoint;
};

enum class AfterAnswer { keepOpen, close };

// A script that admits the connection and writes `answer` for each query. It closes the connection after the
// first answer, or keeps it open.
static ScriptedServer::Script answerQueries(std::string answer,
                                            AfterAnswer afterAnswer = AfterAnswer::keepOpen) {
  return [=](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    if (!co_await ScriptedServer::acceptStartup(s, b)) co_return;
    while (!(co_await ScriptedServer::readQuery(s, b)).empty()) {
      co_await s.write(answer, {});
      if (afterAnswer == AfterAnswer::close) co_return;
    }
  };
}

static std::string errorReply(std::string_view code) {
  std::string out;
  pg::addError(out, {"ERROR", code, "no"});
  pg::addReadyForQuery(out);
  return out;
}

TEST_CASE("failures before the request is written") {
  PoolFixture refused(answerQueries(""));
  refused.upstreamEndpoint.address = "127.0.0.1:1";
  REQUIRE(refused.outcome() == Outcome::unreachable);
  PoolFixture invalidAddress(answerQueries(""));
  invalidAddress.upstreamEndpoint.address = "nowhere";
  REQUIRE(invalidAddress.outcome() == Outcome::unreachable);
  PoolFixture closes([](net::Socket &, net::Buffer &) -> sched::Task<> { co_return; });
  REQUIRE(closes.outcome() == Outcome::unreachable);
  auto mute = [](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    while (co_await s.read(b, {}) == net::ErrorCode::none) {}
  };
  PoolFixture silent(mute);
  REQUIRE(silent.outcome() == Outcome::unreachable); // at the connect timeout, before the attempt's deadline
  auto full = [](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await s.read(b, {});
    const auto error = errorReply("53300");
    co_await s.write(error, {});
  };
  PoolFixture rejects(full);
  REQUIRE(rejects.outcome() == Outcome::rejected);
}

TEST_CASE("failures after the request is written") {
  PoolFixture closes(answerQueries("", AfterAnswer::close));
  REQUIRE(closes.outcome() == Outcome::reset);
  const auto row = ScriptedServer::rowAnswer("value");
  for (std::size_t n = 1; n + 10 < row.size(); n += 7) { // cut off in the middle of the answer
    PoolFixture cut(answerQueries(row.substr(0, n), AfterAnswer::close));
    REQUIRE(cut.outcome() == Outcome::reset);
  }
  for (const auto &garbled :
       {"HTTP/1.1 200 OK\r\n\r\n"s, "D"s, row.substr(0, row.find('D')) + "D\x7f\0\0\0"s}) {
    // Detected before the attempt's deadline; the statement may have been executed.
    PoolFixture sendsGarbage(answerQueries(garbled));
    REQUIRE(sendsGarbage.outcome() == Outcome::reset);
  }
  PoolFixture silent(answerQueries(""));
  REQUIRE(silent.outcome(50 * kMillisecond) == Outcome::timedOut);
  PoolFixture sendsError(answerQueries(errorReply("XX000")));
  REQUIRE(sendsError.outcome() == Outcome::failed);
  PoolFixture full(answerQueries(errorReply("53300")));
  REQUIRE(full.outcome() == Outcome::rejected);
}

TEST_CASE("an answer is passed on completely") {
  PoolFixture fixture(answerQueries(ScriptedServer::rowAnswer("value", "queue=3,util=0.5")));
  auto body = [&]() -> sched::Task<> {
    const auto result = co_await fixture.attempt();
    REQUIRE(result.outcome == Outcome::succeeded);
    REQUIRE(result.loadValues.size() == 2);
    REQUIRE(result.loadValues[0] == 0.5f);
    REQUIRE(result.loadValues[1] == 3.f);
    auto expected = ScriptedServer::rowAnswer("value");
    expected.resize(expected.size() - 6); // without ReadyForQuery, which the session writes
    REQUIRE(result.answer == expected);
    co_await fixture.loop.sched.sleep(5 * kMillisecond); // lets the empty query behind the answer complete
    const auto second = co_await fixture.attempt();
    REQUIRE(second.outcome == Outcome::succeeded);
    REQUIRE(fixture.endpoint.acceptedConnections == 1);
  };
  fixture.loop.run(body());
}

TEST_CASE("the statement is forwarded with the attempt's timeout") {
  std::vector<std::string> received;
  auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await ScriptedServer::acceptStartup(s, b);
    received.push_back(co_await ScriptedServer::readQuery(s, b));
  };
  PoolFixture fixture(script);
  REQUIRE(fixture.outcome(200 * kMillisecond) == Outcome::reset);
  REQUIRE(received.size() == 1);
  const auto forwarded = pg::parseStatement(received[0]);
  REQUIRE(forwarded.timeoutMs > 100);
  REQUIRE(forwarded.timeoutMs <= 200);
  std::string original;
  pg::addQuery(original, kStatement);
  REQUIRE(forwardedQuery(forwarded, 480) == original);
}

// Guards against bytes that are lost or sent twice where the kernel takes a part of a large query at a time.
TEST_CASE("parts that are written in many steps arrive unchanged") {
  EventLoop loop;
  auto [writer, reader] = loop.socketPair();
  const std::string first(700'000, 'x'), third(900'000, 'y');
  net::Buffer received;
  const auto write = [&]() -> sched::Task<> {
    std::array<std::string_view, 4> parts{first, "", third, "end"};
    const auto error = co_await writer->write(parts, {});
    REQUIRE(error == net::ErrorCode::none);
    writer->shutdownWrite();
  };
  auto read = [&]() -> sched::Task<> {
    while (co_await reader->read(received, {}) == net::ErrorCode::none) {}
  };
  loop.sched.spawn(write());
  loop.run(read());
  REQUIRE(received.view() == first + third + "end");
}

TEST_CASE("only connections without leftover or missing bytes are reused") {
  const auto row = ScriptedServer::rowAnswer("value");
  PoolFixture leftOver(answerQueries(row + "Z"));
  PoolFixture incomplete(answerQueries(row.substr(0, row.size() - 6))); // ReadyForQuery never comes
  PoolFixture closed(answerQueries(row, AfterAnswer::close));
  for (auto *fixture : {&leftOver, &incomplete, &closed}) {
    auto body = [&]() -> sched::Task<> {
      const auto result = co_await fixture->attempt();
      REQUIRE(result.outcome == Outcome::succeeded);
      co_await fixture->loop.sched.sleep(5 * kMillisecond);
      const auto result2 = co_await fixture->attempt();
      REQUIRE(result2.outcome == Outcome::succeeded);
      REQUIRE(fixture->endpoint.acceptedConnections == 2);
    };
    fixture->loop.run(body());
  }
  PoolFixture replaced(answerQueries(row));
  auto body = [&]() -> sched::Task<> {
    const auto result3 = co_await replaced.attempt();
    REQUIRE(result3.outcome == Outcome::succeeded);
    ++replaced.upstreamEndpoint.version; // the endpoint now runs another build under the same name
    const auto result4 = co_await replaced.attempt();
    REQUIRE(result4.outcome == Outcome::succeeded);
    REQUIRE(replaced.endpoint.acceptedConnections == 2);
  };
  replaced.loop.run(body());
}

// An answer may be larger than a client's message. Memory for it is reserved until the answer is destroyed,
// and other large answers wait.
TEST_CASE("large answers reserve memory") {
  const auto row = ScriptedServer::rowAnswer(std::string(3 << 20, 'x'));
  PoolFixture fixture(answerQueries(row));
  auto body = [&]() -> sched::Task<> {
    {
      const auto first = co_await fixture.attempt();
      REQUIRE(first.outcome == Outcome::succeeded);
      REQUIRE(first.answer.size() + 6 == row.size());
      // No memory is free while the first answer exists.
      const auto second = co_await fixture.attempt(100 * kMillisecond);
      REQUIRE(second.outcome == Outcome::timedOut);
      REQUIRE(second.answer.size() < 100);
    }
    const auto third = co_await fixture.attempt();
    REQUIRE(third.outcome == Outcome::succeeded);
  };
  fixture.loop.run(body());
  PoolFixture tooLarge(answerQueries(ScriptedServer::rowAnswer(std::string(5 << 20, 'x'))));
  REQUIRE(tooLarge.outcome() == Outcome::reset); // rejected because of its announced size
}

// Guards against taking a duplicate of an answer for the next request's answer. The endpoint sends the
// duplicate directly behind the answer, or while the empty query is in flight.
TEST_CASE("a duplicate of an answer is not taken for the next request's answer") {
  for (const Nanoseconds delay : {Nanoseconds{0}, 2 * kMillisecond}) {
    int n = 0;
    auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
      if (!co_await ScriptedServer::acceptStartup(s, b)) co_return;
      while (!(co_await ScriptedServer::readQuery(s, b)).empty()) {
        const auto row = ScriptedServer::rowAnswer(std::to_string(++n));
        co_await s.write(row, {});
        if (delay > 0) co_await s.read(b, {}); // the empty query; the duplicate precedes its answer
        co_await s.write(row, {});
      }
    };
    PoolFixture fixture(script);
    auto body = [&]() -> sched::Task<> {
      for (int i = 1; i <= 5; ++i) {
        const auto result = co_await fixture.attempt();
        REQUIRE(result.outcome == Outcome::succeeded);
        auto expected = ScriptedServer::rowAnswer(std::to_string(i));
        expected.resize(expected.size() - 6);
        REQUIRE(result.answer == expected);
        co_await fixture.loop.sched.sleep(i % 2 * 5 * kMillisecond);
      }
      REQUIRE(fixture.endpoint.acceptedConnections == 5);
    };
    fixture.loop.run(body());
  }
}

// Guards against writing the next request to a connection that the endpoint has closed after its answer to
// the empty query.
TEST_CASE("a connection that ends behind an answer is not reused") {
  auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    if (!co_await ScriptedServer::acceptStartup(s, b)) co_return;
    if ((co_await ScriptedServer::readQuery(s, b)).empty()) co_return;
    const auto row = ScriptedServer::rowAnswer("value");
    co_await s.write(row, {});
    co_await s.read(b, {}); // the empty query
    std::string out;
    pg::addEmptyQueryResponse(out);
    pg::addReadyForQuery(out);
    co_await s.write(out, {});
  };
  PoolFixture fixture(script);
  auto body = [&]() -> sched::Task<> {
    for (int i = 1; i <= 2; ++i) {
      const auto result = co_await fixture.attempt();
      REQUIRE(result.outcome == Outcome::succeeded);
      REQUIRE(fixture.endpoint.acceptedConnections == i);
      co_await fixture.loop.sched.sleep(5 * kMillisecond);
    }
  };
  fixture.loop.run(body());
}

// ReadyForQuery arrives after the rest of the answer, while the connection is idle.
TEST_CASE("a connection with a late ReadyForQuery is reused") {
  const auto row = ScriptedServer::rowAnswer("value");
  auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await ScriptedServer::acceptStartup(s, b);
    while (!(co_await ScriptedServer::readQuery(s, b)).empty()) {
      const auto first = row.substr(0, row.size() - 6), rest = row.substr(row.size() - 6);
      co_await s.write(first, {});
      co_await s.write(rest, {});
    }
  };
  PoolFixture fixture(script);
  auto body = [&]() -> sched::Task<> {
    const auto result = co_await fixture.attempt();
    REQUIRE(result.outcome == Outcome::succeeded);
    co_await fixture.loop.sched.sleep(5 * kMillisecond);
    const auto result2 = co_await fixture.attempt();
    REQUIRE(result2.outcome == Outcome::succeeded);
    REQUIRE(fixture.endpoint.acceptedConnections == 1);
  };
  fixture.loop.run(body());
}

// The endpoint's list entry or the rollout state changes while the connection is opened.
TEST_CASE("no statement is sent to an endpoint that changed during the connect") {
  std::vector<std::string> received;
  auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await ScriptedServer::acceptStartup(s, b);
    received.push_back(co_await ScriptedServer::readQuery(s, b));
  };
  PoolFixture fixture(script);
  auto body = [&]() -> sched::Task<> {
    const auto result = co_await fixture.attempt(kSecond, nullptr, false);
    REQUIRE(result.outcome == Outcome::notSent);
    co_await fixture.loop.sched.sleep(20 * kMillisecond);
    REQUIRE(received.empty());
  };
  fixture.loop.run(body());
}

TEST_CASE("a cancelled attempt closes its connection") {
  PoolFixture fixture(answerQueries(""));
  sched::CancellationToken cancellation;
  auto cancelLater = [&]() -> sched::Task<> {
    co_await fixture.loop.sched.sleep(20 * kMillisecond);
    cancellation.cancel();
  };
  auto body = [&]() -> sched::Task<> {
    fixture.loop.sched.spawn(cancelLater());
    const auto result = co_await fixture.attempt(kSecond, &cancellation);
    REQUIRE(result.outcome == Outcome::cancelled);
    co_await fixture.loop.sched.sleep(20 * kMillisecond);
    REQUIRE(fixture.endpoint.finishedConnections == 1); // the endpoint has seen the end of the connection
  };
  fixture.loop.run(body());
}

TEST_CASE("the outcome of a failure depends on how far the attempt had come") {
  using net::ErrorCode, net::SendProgress;
  REQUIRE(upstream::outcomeOf({ErrorCode::timedOut, SendProgress::notConnected}) == Outcome::unreachable);
  REQUIRE(upstream::outcomeOf({ErrorCode::connectionLost, SendProgress::partlyWritten}) ==
          Outcome::unreachable);
  REQUIRE(upstream::outcomeOf({ErrorCode::cancelled, SendProgress::partlyWritten}) == Outcome::notSent);
  REQUIRE(upstream::outcomeOf({ErrorCode::closedByPeer, SendProgress::fullyWritten}) == Outcome::reset);
  REQUIRE(upstream::outcomeOf({ErrorCode::timedOut, SendProgress::responseStarted}) == Outcome::timedOut);
  REQUIRE(upstream::outcomeOf({ErrorCode::cancelled, SendProgress::responseStarted}) == Outcome::cancelled);
}

// Guards against taking a late duplicate of an answer for the next request's answer. The duplicate arrives
// behind the empty query's answer, while the next request is in flight.
TEST_CASE("a late duplicate of an answer is not taken for the next answer") {
  std::string rejection;
  pg::addError(rejection, {"ERROR", "53300", "no"});
  pg::addReadyForQuery(rejection);
  for (const auto &first : {ScriptedServer::rowAnswer("first"), rejection}) {
    auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
      if (!co_await ScriptedServer::acceptStartup(s, b)) co_return;
      const auto query1 = co_await ScriptedServer::readQuery(s, b);
      if (query1.empty()) co_return;
      co_await s.write(first, {});
      const auto query2 = co_await ScriptedServer::readQuery(s, b); // answers the empty query in between
      if (query2.empty()) co_return;
      const auto second = ScriptedServer::rowAnswer("second");
      co_await s.write(first, {});
      co_await s.read(b, {}); // the second empty query, which is answered after the second row
      co_await s.write(second, {});
      co_await ScriptedServer::readQuery(s, b);
    };
    PoolFixture fixture(script);
    auto body = [&]() -> sched::Task<> {
      const auto result1 = co_await fixture.attempt();
      REQUIRE(result1.outcome == (first == rejection ? Outcome::rejected : Outcome::succeeded));
      co_await fixture.loop.sched.sleep(5 * kMillisecond);
      const auto result2 = co_await fixture.attempt(200 * kMillisecond);
      REQUIRE(fixture.endpoint.acceptedConnections == 1);
      // The answer is not trusted, and the statement may have been executed.
      REQUIRE(result2.outcome == Outcome::reset);
    };
    fixture.loop.run(body());
  }
}

// The retry is chosen within the idempotency window, which ends before the connection is open.
TEST_CASE("no retry is written after its latest send time") {
  std::vector<std::string> received;
  EventLoop *loop = nullptr;
  auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await loop->sched.sleep(60 * kMillisecond); // delays the handshake
    if (!co_await ScriptedServer::acceptStartup(s, b)) co_return;
    const auto sql = co_await ScriptedServer::readQuery(s, b);
    if (!sql.empty()) received.push_back(sql);
  };
  PoolFixture fixture(script);
  loop = &fixture.loop;
  auto body = [&]() -> sched::Task<> {
    const auto result = co_await fixture.attempt(kSecond, nullptr, true, 30 * kMillisecond);
    REQUIRE(result.outcome == Outcome::notSent);
    co_await fixture.loop.sched.sleep(50 * kMillisecond);
    REQUIRE(received.empty());
  };
  fixture.loop.run(body());
}

TEST_CASE("closing the oldest idle connection frees its descriptor") {
  PoolFixture fixture(answerQueries(ScriptedServer::rowAnswer("value")));
  auto body = [&]() -> sched::Task<> {
    REQUIRE(!fixture.pool.closeOldestIdle());
    const auto result = co_await fixture.attempt();
    REQUIRE(result.outcome == Outcome::succeeded);
    const int availableBefore = fixture.loop.budget.available();
    REQUIRE(fixture.pool.closeOldestIdle());
    REQUIRE(fixture.loop.budget.available() == availableBefore + 1);
  };
  fixture.loop.run(body());
}
