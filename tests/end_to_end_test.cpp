// Runs the program as a process in front of the laboratory's endpoints: queries, a rollout, reloads, failed
// starts and SIGTERM.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "program_fixture.h"

#include "lab/dns_server.h"
#include "lab/process.h"

using namespace myrtlehead;

TEST_CASE("requests are answered while a build is rolled out, and until a graceful shutdown") {
  EventLoop loop;
  const auto anyPort = *net::parseAddress("127.0.0.1:0");
  lab::Fleet fleet(loop.sched, loop.budget,
                   {anyPort, anyPort, 1, {{"s-1", anyPort}, {"s-2", anyPort}}, {0.3, 1}});
  auto child = startProgram(loop, bootstrapConfig(fleet));
  auto body = [&]() -> sched::Task<> {
    co_await waitForLog(child, "\n");
    auto client = co_await net::connect(loop.sched, loop.budget, listenAddress(child), {});
    REQUIRE(client);
    std::string startup;
    pg::addStartup(startup, "svc", "main");
    co_await (*client)->write(startup, {});
    net::Buffer b;
    // The ReadyForQuery that admits the connection may be read first; in this case the value is empty.
    const auto first = co_await queryRecord(**client, b);
    REQUIRE((first.empty() || first.find("runs build 1") != std::string::npos));
    const auto second = co_await queryRecord(**client, b);
    REQUIRE(second.find("runs build 1") != std::string::npos);
    REQUIRE(fleet.offerBuild(2, false));
    while ((co_await queryRecord(**client, b)).find("runs build 2") == std::string::npos)
      co_await loop.sched.sleep(10 * kMillisecond);
    co_await waitForLog(child, "votes to promote build 2 at stage 0");
    kill(child.pid, SIGTERM);
    const auto duringShutdown = co_await queryRecord(**client, b);
    REQUIRE(!duringShutdown.empty()); // requests are still admitted during the shutdown
    co_await waitForLog(child, "shutdown complete");
  };
  loop.run(body());
  REQUIRE(waitForExit(child) == 0);
}

TEST_CASE("SIGHUP applies a new discovery address; a configuration that can't be decoded changes nothing") {
  EventLoop loop;
  const auto anyPort = *net::parseAddress("127.0.0.1:0");
  lab::Fleet fleet(loop.sched, loop.budget, {anyPort, anyPort, 1, {{"s-1", anyPort}}, {1}});
  lab::Fleet moved(loop.sched, loop.budget, {anyPort, anyPort, 1, {{"s-9", anyPort}}, {1}});
  auto child = startProgram(loop, bootstrapConfig(fleet));
  auto body = [&]() -> sched::Task<> {
    co_await waitForLog(child, "\n");
    std::ofstream(std::getenv("PROXY_CONFIG")) << "{";
    kill(child.pid, SIGHUP);
    co_await waitForLog(child, "the new configuration is not applied");
    std::ofstream(std::getenv("PROXY_CONFIG")) << bootstrapConfig(moved);
    kill(child.pid, SIGHUP);
    kill(child.pid, SIGHUP);
    co_await waitForLog(child, "configuration reloaded");
    auto client = co_await net::connect(loop.sched, loop.budget, listenAddress(child), {});
    REQUIRE(client);
    std::string startup;
    pg::addStartup(startup, "svc", "main");
    co_await (*client)->write(startup, {});
    net::Buffer b;
    while ((co_await queryRecord(**client, b)).find("s-9") == std::string::npos)
      co_await loop.sched.sleep(10 * kMillisecond);
    kill(child.pid, SIGTERM);
    co_await waitForLog(child, "shutdown complete");
  };
  loop.run(body());
  REQUIRE(waitForExit(child) == 0);
}

TEST_CASE("a failed start logs the reason and ends with its exit code") {
  EventLoop loop;
  const auto failedStart = [&](const std::string &config, std::vector<std::string> arguments,
                               std::string_view text) {
    auto child = startProgram(loop, config, std::move(arguments));
    const int code = waitForExit(child);
    REQUIRE(child.stderrSocket->tryRead(child.logText) == net::ErrorCode::none);
    REQUIRE(child.logText.view().find(text) != std::string_view::npos);
    return code;
  };
  REQUIRE(failedStart("{", {}, "not a JSON object") == 1);
  REQUIRE(failedStart("{}", {"--log", "loud"}, "usage") == 2);
  REQUIRE(failedStart("{}", {"serve", "--frob"}, "usage") == 2);
  lab::Fleet fleet(loop.sched, loop.budget,
                   {*net::parseAddress("127.0.0.1:0"), *net::parseAddress("127.0.0.1:0"), 1, {}, {1}});
  auto configWithUsedAddress = bootstrapConfig(fleet);
  configWithUsedAddress.replace(configWithUsedAddress.find("127.0.0.1:0"), 11, fleet.discoveryAddress());
  REQUIRE(failedStart(configWithUsedAddress, {}, "in use") == 1);
}

// The DNS records of the fleet's endpoints.
static std::vector<std::string> zoneRecords(const lab::Fleet &fleet) {
  return fleet.dnsRecords("_pg._tcp.maps.example", 1, false);
}

