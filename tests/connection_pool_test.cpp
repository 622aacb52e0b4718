// Upstream attempts: what each point at which a connection can break proves, and when a connection is used
// again.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fixtures.h"

#include <cmath>

using namespace myrtlehead;
using namespace std::string_literals;

static const std::string kSql = "SELECT v FROM records WHERE k = '7f' /* id=1,c=read,d=480 */";

// A pool before one stand-in endpoint.
struct Ground {
  explicit Ground(StandIn::Script script)
      : node(loop, std::move(script)),
        pool(loop.sched, loop.budget, loop.log, 100 * kMillisecond, 30 * kSecond, {"util", "queue"}, 0) {
    target.address = node.address();
    target.isReady = true;
  }
  sched::Task<upstream::AttemptResult> ask(Nanoseconds within = kSecond,
                                           sched::CancellationToken *stop = nullptr, bool meant = true,
                                           Nanoseconds sendWithin = kSecond) {
    const auto statement = pg::parseStatement(kSql);
    const net::Deadline until{loop.sched.now() + within, stop};
    co_return co_await pool.attempt(target, statement, until, loop.sched.now() + sendWithin,
                                    [meant] { return meant; });
  }
  // The outcome of a single try.
  Outcome outcome(Nanoseconds within = kSecond) {
    Outcome out{};
    auto body = [&]() -> sched::Task<> { out = (co_await ask(within)).outcome; };
    loop.run(body());
    return out;
  }
  Loop loop;
  StandIn node;
  upstream::ConnectionPool pool;
  UpstreamEndpoint target;
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

TEST_CASE("broken before the req is written") {
  Ground refused(answers(""));
  refused.target.address = "127.0.0.1:1";
  REQUIRE(refused.outcome() == Outcome::unreachable);
  Ground unreadable(answers(""));
  unreadable.target.address = "nowhere";
  REQUIRE(unreadable.outcome() == Outcome::unreachable);
  Ground closes([](net::Socket &, net::Buffer &) -> sched::Task<> { co_return; });
  REQUIRE(closes.outcome() == Outcome::unreachable);
  auto mute = [](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    while (co_await s.read(b, {}) == net::ErrorCode::none) {}
  };
  Ground silent(mute);
  REQUIRE(silent.outcome() == Outcome::unreachable); // at the connecting's limit, not the attempt's
  auto full = [](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await s.read(b, {});
    const auto no = refusal("53300");
    co_await s.write(no, {});
  };
  Ground turned(full);
  REQUIRE(turned.outcome() == Outcome::rejected);
}

TEST_CASE("broken afterwards") {
  Ground closes(answers("", false));
  REQUIRE(closes.outcome() == Outcome::reset);
  const auto row = StandIn::row("value");
  for (std::size_t n = 1; n + 10 < row.size(); n += 7) { // in the middle of the answer
    Ground cut(answers(row.substr(0, n), false));
    REQUIRE(cut.outcome() == Outcome::reset);
  }
  for (const auto &spoilt :
       {"HTTP/1.1 200 OK\r\n\r\n"s, "D"s, row.substr(0, row.find('D')) + "D\x7f\0\0\0"s}) {
    Ground garbage(answers(spoilt)); // it may have run, and is told before the attempt's time is up
    REQUIRE(garbage.outcome() == Outcome::reset);
  }
  Ground silent(answers(""));
  REQUIRE(silent.outcome(50 * kMillisecond) == Outcome::timedOut);
  Ground errs(answers(refusal("XX000")));
  REQUIRE(errs.outcome() == Outcome::failed);
  Ground full(answers(refusal("53300")));
  REQUIRE(full.outcome() == Outcome::rejected);
}

TEST_CASE("an answer is passed on whole") {
  Ground g(answers(StandIn::row("value", "queue=3,util=0.5")));
  auto body = [&]() -> sched::Task<> {
    const auto tried = co_await g.ask();
    REQUIRE(tried.outcome == Outcome::succeeded);
    REQUIRE(tried.loads.size() == 2);
    REQUIRE(tried.loads[0] == 0.5f);
    REQUIRE(tried.loads[1] == 3.f);
    auto whole = StandIn::row("value");
    whole.resize(whole.size() - 6); // ReadyForQuery is ours to say
    REQUIRE(tried.answer == whole);
    co_await g.loop.sched.sleep(5 * kMillisecond); // for the empty query behind it
    const auto again = co_await g.ask();
    REQUIRE(again.outcome == Outcome::succeeded);
    REQUIRE(g.node.accepted == 1);
  };
  g.loop.run(body());
}

TEST_CASE("the statement goes on with our patience") {
  std::vector<std::string> seen;
  auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await StandIn::admit(s, b);
    seen.push_back(co_await StandIn::query(s, b));
  };
  Ground g(script);
  REQUIRE(g.outcome(200 * kMillisecond) == Outcome::reset);
  REQUIRE(seen.size() == 1);
  const auto passed = pg::parseStatement(seen[0]);
  REQUIRE(passed.patienceMs > 100);
  REQUIRE(passed.patienceMs <= 200);
  REQUIRE(pg::withPatience(passed, 480) == kSql);
}

