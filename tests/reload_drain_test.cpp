// Runs the program as a process, sends it SIGHUP with an address of discovery that gives no list, and counts
// what reaches endpoints whose drains it counts as notified of.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "program_fixture.h"

using namespace myrtlehead;

namespace {

const net::Address kAnyPort = *net::parseAddress("127.0.0.1:0");
constexpr Nanoseconds kNotifiedAfterReload = 4 * kSecond;
constexpr Nanoseconds kObservedAfterReload = 6 * kSecond;
constexpr Nanoseconds kRequestInterval = 20 * kMillisecond;

// A program with three endpoints, one client, and a second address of discovery that runs `script`.
struct ReloadedProgram {
  explicit ReloadedProgram(ScriptedServer::Script script)
      : fleet(loop.sched, loop.budget,
              {kAnyPort, kAnyPort, 1, {{"s-1", kAnyPort}, {"s-2", kAnyPort}, {"s-3", kAnyPort}}, {1}}),
        newDiscovery(loop, std::move(script)), child(startProgram(loop, bootstrapConfig(fleet))) {}

  ~ReloadedProgram() {
    if (isRunning) kill(child.pid, SIGKILL);
  }
  void reload(const std::string &discovery) {
    auto config = bootstrapConfig(fleet);
    config.replace(config.find(fleet.discoveryAddress()), fleet.discoveryAddress().size(), discovery);
    std::ofstream(std::getenv("PROXY_CONFIG")) << config;
    kill(child.pid, SIGHUP);
  }
  // Sends requests until the given time, all endpoints draining from `drainAt` on.
  sched::Task<> sendRequests(Nanoseconds drainAt, Nanoseconds until) {
    auto client = co_await net::connect(loop.sched, loop.budget, listenAddress(child), {});
    REQUIRE(client);
    std::string startup;
    pg::addStartup(startup, "svc", "main");
    co_await (*client)->write(startup, {});
    net::Buffer buffer;
    bool isDraining = false;
    while (loop.sched.now() < until) {
      if (!isDraining && loop.sched.now() >= drainAt) {
        isDraining = true;
        for (const char *name : {"s-1", "s-2", "s-3"}) fleet.findNode(name)->onDraining(drainAt);
      }
      const auto value = co_await queryRecord(**client, buffer);
      served += !value.empty();
      co_await loop.sched.sleep(kRequestInterval);
    }
  }
  // `secondReload`: when the address is changed once more; 0: never.
  void run(const std::string &discovery, Nanoseconds secondReload = 0) {
    auto body = [&]() -> sched::Task<> {
      co_await waitForLog(child, "instance is serving requests");
      co_await loop.sched.sleep(300 * kMillisecond);
      const auto reloadAt = loop.sched.now();
      reload(discovery);
      fleet.isDiscoverySilent = true;
      if (secondReload > 0) loop.sched.spawn(reloadLater(secondReload));
      co_await sendRequests(reloadAt + kNotifiedAfterReload, reloadAt + kObservedAfterReload);
      kill(child.pid, SIGTERM);
      co_await waitForLog(child, "shutdown complete");
    };
    loop.run(body());
    isRunning = false;
    REQUIRE(waitForExit(child) == 0);
    CHECK(served > 50); // before the drains count as notified
    CHECK(fleet.ledger.lateAttemptsToDraining == 0);
  }
  sched::Task<> reloadLater(Nanoseconds after) {
    co_await loop.sched.sleep(after);
    reload(secondDiscovery.address());
  }

  EventLoop loop;
  lab::Fleet fleet;
  ScriptedServer newDiscovery;
  ScriptedServer secondDiscovery{
      loop, [](net::Socket &s, net::Buffer &b) -> sched::Task<> { co_await s.read(b, {}); }};
  ChildProcess child;
  int served = 0;
  bool isRunning = true;
};

sched::Task<> giveNoAnswer(net::Socket &s, net::Buffer &b) {
  auto error = net::ErrorCode::none;
  while (error == net::ErrorCode::none) error = co_await s.read(b, {});
}

sched::Task<> rejectCall(net::Socket &s, net::Buffer &b) {
  co_await s.read(b, {});
  const std::string rejection = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
  co_await s.write(rejection, {});
}

} // namespace

TEST_CASE("a draining endpoint is sent requests after SIGHUP to an address that refuses connections") {
  ReloadedProgram program(giveNoAnswer);
  program.run("127.0.0.1:1");
}

TEST_CASE("a draining endpoint is sent requests after SIGHUP to an address that gives no answer") {
  ReloadedProgram program(giveNoAnswer);
  program.run(program.newDiscovery.address());
}

TEST_CASE("a draining endpoint is sent requests after SIGHUP to an address that rejects calls") {
  ReloadedProgram program(rejectCall);
  program.run(program.newDiscovery.address());
}

TEST_CASE("a draining endpoint is sent requests after two SIGHUPs in a row") {
  ReloadedProgram program(rejectCall);
  program.run(program.newDiscovery.address(), 2 * kSecond);
}
