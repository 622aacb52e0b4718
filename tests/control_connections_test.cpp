// The bootstrap configuration, and the log.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "control_fixture.h"

#include "app/bootstrap/bootstrap_config.h"

#include <fcntl.h>
#include <unistd.h>

using namespace myrtlehead;

static const std::string kStation =
    R"({"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f",
  "limits":{"sockets":512},"peer_listen":"127.0.0.1:3","peers":["127.0.0.1:3","127.0.0.1:4"],
  "platform":{"address":"127.0.0.1:5"},"settings":{"me":1,"peersTotal":2,"limits":{"peers":true,"connIdleUs":7000},
  "failureDomains":["a","b"],"familyInfo":{"caps":[0.1,1.0],"control":"by_count"},"telemetry":{"fields":["cpu","waiting"]},
  "services":[{"name":"read","effect":"free","onTimeUs":5000},{"name":"write","effect":"guarded"}]}})";

TEST_CASE("what needs a restart is named") {
  auto other = kStation;
  other.replace(other.find("127.0.0.1:2"), 11, "127.0.0.1:9");
  other.replace(other.find("8c1f"), 4, "1234");
  const auto s = bootstrap::readBootstrapConfig(kStation);
  REQUIRE(bootstrap::needsRestart(s, bootstrap::readBootstrapConfig(other)).empty());
  other.replace(other.find("512"), 3, "256");
  other.replace(other.find("guarded"), 7, "free");
  REQUIRE(bootstrap::needsRestart(s, bootstrap::readBootstrapConfig(other)) == "limits, settings");
}

TEST_CASE("the configuration is decoded once") {
  const auto s = bootstrap::readBootstrapConfig(kStation);
  REQUIRE(s.name == "n0");
  REQUIRE(s.seed == 0x8c1f);
  REQUIRE(s.maxDescriptors == 512);
  REQUIRE(s.peerAddresses.size() == 2);
  REQUIRE(s.routeNames == (std::vector<std::string>{"read", "write"}));
  REQUIRE(s.zoneNames.size() == 2);
  REQUIRE(s.loadReportNames.size() == 2);
  REQUIRE(s.deployment.ownIndex == 1);
  REQUIRE(s.deployment.instanceCount == 2);
  REQUIRE(s.deployment.hasPeers);
  REQUIRE(s.idleTimeout == 7 * kMillisecond);
  REQUIRE(s.deployment.routes[0].latencyObjective == 5 * kMillisecond);
  REQUIRE(s.deployment.routes[1].idempotency == Idempotency::idempotentWithKey);
  REQUIRE(s.deployment.rollout.stageCaps == (std::vector<double>{0.1, 1}));
  REQUIRE(s.deployment.loadReportFields[1] == LoadReportField::queued);
}

TEST_CASE("a bad configuration is named") {
  const auto fault = [](std::string from, const std::string &to) {
    auto text = kStation;
    if (!from.empty()) text.replace(text.find(from), from.size(), to);
    try {
      bootstrap::readBootstrapConfig(from.empty() ? to : text);
    } catch (const bootstrap::ConfigError &e) {
      return std::string(e.what());
    }
    return std::string();
  };
  REQUIRE(fault("", "{").find("no JSON") != std::string::npos);
  REQUIRE(fault("", "[]").find("no JSON") != std::string::npos);
  REQUIRE(fault("127.0.0.1:2", "nowhere").find("discovery") != std::string::npos);
  REQUIRE(fault("\"8c1f\"", "\"xyz\"").find("seed") != std::string::npos);
  REQUIRE(fault(R"("name":"n0",)", "").find("name") != std::string::npos);
  REQUIRE(fault("512", "-1").find("limits.sockets") != std::string::npos);
  REQUIRE(fault(R"(,"127.0.0.1:4")", "").find("peers") != std::string::npos);
  REQUIRE(fault("\"me\":1", "\"me\":\"x\"").find("me") != std::string::npos);
  REQUIRE(fault("guarded", "magic").find("effect") != std::string::npos);
}

TEST_CASE("logs filter by package and keep their fields") {
  std::ostringstream text, lines;
  const auto levels = *log::parseLevels("warning,nodes=debug");
  log::Logs(text, log::Format::text, levels).forPackage("names").info("quiet");
  log::Logs(text, log::Format::text, levels).forPackage("nodes").debug("try", {{"node", "s 1"}, {"ms", 7}});
  REQUIRE(text.str().substr(24) == " debug nodes: try node=\"s 1\" ms=7\n");
  log::Logs(lines, log::Format::json, levels).forPackage("names").warning("a \"b\"\n", {{"stale", true}});
  const auto value = json::parse(lines.str().substr(0, lines.str().size() - 1));
  REQUIRE(value);
  REQUIRE(value->find("message")->text == "a \"b\"\n");
  REQUIRE(value->find("stale")->boolValue);
  REQUIRE(value->find("package")->text == "names");
  REQUIRE(!log::parseLevels("loud"));
  REQUIRE(!log::parseLevels("a=b"));
}

// A reader that stands still costs lines, not time; how many is told.
TEST_CASE("a slow reader is not waited for") {
  int fds[2];
  REQUIRE(pipe2(fds, O_NONBLOCK) == 0);
  log::Logs logs(fds[1], log::Format::text, {});
  const auto log = logs.forPackage("test");
  for (int i = 0; i < 5000; ++i) log.info("a line that fills the pipe before long", {{"i", i}});
  REQUIRE(logs.droppedLines() > 0);
  std::string all(1 << 20, 0);
  REQUIRE(read(fds[0], all.data(), all.size()) > 0);
  log.info("on");
  const auto n = read(fds[0], all.data(), all.size());
  REQUIRE(std::string_view(all.data(), static_cast<std::size_t>(n)).find("log lines dropped") != all.npos);
  close(fds[0]), close(fds[1]);
}