TEST_CASE("only clean connections are used again") {
  const auto row = StandIn::row("value");
  Ground leftOver(answers(row + "Z"));
  Ground late(answers(row.substr(0, row.size() - 6))); // ReadyForQuery never comes
  Ground closed(answers(row, false));
  for (auto *g : {&leftOver, &late, &closed}) {
    auto body = [&]() -> sched::Task<> {
      const auto result = co_await g->ask();
      REQUIRE(result.outcome == Outcome::succeeded);
      co_await g->loop.sched.sleep(5 * kMillisecond);
      const auto result2 = co_await g->ask();
      REQUIRE(result2.outcome == Outcome::succeeded);
      REQUIRE(g->node.accepted == 2);
    };
    g->loop.run(body());
  }
  Ground relisted(answers(row));
  auto body = [&]() -> sched::Task<> {
    const auto result3 = co_await relisted.ask();
    REQUIRE(result3.outcome == Outcome::succeeded);
    ++relisted.target.version; // another build under the same name
    const auto result4 = co_await relisted.ask();
    REQUIRE(result4.outcome == Outcome::succeeded);
    REQUIRE(relisted.node.accepted == 2);
  };
  relisted.loop.run(body());
}

// What is stored may be larger than what a client may send; it has its place while it is held, and others
// wait.
TEST_CASE("large answers have their place") {
  const auto row = StandIn::row(std::string(3 << 20, 'x'));
  Ground g(answers(row));
  auto body = [&]() -> sched::Task<> {
    {
      const auto first = co_await g.ask();
      REQUIRE(first.outcome == Outcome::succeeded);
      REQUIRE(first.answer.size() + 6 == row.size());
      const auto second = co_await g.ask(100 * kMillisecond); // no place for it while the first is held
      REQUIRE(second.outcome == Outcome::timedOut);
      REQUIRE(second.answer.size() < 100);
    }
    const auto third = co_await g.ask();
    REQUIRE(third.outcome == Outcome::succeeded);
  };
  g.loop.run(body());
  Ground huge(answers(StandIn::row(std::string(5 << 20, 'x'))));
  REQUIRE(huge.outcome() == Outcome::reset); // refused by its announced size
}

// A second copy that comes behind an answer, at once or late, is never the next request's answer.
TEST_CASE("a second copy is nobodys answer") {
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
    Ground g(script);
    auto body = [&]() -> sched::Task<> {
      for (int i = 1; i <= 5; ++i) {
        const auto tried = co_await g.ask();
        REQUIRE(tried.outcome == Outcome::succeeded);
        auto due = StandIn::row(std::to_string(i));
        due.resize(due.size() - 6);
        REQUIRE(tried.answer == due);
        co_await g.loop.sched.sleep(i % 2 * 5 * kMillisecond);
      }
      REQUIRE(g.node.accepted == 5);
    };
    g.loop.run(body());
  }
}

// An endpoint that closes behind the answer to the empty query has not taken the next request.
TEST_CASE("an end behind the answer is seen") {
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
  Ground g(script);
  auto body = [&]() -> sched::Task<> {
    for (int i = 1; i <= 2; ++i) {
      const auto result = co_await g.ask();
      REQUIRE(result.outcome == Outcome::succeeded);
      REQUIRE(g.node.accepted == i);
      co_await g.loop.sched.sleep(5 * kMillisecond);
    }
  };
  g.loop.run(body());
}

// A ReadyForQuery that comes after the rest of the answer is waited for on the idle connection.
TEST_CASE("a late ready is read") {
  const auto row = StandIn::row("value");
  auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await StandIn::admit(s, b);
    while (!(co_await StandIn::query(s, b)).empty()) {
      const auto first = row.substr(0, row.size() - 6), rest = row.substr(row.size() - 6);
      co_await s.write(first, {});
      co_await s.write(rest, {});
    }
  };
  Ground g(script);
  auto body = [&]() -> sched::Task<> {
    const auto result = co_await g.ask();
    REQUIRE(result.outcome == Outcome::succeeded);
    co_await g.loop.sched.sleep(5 * kMillisecond);
    const auto result2 = co_await g.ask();
    REQUIRE(result2.outcome == Outcome::succeeded);
    REQUIRE(g.node.accepted == 1);
  };
  g.loop.run(body());
}

