// The bootstrap configuration, and the format and limits of the log.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "control_fixture.h"

#include "app/bootstrap/bootstrap_config.h"

#include <fcntl.h>
#include <unistd.h>

using namespace myrtlehead;

static const std::string kConfig =
    R"({"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f",
  "limits":{"sockets":512},"peer_listen":"127.0.0.1:3","peers":["127.0.0.1:3","127.0.0.1:4"],
  "platform":{"address":"127.0.0.1:5"},"settings":{"me":1,"peersTotal":2,"limits":{"peers":true,"connIdleUs":7000},
  "failureDomains":["a","b"],"familyInfo":{"caps":[0.1,1.0],"control":"by_count"},"telemetry":{"fields":["cpu","waiting"]},
  "services":[{"name":"read","effect":"free","onTimeUs":5000},{"name":"write","effect":"guarded"}]}})";

TEST_CASE("the changed keys that need a restart are listed") {
  auto changed = kConfig;
  changed.replace(changed.find("127.0.0.1:2"), 11, "127.0.0.1:9");
  changed.replace(changed.find("8c1f"), 4, "1234");
  const auto config = bootstrap::readBootstrapConfig(kConfig);
  REQUIRE(bootstrap::fieldsNeedingRestart(config, bootstrap::readBootstrapConfig(changed)).empty());
  changed.replace(changed.find("512"), 3, "256");
  changed.replace(changed.find("guarded"), 7, "free");
  REQUIRE(bootstrap::fieldsNeedingRestart(config, bootstrap::readBootstrapConfig(changed)) ==
          "limits, settings");
}

TEST_CASE("the bootstrap configuration is decoded") {
  const auto config = bootstrap::readBootstrapConfig(kConfig);
  REQUIRE(config.name == "n0");
  REQUIRE(config.seed == 0x8c1f);
  REQUIRE(config.maxDescriptors == 512);
  REQUIRE(config.peerAddresses.size() == 2);
  REQUIRE(config.routeNames == (std::vector<std::string>{"read", "write"}));
  REQUIRE(config.zoneNames.size() == 2);
  REQUIRE(config.loadReportNames.size() == 2);
  REQUIRE(config.deployment.ownIndex == 1);
  REQUIRE(config.deployment.instanceCount == 2);
  REQUIRE(config.deployment.hasPeers);
  REQUIRE(config.idleTimeout == 7 * kMillisecond);
  REQUIRE(config.deployment.routes[0].latencyObjective == 5 * kMillisecond);
  REQUIRE(config.deployment.routes[1].idempotency == Idempotency::idempotentWithKey);
  REQUIRE(config.deployment.rollout.stageCaps == (std::vector<double>{0.1, 1}));
  REQUIRE(config.deployment.loadReportFields[1] == LoadReportField::queued);
}

TEST_CASE("the error for an invalid configuration names the key") {
  // The error after `from` is replaced by `to`, or for the whole text `to` if `from` is empty.
  const auto errorAfterReplacing = [](std::string from, const std::string &to) {
    auto text = kConfig;
    if (!from.empty()) text.replace(text.find(from), from.size(), to);
    try {
      bootstrap::readBootstrapConfig(from.empty() ? to : text);
    } catch (const bootstrap::ConfigError &e) {
      return std::string(e.what());
    }
    return std::string();
  };
  REQUIRE(errorAfterReplacing("", "{").find("not a JSON object") != std::string::npos);
  REQUIRE(errorAfterReplacing("", "[]").find("not a JSON object") != std::string::npos);
  REQUIRE(errorAfterReplacing("127.0.0.1:2", "nowhere").find("discovery") != std::string::npos);
  REQUIRE(errorAfterReplacing("\"8c1f\"", "\"xyz\"").find("seed") != std::string::npos);
  REQUIRE(errorAfterReplacing(R"("name":"n0",)", "").find("name") != std::string::npos);
  REQUIRE(errorAfterReplacing("512", "-1").find("limits.sockets") != std::string::npos);
  REQUIRE(errorAfterReplacing(R"(,"127.0.0.1:4")", "").find("peers") != std::string::npos);
  REQUIRE(errorAfterReplacing("\"me\":1", "\"me\":\"x\"").find("me") != std::string::npos);
  REQUIRE(errorAfterReplacing("guarded", "magic").find("effect") != std::string::npos);
}

TEST_CASE("log lines are filtered by the level of their package and keep their fields") {
  std::ostringstream text, lines;
  const auto levels = *log::parseLevels("warning,nodes=debug");
  log::Logs(text, log::Format::text, levels).forPackage("names").info("quiet");
  log::Logs(text, log::Format::text, levels).forPackage("nodes").debug("try", {{"node", "s 1"}, {"ms", 7}});
  REQUIRE(text.str().substr(24) == " debug nodes: try node=\"s 1\" ms=7\n");
  log::Logs(lines, log::Format::json, levels).forPackage("names").warning("a \"b\"\n", {{"stale", true}});
  const auto value = json::parse(lines.str().substr(0, lines.str().size() - 1));
  REQUIRE(value);
  REQUIRE(value->find("message")->text == "a \"b\"\n");
  REQUIRE(value->find("stale")->truth);
  REQUIRE(value->find("package")->text == "names");
  REQUIRE(!log::parseLevels("loud"));
  REQUIRE(!log::parseLevels("a=b"));
}

// If the reader of the log falls behind, lines are dropped so that the program does not block. A later line
// reports how many were dropped.
TEST_CASE("a slow reader of the log does not block the program") {
  int fds[2];
  REQUIRE(pipe2(fds, O_NONBLOCK) == 0);
  log::Logs logs(fds[1], log::Format::text, {});
  const auto log = logs.forPackage("test");
  for (int i = 0; i < 5000; ++i) log.info("a line that fills the pipe after a while", {{"i", i}});
  REQUIRE(logs.droppedLines() > 0);
  std::string output(1 << 20, 0);
  REQUIRE(read(fds[0], output.data(), output.size()) > 0);
  log.info("on");
  const auto n = read(fds[0], output.data(), output.size());
  REQUIRE(std::string_view(output.data(), static_cast<std::size_t>(n)).find("log lines dropped") !=
          output.npos);
  close(fds[0]), close(fds[1]);
}
