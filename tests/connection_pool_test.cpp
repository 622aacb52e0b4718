// ConnectionPool: the outcome of a failure at each point of an attempt, and when a connection is used again.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fixtures.h"

#include <cmath>

using namespace myrtlehead;
using namespace std::string_literals;

static const std::string kStatement = "SELECT v FROM records WHERE k = '7f' /* id=1,c=read,d=480 */";

// A pool with one scripted endpoint.
struct PoolFixture {
  explicit PoolFixture(StandIn::Script script)
      : endpoint(loop, std::move(script)),
        pool(loop.sched, loop.budget, loop.log, 100 * kMillisecond, 30 * kSecond, {"util", "queue"}, 0) {
    upstreamEndpoint.address = endpoint.address();
    upstreamEndpoint.isReady = true;
  }
  sched::Task<upstream::AttemptResult> attempt(Nanoseconds within = kSecond,
                                               sched::CancellationToken *cancellation = nullptr,
                                               bool isCurrent = true, Nanoseconds sendWithin = kSecond) {
    const auto statement = pg::parseStatement(kStatement);
    const net::Deadline until{loop.sched.now() + within, cancellation};
    co_return co_await pool.attempt(upstreamEndpoint, statement, until, loop.sched.now() + sendWithin,
                                    [isCurrent] { return isCurrent; });
  }
  // The outcome of a single attempt.
  Outcome outcome(Nanoseconds within = kSecond) {
    Outcome out{};
    auto body = [&]() -> sched::Task<> { out = (co_await attempt(within)).outcome; };
    loop.run(body());
    return out;
  }
  Loop loop;
  StandIn endpoint;
  upstream::ConnectionPool pool;
  UpstreamEndpoint upstreamEndpoint;
};

// Admits, reads a query and writes `answer`; then closes, or stays.
static StandIn::Script answers(std::string answer, bool stays = true) {
  return [=](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    if (!co_await StandIn::admit(s, b)) co_return;
    while (!(co_await StandIn::query(s, b)).empty()) {
      co_await s.write(answer, {});
      if (!stays) co_return;
    }
  };
}

static std::string refusal(std::string_view code) {
  std::string out;
  pg::addError(out, {"ERROR", code, "no"});
  pg::addReady(out);
  return out;
}

TEST_CASE("failures before the request is written") {
  PoolFixture refused(answers(""));
  refused.upstreamEndpoint.address = "127.0.0.1:1";
  REQUIRE(refused.outcome() == Outcome::unreachable);
  PoolFixture unreadable(answers(""));
  unreadable.upstreamEndpoint.address = "nowhere";
  REQUIRE(unreadable.outcome() == Outcome::unreachable);
  PoolFixture closes([](net::Socket &, net::Buffer &) -> sched::Task<> { co_return; });
  REQUIRE(closes.outcome() == Outcome::unreachable);
  auto mute = [](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    while (co_await s.read(b, {}) == net::ErrorCode::none) {}
  };
  PoolFixture silent(mute);
  REQUIRE(silent.outcome() == Outcome::unreachable); // at the connect timeout, not the attempt's
  auto full = [](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await s.read(b, {});
    const auto no = refusal("53300");
    co_await s.write(no, {});
  };
  PoolFixture turned(full);
  REQUIRE(turned.outcome() == Outcome::rejected);
}

TEST_CASE("failures after the request is written") {
  PoolFixture closes(answers("", false));
  REQUIRE(closes.outcome() == Outcome::reset);
  const auto row = StandIn::row("value");
  for (std::size_t n = 1; n + 10 < row.size(); n += 7) { // in the middle of the answer
    PoolFixture cut(answers(row.substr(0, n), false));
    REQUIRE(cut.outcome() == Outcome::reset);
  }
  for (const auto &garbled :
       {"HTTP/1.1 200 OK\r\n\r\n"s, "D"s, row.substr(0, row.find('D')) + "D\x7f\0\0\0"s}) {
    PoolFixture garbage(answers(garbled)); // it may have been executed; known before the attempt's deadline
    REQUIRE(garbage.outcome() == Outcome::reset);
  }
  PoolFixture silent(answers(""));
  REQUIRE(silent.outcome(50 * kMillisecond) == Outcome::timedOut);
  PoolFixture errs(answers(refusal("XX000")));
  REQUIRE(errs.outcome() == Outcome::failed);
  PoolFixture full(answers(refusal("53300")));
  REQUIRE(full.outcome() == Outcome::rejected);
}

