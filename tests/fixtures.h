// Shared by the tests of network code: an event loop and a scripted server.
#pragma once

#include <doctest/doctest.h>

#include "base/net/socket.h"
#include "format/pg/message.h"
#include "policy_fixture.h"
#include "upstream/connection_pool.h"

#include <cstdio>
#include <functional>
#include <sstream>
#include <sys/socket.h>
#include <vector>

namespace myrtlehead {

// A scheduler together with the descriptor budget and the log that network code needs.
struct EventLoop {
  EventLoop() {
    sched.onUncaughtException = [](const char *what) {
      std::fprintf(stderr, "uncaught exception: %s\n", what);
    };
  }
  // Runs the task until it ends; the test fails if that takes longer than 10 s.
  void run(sched::Task<> task) {
    sched.spawn(runAndHalt(std::move(task)));
    sched.spawn(haltAfterTimeout());
    sched.run();
    sched.destroyAllTasks();
    REQUIRE(isDone);
  }
  // Returns two sockets that are connected to each other.
  std::pair<std::unique_ptr<net::Socket>, std::unique_ptr<net::Socket>> socketPair() {
    int fds[2];
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds) == 0);
    return {std::make_unique<net::Socket>(sched, budget, fds[0]),
            std::make_unique<net::Socket>(sched, budget, fds[1])};
  }
  static std::string loopbackAddress(const net::Address &a) {
    return "127.0.0.1:" + std::to_string(a.port());
  }

  sched::Scheduler sched;
  net::DescriptorBudget budget{1000};
  std::ostringstream logOutput;
  log::LogOutput logs{logOutput, log::Format::text, {log::Level::debug, {}}};
  log::Log log = logs.forPackage("test");
  bool isDone = false;

private:
  sched::Task<> runAndHalt(sched::Task<> task) {
    co_await task;
    isDone = true;
    sched.halt();
  }
  sched::Task<> haltAfterTimeout() {
    co_await sched.sleep(10 * kSecond);
    sched.halt();
  }
};

// A server on loopback that serves each connection with a script, in place of an endpoint or of a server of
// the control plane.
struct ScriptedServer {
  using Script = std::function<sched::Task<>(net::Socket &, net::Buffer &)>;
  ScriptedServer(EventLoop &l, Script s)
      : loop(l), script(std::move(s)),
        listener(net::listenTcp(l.sched, l.budget, *net::parseAddress("127.0.0.1:0"))) {
    loop.sched.spawn(acceptConnections());
  }
  std::string address() const { return EventLoop::loopbackAddress(net::localAddress(*listener)); }

  // Reads the startup message and admits the connection, as most scripts do first. Returns false if the
  // connection fails.
  static sched::Task<bool> acceptStartup(net::Socket &s, net::Buffer &b) {
    pg::Startup startup;
    while (pg::parseStartup(b.view(), startup) != pg::ParseStatus::complete)
      if (co_await s.read(b, {}) != net::ErrorCode::none) co_return false;
    b.consume(startup.size);
    std::string out;
    pg::addSessionStart(out, 1, 2);
    pg::addReadyForQuery(out);
    co_return co_await s.write(out, {}) == net::ErrorCode::none;
  }
  // Returns the text of the next query, or "" at the end of the connection. Answers empty queries itself.
  static sched::Task<std::string> readQuery(net::Socket &s, net::Buffer &b) {
    for (;;) {
      pg::Message m;
      while (pg::parseMessage(b.view(), m) != pg::ParseStatus::complete)
        if (co_await s.read(b, {}) != net::ErrorCode::none) co_return "";
      std::string text(m.body.substr(0, m.body.size() - 1)), empty;
      b.consume(m.size);
      if (!text.empty()) co_return text;
      pg::addEmptyQueryResponse(empty);
      pg::addReadyForQuery(empty);
      co_await s.write(empty, {});
    }
  }
  // The complete answer to a query: one row with `value`. A load report precedes ReadyForQuery if `load` is
  // not empty.
  static std::string rowAnswer(std::string_view value, std::string_view load = {}) {
    std::string out;
    pg::addRow(out, "v", value);
    pg::addCommandComplete(out, "SELECT 1");
    if (!load.empty()) pg::addMessage(out, 'S', "load" + std::string(1, '\0') + std::string(load) + '\0');
    pg::addReadyForQuery(out);
    return out;
  }

  EventLoop &loop;
  Script script;
  std::unique_ptr<net::Socket> listener;
  int acceptedConnections = 0, finishedConnections = 0;
  std::vector<std::string> queries;

private:
  sched::Task<> acceptConnections() {
    for (;;) {
      auto socket = net::tryAccept(loop.sched, loop.budget, *listener);
      if (socket)
        loop.sched.spawn(serve(std::move(*socket)));
      else
        co_await listener->waitReadable({});
    }
  }
  sched::Task<> serve(std::unique_ptr<net::Socket> socket) {
    ++acceptedConnections;
    net::Buffer buffer;
    co_await script(*socket, buffer);
    ++finishedConnections;
  }
};

} // namespace myrtlehead
