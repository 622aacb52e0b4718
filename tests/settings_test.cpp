// The operator's settings file: every key is decoded, and every error is reported with its line and key.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "app/settings/settings.h"

using namespace myrtlehead;
using settings::readSettings;

// All errors in the text of a settings file named "f", one per line.
static std::string errors(std::string_view text, const std::vector<std::string> &zones = {}) {
  std::string out;
  for (const auto &error : readSettings(text, zones).errors) out += settings::formatError("f", error) + "\n";
  return out;
}

TEST_CASE("every key is decoded") {
  const auto read = readSettings(R"(
[log]
level = "warning,names=debug"
form = "json"
[metrics]
listen = "[::1]:9464"
[state]
folder = "/var/lib/m"
[names]
servers = ["127.0.0.1:53", "[::1]:5353"]
start_spread = "1.5s"
least_lifetime = "250ms"
most_lifetime = "10m"
stale_most = "2d"
loss_hold = "1m"
departed_for = "2h"
subset = 100
[[names.set]]
name = "_pg._tcp.Maps.example."
release = 7
zone = "hall-b"
[[names.set]]
name = "_pg._tcp.more.example"
)",
                                 {"hall-a", "hall-b"});
  REQUIRE(read.errors.empty());
  const auto &decoded = read.settings;
  REQUIRE(decoded.logLevels.levelOf("names") == log::Level::debug);
  REQUIRE(decoded.logLevels.levelOf("x") == log::Level::warning);
  REQUIRE(decoded.logForm == log::Format::json);
  REQUIRE(net::text(*decoded.metricsAddress) == "[::1]:9464");
  REQUIRE(decoded.stateFolder == "/var/lib/m");
  const auto &dns = decoded.dns;
  REQUIRE(dns.servers.size() == 2);
  REQUIRE(dns.startSpread == 1'500'000'000);
  REQUIRE(dns.resolution.minTtl == 250'000'000);
  REQUIRE(dns.resolution.maxTtl == 600'000'000'000);
  REQUIRE(dns.resolution.staleTime == 2 * 86'400'000'000'000);
  REQUIRE(dns.merge.lossRetention.retentionTime == 60'000'000'000);
  REQUIRE(dns.merge.departedMemoryTime == 7'200'000'000'000);
  REQUIRE(dns.subsetSize == 100);
  REQUIRE(dns.srvNames.size() == 2);
  REQUIRE(dns.srvNames[0].release == 7);
  REQUIRE(dns.srvNames[0].zone == 1);
  REQUIRE(dns.srvNames[1].release == -1);
  REQUIRE(readSettings("", {}).errors.empty());
}

TEST_CASE("an error names its line, its key, the expected value and the value found") {
  REQUIRE(errors("[log]\nlevle = \"info\"\n") ==
          "f:2: log.levle: unknown key; the nearest known key is 'level'\n");
  REQUIRE(errors("[nmaes]\n").find("nearest known key is 'names'") != std::string::npos);
  REQUIRE(errors("[log]\nlevel = 7\n").find("f:2: log.level: expected debug") == 0);
  REQUIRE(errors("a = [1,\n").find("f:") == 0); // a syntax error in TOML
  REQUIRE(errors("names = 3").find("f:1: names: expected a table, found 3") == 0);
  const std::string servers = "[names]\nservers = [\"127.0.0.1:53\"]\n";
  const std::string nameSet = "[[names.set]]\nname = \"a.example\"\n";
  REQUIRE(errors(servers + nameSet).empty());
  REQUIRE(errors(servers).find("both 'servers' and [[names.set]]") != std::string::npos);
  REQUIRE(errors(servers + "start_spread = \"11m\"\n" + nameSet)
              .find("f:3: names.start_spread: expected a duration from 0s to 600s") == 0);
  REQUIRE(errors(servers + "subset = -1\n" + nameSet).find("found -1") != std::string::npos);
  REQUIRE(
      errors(servers + "least_lifetime = \"2h\"\n" + nameSet).find("must not be above names.most_lifetime") !=
      std::string::npos);
  REQUIRE(errors(servers + nameSet + "release = 65536\n")
              .find("f:5: names.set[0].release: expected a whole number from 0 to 65535") == 0);
  REQUIRE(errors(servers + "[[names.set]]\nrelease = 1\n").find("names.set[0].name: required, but missing") !=
          std::string::npos);
  REQUIRE(errors(servers + "[[names.set]]\nname = \"a..b\"\n")
              .find("names.set[0].name: expected a domain name") != std::string::npos);
  REQUIRE(errors(servers + nameSet + "zone = \"c\"\n", {"a", "b"})
              .find("one of the deployment's zones, found 'c'") != std::string::npos);
  REQUIRE(errors(std::string(2 << 20, '#')).find("at most 1 MiB") != std::string::npos);
}

TEST_CASE("a duration is a number with a unit") {
  using settings::parseDuration;
  REQUIRE(parseDuration("250ms") == 250'000'000);
  REQUIRE(parseDuration("1.5h") == 5'400'000'000'000);
  REQUIRE(parseDuration("0s") == 0);
  for (const char *bad : {"", "5", "s", "-1s", "1 s", "1e99d", "nans"}) REQUIRE(!parseDuration(bad));
}

TEST_CASE("the changed keys that need a restart are listed") {
  const auto decode = [](const char *text) { return readSettings(text, {}).settings; };
  const auto before = decode("[names]\nservers=[\"127.0.0.1:53\"]\n[[names.set]]\nname=\"a\"\n");
  const auto after = decode(
      "[names]\nservers=[\"127.0.0.1:54\"]\nstale_most=\"1d\"\n[[names.set]]\nname=\"b\"\n");
  REQUIRE(settings::fieldsNeedingRestart(before, before).empty());
  REQUIRE(settings::fieldsNeedingRestart(before, after) == "names.set, names' durations");
}