TEST_CASE("an answer is passed on completely") {
  PoolFixture g(answers(StandIn::row("value", "queue=3,util=0.5")));
  auto body = [&]() -> sched::Task<> {
    const auto tried = co_await g.attempt();
    REQUIRE(tried.outcome == Outcome::succeeded);
    REQUIRE(tried.loadValues.size() == 2);
    REQUIRE(tried.loadValues[0] == 0.5f);
    REQUIRE(tried.loadValues[1] == 3.f);
    auto whole = StandIn::row("value");
    whole.resize(whole.size() - 6); // ReadyForQuery is the session's to write
    REQUIRE(tried.answer == whole);
    co_await g.loop.sched.sleep(5 * kMillisecond); // for the empty query behind it
    const auto again = co_await g.attempt();
    REQUIRE(again.outcome == Outcome::succeeded);
    REQUIRE(g.endpoint.accepted == 1);
  };
  g.loop.run(body());
}

TEST_CASE("the statement is forwarded with the attempt's timeout") {
  std::vector<std::string> seen;
  auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await StandIn::admit(s, b);
    seen.push_back(co_await StandIn::query(s, b));
  };
  PoolFixture g(script);
  REQUIRE(g.outcome(200 * kMillisecond) == Outcome::reset);
  REQUIRE(seen.size() == 1);
  const auto passed = pg::parseStatement(seen[0]);
  REQUIRE(passed.patienceMs > 100);
  REQUIRE(passed.patienceMs <= 200);
  REQUIRE(pg::withPatience(passed, 480) == kStatement);
}

TEST_CASE("only clean connections are used again") {
  const auto row = StandIn::row("value");
  PoolFixture leftOver(answers(row + "Z"));
  PoolFixture late(answers(row.substr(0, row.size() - 6))); // ReadyForQuery never comes
  PoolFixture closed(answers(row, false));
  for (auto *g : {&leftOver, &late, &closed}) {
    auto body = [&]() -> sched::Task<> {
      const auto result = co_await g->attempt();
      REQUIRE(result.outcome == Outcome::succeeded);
      co_await g->loop.sched.sleep(5 * kMillisecond);
      const auto result2 = co_await g->attempt();
      REQUIRE(result2.outcome == Outcome::succeeded);
      REQUIRE(g->endpoint.accepted == 2);
    };
    g->loop.run(body());
  }
  PoolFixture relisted(answers(row));
  auto body = [&]() -> sched::Task<> {
    const auto result3 = co_await relisted.attempt();
    REQUIRE(result3.outcome == Outcome::succeeded);
    ++relisted.upstreamEndpoint.version; // another build under the same name
    const auto result4 = co_await relisted.attempt();
    REQUIRE(result4.outcome == Outcome::succeeded);
    REQUIRE(relisted.endpoint.accepted == 2);
  };
  relisted.loop.run(body());
}

// An answer may be larger than what a client may send; its memory is reserved until it is passed on, and
// others wait.
TEST_CASE("large answers reserve memory") {
  const auto row = StandIn::row(std::string(3 << 20, 'x'));
  PoolFixture g(answers(row));
  auto body = [&]() -> sched::Task<> {
    {
      const auto first = co_await g.attempt();
      REQUIRE(first.outcome == Outcome::succeeded);
      REQUIRE(first.answer.size() + 6 == row.size());
      const auto second = co_await g.attempt(100 * kMillisecond); // no memory for it while the first is kept
      REQUIRE(second.outcome == Outcome::timedOut);
      REQUIRE(second.answer.size() < 100);
    }
    const auto third = co_await g.attempt();
    REQUIRE(third.outcome == Outcome::succeeded);
  };
  g.loop.run(body());
  PoolFixture huge(answers(StandIn::row(std::string(5 << 20, 'x'))));
  REQUIRE(huge.outcome() == Outcome::reset); // rejected by its announced size
}

