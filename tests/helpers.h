// Shared by the tests: a small deployment and the state around a guard, built directly; a scheduler to run
// network code on, and a stand-in for a node.
#pragma once

#include <doctest/doctest.h>

#include "base/net/socket.h"
#include "format/pg/message.h"
#include "guard/guard.h"
#include "nodes/pool.h"

#include <cstdio>
#include <functional>
#include <sstream>
#include <sys/socket.h>
#include <vector>

namespace myrtlehead {

constexpr Ns kNow = 1000 * kSec;

inline Deployment smallDeployment() {
  Deployment d;
  d.marshals = 3;
  Route read{.objective = kSec / 2, .importance = 1};
  Route write{.objective = kSec / 2, .dedupeWindow = kSec, .importance = 5, .repeat = Repeat::deduped};
  Route once{.objective = kSec / 2, .importance = 2, .repeat = Repeat::nonRetriable};
  d.routes = {read, write, once};
  d.rollout = {.control = Control::byCount,
               .caps = {0.1, 0.5, 1},
               .free = 2,
               .votesToGo = 2,
               .voteStands = 10 * kSec,
               .voteAllowance = 100};
  d.tick = 5 * kMs, d.coldFor = 4 * kSec, d.fallSpan = 2 * kSec, d.maxRetryAfter = kSec;
  d.coldFrom = 0.4, d.fallMultiple = 2, d.mostTries = 4;
  d.peers = d.retryAfter = true;
  return d;
}

// A guard that knows `old` nodes of build 1, released, and `young` ones of build 2.
struct Bed {
  explicit Bed(Deployment d = smallDeployment(), int old = 2, int young = 0, Phase phase = Phase::trial)
      : guard(std::move(d), 7, kNow) {
    for (int i = 0; i < old; ++i) list({.build = 1});
    for (int i = 0; i < young; ++i) list({.build = 2});
    guard.s.news = young > 0 ? News{2, 0, phase, 0.1} : News{1, 2, Phase::released, 1};
    guard.s.haveNews = true, guard.s.tried = young > 0, guard.s.warmRate = 10;
    guard.s.lostUntil = 0; // it has served for a while
  }
  Node &list(const Listing &l) {
    Node &n = guard.newNode();
    guard.listed(n, l, kNow);
    guard.listComplete(false);
    return n;
  }
  Node &node(std::size_t i) { return guard.s.nodes[i]; }
  static Req req(int route = 0, Ns patience = 2 * kSec) {
    Req rq;
    rq.route = route;
    rq.taken = kNow, rq.deadline = kNow + patience;
    return rq;
  }
  // A req with one try behind it, which is over and may have run or not.
  Req triedAt(Node &n, int route, bool mayHaveRun) {
    Req rq = req(route);
    rq.counted = true;
    const auto &l = n.listing;
    rq.tries.push_back({.node = &n, .sent = kNow, .build = l.build, .zone = l.zone, .cell = l.cell});
    rq.tries.back().mayHaveRun = mayHaveRun;
    rq.out = 1;
    n.inflight = guard.s.inflight = 1;
    return rq;
  }
  Guard guard;
};

// A scheduler with what network code needs; run() ends with the task, or fails after ten seconds.
struct Loop {
  Loop() {
    sched.onThrow = [](const char *what) { std::fprintf(stderr, "thrown: %s\n", what); };
  }
  void run(sched::Task<> task) {
    sched.spawn(guarded(std::move(task)));
    sched.spawn(tooLong());
    sched.run();
    sched.endAll();
    REQUIRE(done);
  }
  std::pair<std::unique_ptr<net::Socket>, std::unique_ptr<net::Socket>> pair() {
    int fds[2];
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds) == 0);
    return {std::make_unique<net::Socket>(sched, budget, fds[0]),
            std::make_unique<net::Socket>(sched, budget, fds[1])};
  }
  static std::string text(const net::Address &a) { return "127.0.0.1:" + std::to_string(a.port()); }

  sched::Scheduler sched;
  net::Descriptors budget{1000};
  std::ostringstream lines;
  log::Logs logs{lines, log::Form::text, {log::Level::debug, {}}};
  log::Log log = logs.of("test");
  bool done = false;

private:
  sched::Task<> guarded(sched::Task<> task) {
    co_await task;
    done = true;
    sched.halt();
  }
  sched::Task<> tooLong() {
    co_await sched.sleep(10 * kSec);
    sched.halt();
  }
};

// A stand-in for a node: a listener on loopback whose connections are served by a script.
struct StandIn {
  using Script = std::function<sched::Task<>(net::Socket &, net::Buffer &)>;
  StandIn(Loop &l, Script s)
      : loop(l), script(std::move(s)),
        listener(net::listenAt(l.sched, l.budget, *net::parseAddress("127.0.0.1:0"))) {
    loop.sched.spawn(accept());
  }
  std::string address() const { return Loop::text(net::localAddress(*listener)); }

  // Reads the startup message and admits; the scripts' usual beginning.
  static sched::Task<bool> admit(net::Socket &s, net::Buffer &b) {
    pg::Startup startup;
    while (pg::parseStartup(b.view(), startup) != pg::Parsed::whole)
      if (co_await s.read(b, {}) != net::Cause::none) co_return false;
    b.consume(startup.size);
    std::string out;
    pg::addWelcome(out, 1, 2);
    pg::addReady(out);
    co_return co_await s.write(out, {}) == net::Cause::none;
  }
  // The next query's text; empty at the connection's end. Empty queries are answered on the way.
  static sched::Task<std::string> query(net::Socket &s, net::Buffer &b) {
    for (;;) {
      pg::Message m;
      while (pg::parseMessage(b.view(), m) != pg::Parsed::whole)
        if (co_await s.read(b, {}) != net::Cause::none) co_return "";
      std::string text(m.body.substr(0, m.body.size() - 1)), empty;
      b.consume(m.size);
      if (!text.empty()) co_return text;
      pg::addEmptyAnswer(empty);
      pg::addReady(empty);
      co_await s.write(empty, {});
    }
  }
  static std::string row(std::string_view value, std::string_view load = {}) {
    std::string out;
    pg::addRow(out, "v", value);
    pg::addComplete(out, "SELECT 1");
    if (!load.empty()) pg::addMessage(out, 'S', "load" + std::string(1, '\0') + std::string(load) + '\0');
    pg::addReady(out);
    return out;
  }

  Loop &loop;
  Script script;
  std::unique_ptr<net::Socket> listener;
  int accepted = 0, ended = 0;
  std::vector<std::string> queries;

private:
  sched::Task<> accept() {
    for (;;) {
      auto socket = net::acceptNow(loop.sched, loop.budget, *listener);
      if (socket)
        loop.sched.spawn(serve(std::move(*socket)));
      else
        co_await listener->readable({});
    }
  }
  sched::Task<> serve(std::unique_ptr<net::Socket> socket) {
    ++accepted;
    net::Buffer buffer;
    co_await script(*socket, buffer);
    ++ended;
  }
};

} // namespace myrtlehead