// The endpoint's place in list or news has changed while the connection came up.
TEST_CASE("a node changed during connect gets nothing") {
  std::vector<std::string> seen;
  auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await StandIn::admit(s, b);
    seen.push_back(co_await StandIn::query(s, b));
  };
  Ground g(script);
  auto body = [&]() -> sched::Task<> {
    const auto result = co_await g.ask(kSecond, nullptr, false);
    REQUIRE(result.outcome == Outcome::notSent);
    co_await g.loop.sched.sleep(20 * kMillisecond);
    REQUIRE(seen.empty());
  };
  g.loop.run(body());
}

TEST_CASE("a try that is called off closes its connection") {
  Ground g(answers(""));
  sched::CancellationToken stop;
  auto later = [&]() -> sched::Task<> {
    co_await g.loop.sched.sleep(20 * kMillisecond);
    stop.cancel();
  };
  auto body = [&]() -> sched::Task<> {
    g.loop.sched.spawn(later());
    const auto result = co_await g.ask(kSecond, &stop);
    REQUIRE(result.outcome == Outcome::cancelled);
    co_await g.loop.sched.sleep(20 * kMillisecond);
    REQUIRE(g.node.ended == 1); // the endpoint has seen its end
  };
  g.loop.run(body());
}

TEST_CASE("what a failure proves") {
  using net::ErrorCode, net::SendProgress;
  REQUIRE(upstream::outcomeOf({ErrorCode::timedOut, SendProgress::notConnected}) == Outcome::unreachable);
  REQUIRE(upstream::outcomeOf({ErrorCode::connectionLost, SendProgress::partlyWritten}) ==
          Outcome::unreachable);
  REQUIRE(upstream::outcomeOf({ErrorCode::cancelled, SendProgress::partlyWritten}) == Outcome::notSent);
  REQUIRE(upstream::outcomeOf({ErrorCode::closedByPeer, SendProgress::fullyWritten}) == Outcome::reset);
  REQUIRE(upstream::outcomeOf({ErrorCode::timedOut, SendProgress::responseStarted}) == Outcome::timedOut);
  REQUIRE(upstream::outcomeOf({ErrorCode::cancelled, SendProgress::responseStarted}) == Outcome::cancelled);
}

// An earlier answer's copy that comes milliseconds late, behind the empty query's answer and while the next
// request is in hand, is not that one's answer, whatever it says.
TEST_CASE("a late copy is not the next answer") {
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
    Ground g(script);
    auto body = [&]() -> sched::Task<> {
      const auto one = co_await g.ask();
      REQUIRE(one.outcome == (first == refused ? Outcome::rejected : Outcome::succeeded));
      co_await g.loop.sched.sleep(5 * kMillisecond);
      const auto two = co_await g.ask(200 * kMillisecond);
      REQUIRE(g.node.accepted == 1);
      REQUIRE(two.outcome == Outcome::reset); // it may have run, and is not believed
    };
    g.loop.run(body());
  }
}

// Chosen within a window for repeats, which is over before the connection is up.
TEST_CASE("no repeat leaves after its time") {
  std::vector<std::string> seen;
  Loop *loop = nullptr;
  auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await loop->sched.sleep(60 * kMillisecond); // comes up late
    if (!co_await StandIn::admit(s, b)) co_return;
    const auto sql = co_await StandIn::query(s, b);
    if (!sql.empty()) seen.push_back(sql);
  };
  Ground g(script);
  loop = &g.loop;
  auto body = [&]() -> sched::Task<> {
    const auto tried = co_await g.ask(kSecond, nullptr, true, 30 * kMillisecond);
    REQUIRE(tried.outcome == Outcome::notSent);
    co_await g.loop.sched.sleep(50 * kMillisecond);
    REQUIRE(seen.empty());
  };
  g.loop.run(body());
}

TEST_CASE("the oldest idle connection goes first") {
  Ground g(answers(StandIn::row("value")));
  auto body = [&]() -> sched::Task<> {
    REQUIRE(!g.pool.closeOldestIdle());
    const auto result = co_await g.ask();
    REQUIRE(result.outcome == Outcome::succeeded);
    const int left = g.loop.budget.available();
    REQUIRE(g.pool.closeOldestIdle());
    REQUIRE(g.loop.budget.available() == left + 1);
  };
  g.loop.run(body());
}