// A second copy that comes behind an answer, at once or late, is never the next request's answer.
TEST_CASE("a second copy of an answer is not the next request's answer") {
  for (const Nanoseconds late : {Nanoseconds{0}, 2 * kMillisecond}) {
    int n = 0;
    auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
      if (!co_await StandIn::admit(s, b)) co_return;
      while (!(co_await StandIn::query(s, b)).empty()) {
        const auto row = StandIn::row(std::to_string(++n));
        co_await s.write(row, {});
        if (late > 0) co_await s.read(b, {}); // the empty query: the copy comes before its answer
        co_await s.write(row, {});
      }
    };
    PoolFixture g(script);
    auto body = [&]() -> sched::Task<> {
      for (int i = 1; i <= 5; ++i) {
        const auto tried = co_await g.attempt();
        REQUIRE(tried.outcome == Outcome::succeeded);
        auto due = StandIn::row(std::to_string(i));
        due.resize(due.size() - 6);
        REQUIRE(tried.answer == due);
        co_await g.loop.sched.sleep(i % 2 * 5 * kMillisecond);
      }
      REQUIRE(g.endpoint.accepted == 5);
    };
    g.loop.run(body());
  }
}

// An endpoint that closes behind the answer to the empty query has not received the next request.
TEST_CASE("a connection that ends behind an answer is not used again") {
  auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    if (!co_await StandIn::admit(s, b)) co_return;
    if ((co_await StandIn::query(s, b)).empty()) co_return;
    const auto row = StandIn::row("value");
    co_await s.write(row, {});
    co_await s.read(b, {}); // the empty query
    std::string out;
    pg::addEmptyAnswer(out);
    pg::addReady(out);
    co_await s.write(out, {});
  };
  PoolFixture g(script);
  auto body = [&]() -> sched::Task<> {
    for (int i = 1; i <= 2; ++i) {
      const auto result = co_await g.attempt();
      REQUIRE(result.outcome == Outcome::succeeded);
      REQUIRE(g.endpoint.accepted == i);
      co_await g.loop.sched.sleep(5 * kMillisecond);
    }
  };
  g.loop.run(body());
}

// A ReadyForQuery that arrives after the rest of the answer is awaited on the idle connection.
TEST_CASE("a late ReadyForQuery is read") {
  const auto row = StandIn::row("value");
  auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await StandIn::admit(s, b);
    while (!(co_await StandIn::query(s, b)).empty()) {
      const auto first = row.substr(0, row.size() - 6), rest = row.substr(row.size() - 6);
      co_await s.write(first, {});
      co_await s.write(rest, {});
    }
  };
  PoolFixture g(script);
  auto body = [&]() -> sched::Task<> {
    const auto result = co_await g.attempt();
    REQUIRE(result.outcome == Outcome::succeeded);
    co_await g.loop.sched.sleep(5 * kMillisecond);
    const auto result2 = co_await g.attempt();
    REQUIRE(result2.outcome == Outcome::succeeded);
    REQUIRE(g.endpoint.accepted == 1);
  };
  g.loop.run(body());
}

// The endpoint's listing or the rollout state has changed while the connection was opened.
TEST_CASE("an endpoint that changed during the connect is sent nothing") {
  std::vector<std::string> seen;
  auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await StandIn::admit(s, b);
    seen.push_back(co_await StandIn::query(s, b));
  };
  PoolFixture g(script);
  auto body = [&]() -> sched::Task<> {
    const auto result = co_await g.attempt(kSecond, nullptr, false);
    REQUIRE(result.outcome == Outcome::notSent);
    co_await g.loop.sched.sleep(20 * kMillisecond);
    REQUIRE(seen.empty());
  };
  g.loop.run(body());
}

TEST_CASE("a cancelled attempt closes its connection") {
  PoolFixture g(answers(""));
  sched::CancellationToken cancellation;
  auto later = [&]() -> sched::Task<> {
    co_await g.loop.sched.sleep(20 * kMillisecond);
    cancellation.cancel();
  };
  auto body = [&]() -> sched::Task<> {
    g.loop.sched.spawn(later());
    const auto result = co_await g.attempt(kSecond, &cancellation);
    REQUIRE(result.outcome == Outcome::cancelled);
    co_await g.loop.sched.sleep(20 * kMillisecond);
    REQUIRE(g.endpoint.ended == 1); // the endpoint has seen the connection's end
  };
  g.loop.run(body());
}