// Requires that the metrics address, which the log names, serves /metrics and rejects other targets.
static sched::Task<> requireMetricsServed(EventLoop &loop, ChildProcess &child) {
  const auto text = child.logText.view();
  const auto at = text.find(" at=", text.find("serving metrics")) + 4;
  const auto address = net::parseAddress(text.substr(at, text.find('\n', at) - at));
  REQUIRE(address);
  for (const auto &[target, expected] : {std::pair{"/metrics", "myrtlehead_names_servers{by=\"set\"} 2"},
                                         std::pair{"/other", "404 Not Found"}}) {
    auto socket = co_await net::connect(loop.sched, loop.budget, *address, {});
    REQUIRE(socket);
    co_await (*socket)->write(http::writeRequest("GET", target, "marshal"), {});
    net::Buffer b;
    for (auto cause = net::ErrorCode::none; cause == net::ErrorCode::none;)
      cause = co_await (*socket)->read(b, {});
    REQUIRE(b.view().find(expected) != std::string_view::npos);
  }
}

TEST_CASE("endpoints come from DNS; SIGHUP applies a new DNS server, and faulty settings change nothing") {
  EventLoop loop;
  const auto anyPort = *net::parseAddress("127.0.0.1:0");
  lab::Fleet fleet(loop.sched, loop.budget, {anyPort, anyPort, 1, {{"s-1", anyPort}, {"s-2", anyPort}}, {1}});
  fleet.listsNoEndpoints = true;
  lab::DnsServer first(loop.sched, loop.budget), second(loop.sched, loop.budget);
  first.setZone(zoneRecords(fleet)), second.setZone(zoneRecords(fleet));
  const auto settingsFile = temporaryPath(".toml");
  const auto writeSettings = [&](const std::string &dnsServer, const char *extraKeys) {
    std::ofstream(settingsFile) << "[metrics]\nlisten = \"127.0.0.1:0\"\n[names]\nservers = [\"" << dnsServer
                                << "\"]\nleast_lifetime = \"100ms\"\n"
                                << extraKeys << "[[names.set]]\nname = \"_pg._tcp.maps.example\"\n";
  };
  writeSettings(net::formatAddress(first.address()), "");
  auto child = startProgram(loop, bootstrapConfig(fleet),
                            {"serve", "--settings", settingsFile, "--log", "info,names=debug"});
  auto body = [&]() -> sched::Task<> {
    co_await waitForLog(child, "DNS records are followed endpoints=2");
    auto client = co_await net::connect(loop.sched, loop.budget, listenAddress(child), {});
    REQUIRE(client);
    std::string startup;
    pg::addStartup(startup, "svc", "main");
    co_await (*client)->write(startup, {});
    net::Buffer b;
    while ((co_await queryRecord(**client, b)).find("runs build 1") == std::string::npos)
      co_await loop.sched.sleep(10 * kMillisecond);
    co_await requireMetricsServed(loop, child);
    writeSettings("nowhere", "");
    kill(child.pid, SIGHUP);
    co_await waitForLog(child, "the new settings are not applied");
    first.udpMode = lab::DnsServer::UdpMode::silent;
    writeSettings(net::formatAddress(second.address()), "stale_most = \"1h\"\n");
    kill(child.pid, SIGHUP);
    co_await waitForLog(child,
                        "some changed fields need a restart to take effect fields=\"names' durations\"");
    while (second.queries == 0) co_await loop.sched.sleep(10 * kMillisecond);
    kill(child.pid, SIGTERM);
    co_await waitForLog(child, "shutdown complete");
  };
  loop.run(body());
  REQUIRE(waitForExit(child) == 0);
  std::remove(settingsFile.c_str());
}

TEST_CASE("resolve prints the servers and exits with 0, or prints the cause and exits with 1") {
  EventLoop loop;
  lab::DnsServer dns(loop.sched, loop.budget);
  dns.setZone({"_pg._tcp.maps.example. 60 IN SRV 1 7 6432 s-1.maps.example.",
               "s-1.maps.example. 30 IN A 127.0.1.1", "s-1.maps.example. 60 IN TXT release=4"});
  const auto run = [&](const std::string &name, const std::string &expected) -> sched::Task<> {
    const auto call = std::string(MYRTLEHEAD_PROGRAM) + " resolve " + name + " --output json --server " +
                      net::formatAddress(dns.address()) + " >&2; echo code $? >&2";
    lab::Process process(loop.sched, loop.budget, "/bin/sh", {"-c", call}, "");
    const net::Deadline until{loop.sched.now() + 8 * kSecond, nullptr};
    const auto code = co_await process.waitForLine("code ", until);
    const auto found = co_await process.waitForLine(expected, until);
    REQUIRE(code == (name == "_pg._tcp.maps.example" ? "code 0" : "code 1"));
    REQUIRE(!found.empty());
  };
  auto body = [&]() -> sched::Task<> {
    for (const char *expected : {"\"priority\": 1", "\"weight\": 7", "\"build\": \"4\"",
                                 "\"address\": \"127.0.1.1:6432\"", "\"state\": \"fresh\""})
      co_await run("_pg._tcp.maps.example", expected);
    co_await run("_pg._tcp.none.example", "\"cause\": \"no such name\"");
  };
  loop.run(body());
}