TEST_CASE("a failure's outcome depends on how far the attempt had come") {
  using net::ErrorCode, net::SendProgress;
  REQUIRE(upstream::outcomeOf({ErrorCode::timedOut, SendProgress::notConnected}) == Outcome::unreachable);
  REQUIRE(upstream::outcomeOf({ErrorCode::connectionLost, SendProgress::partlyWritten}) ==
          Outcome::unreachable);
  REQUIRE(upstream::outcomeOf({ErrorCode::cancelled, SendProgress::partlyWritten}) == Outcome::notSent);
  REQUIRE(upstream::outcomeOf({ErrorCode::closedByPeer, SendProgress::fullyWritten}) == Outcome::reset);
  REQUIRE(upstream::outcomeOf({ErrorCode::timedOut, SendProgress::responseStarted}) == Outcome::timedOut);
  REQUIRE(upstream::outcomeOf({ErrorCode::cancelled, SendProgress::responseStarted}) == Outcome::cancelled);
}

// A copy of an earlier answer that arrives milliseconds late, behind the empty query's answer and while the
// next request is in flight, is not that one's answer, whatever it contains.
TEST_CASE("a late copy of an answer is not the next answer") {
  std::string refused;
  pg::addError(refused, {"ERROR", "53300", "no"});
  pg::addReady(refused);
  for (const auto &first : {StandIn::row("first"), refused}) {
    auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
      if (!co_await StandIn::admit(s, b)) co_return;
      const auto one = co_await StandIn::query(s, b);
      if (one.empty()) co_return;
      co_await s.write(first, {});
      const auto two = co_await StandIn::query(s, b); // the empty one between is answered
      if (two.empty()) co_return;
      const auto own = StandIn::row("second");
      co_await s.write(first, {});
      co_await s.read(
          b, {}); // the instance's next word; the empty query is answered in its turn, behind the row
      co_await s.write(own, {});
      co_await StandIn::query(s, b);
    };
    PoolFixture g(script);
    auto body = [&]() -> sched::Task<> {
      const auto one = co_await g.attempt();
      REQUIRE(one.outcome == (first == refused ? Outcome::rejected : Outcome::succeeded));
      co_await g.loop.sched.sleep(5 * kMillisecond);
      const auto two = co_await g.attempt(200 * kMillisecond);
      REQUIRE(g.endpoint.accepted == 1);
      REQUIRE(two.outcome == Outcome::reset); // it may have been executed, and is not believed
    };
    g.loop.run(body());
  }
}

// Chosen within the idempotency window, which is over before the connection is open.
TEST_CASE("no retry is written after its latest send time") {
  std::vector<std::string> seen;
  Loop *loop = nullptr;
  auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await loop->sched.sleep(60 * kMillisecond); // opens late
    if (!co_await StandIn::admit(s, b)) co_return;
    const auto sql = co_await StandIn::query(s, b);
    if (!sql.empty()) seen.push_back(sql);
  };
  PoolFixture g(script);
  loop = &g.loop;
  auto body = [&]() -> sched::Task<> {
    const auto tried = co_await g.attempt(kSecond, nullptr, true, 30 * kMillisecond);
    REQUIRE(tried.outcome == Outcome::notSent);
    co_await g.loop.sched.sleep(50 * kMillisecond);
    REQUIRE(seen.empty());
  };
  g.loop.run(body());
}

TEST_CASE("the oldest idle connection goes first") {
  PoolFixture g(answers(StandIn::row("value")));
  auto body = [&]() -> sched::Task<> {
    REQUIRE(!g.pool.closeOldestIdle());
    const auto result = co_await g.attempt();
    REQUIRE(result.outcome == Outcome::succeeded);
    const int left = g.loop.budget.available();
    REQUIRE(g.pool.closeOldestIdle());
    REQUIRE(g.loop.budget.available() == left + 1);
  };
  g.loop.run(body());
}
