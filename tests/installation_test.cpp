// The installation's settings: decoded whole, and every fault named with its place.
#include "program/installation/installation.h"

#include <cassert>

using namespace myrtlehead;
using setup::readInstallation;

static std::string faults(std::string_view text, const std::vector<std::string> &zones = {}) {
  std::string out;
  for (const auto &f : readInstallation(text, zones).faults) out += setup::text("f", f) + "\n";
  return out;
}

static void allOfItIsDecoded() {
  const auto read = readInstallation(R"(
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
  assert(read.faults.empty());
  const auto &it = read.installation;
  assert(it.levels.of("names") == log::Level::debug && it.levels.of("x") == log::Level::warning);
  assert(it.form == log::Form::json && net::text(*it.metrics) == "[::1]:9464" &&
         it.stateFolder == "/var/lib/m");
  const auto &n = it.naming;
  assert(n.servers.size() == 2 && n.startSpread == 1'500'000'000 && n.resolution.floor == 250'000'000);
  assert(n.resolution.ceiling == 600'000'000'000 && n.resolution.staleMost == 2 * 86'400'000'000'000);
  assert(n.prudence.lossHold == 60'000'000'000 && n.prudence.departedFor == 7'200'000'000'000 &&
         n.subset == 100);
  assert(n.sets.size() == 2 && n.sets[0].release == 7 && n.sets[0].zone == 1 && n.sets[1].release == -1);
  assert(readInstallation("", {}).faults.empty());
}

static void faultsSayWhereAndWhat() {
  assert(faults("[log]\nlevle = \"info\"\n") ==
         "f:2: log.levle: unknown key; the nearest known key is 'level'\n");
  assert(faults("[nmaes]\n").find("nearest known key is 'names'") != std::string::npos);
  assert(faults("[log]\nlevel = 7\n").find("f:2: log.level: expected debug") == 0);
  assert(faults("a = [1,\n").find("f:") == 0); // not TOML
  assert(faults("names = 3").find("f:1: names: expected a table, found 3") == 0);
  const std::string ok = "[names]\nservers = [\"127.0.0.1:53\"]\n";
  const std::string set = "[[names.set]]\nname = \"a.example\"\n";
  assert(faults(ok + set).empty());
  assert(faults(ok).find("both 'servers' and [[names.set]]") != std::string::npos);
  assert(faults(ok + "start_spread = \"11m\"\n" + set)
             .find("f:3: names.start_spread: expected a duration from 0s to 600s") == 0);
  assert(faults(ok + "subset = -1\n" + set).find("found -1") != std::string::npos);
  assert(faults(ok + "least_lifetime = \"2h\"\n" + set).find("above most_lifetime") != std::string::npos);
  assert(faults(ok + set + "release = 65536\n")
             .find("f:5: names.set[0].release: expected a whole number from 0 to 65535") == 0);
  assert(faults(ok + "[[names.set]]\nrelease = 1\n").find("names.set[0].name: expected, but missing") !=
         std::string::npos);
  assert(faults(ok + "[[names.set]]\nname = \"a..b\"\n").find("names.set[0].name: expected a domain name") !=
         std::string::npos);
  assert(faults(ok + set + "zone = \"c\"\n", {"a", "b"}).find("one of the deployment's zones, found 'c'") !=
         std::string::npos);
  assert(faults(std::string(2 << 20, '#')).find("at most 1 MiB") != std::string::npos);
}

static void durationsHaveUnits() {
  using setup::parseDuration;
  assert(parseDuration("250ms") == 250'000'000 && parseDuration("1.5h") == 5'400'000'000'000 &&
         parseDuration("0s") == 0);
  for (const char *bad : {"", "5", "s", "-1s", "1 s", "1e99d", "nans"}) assert(!parseDuration(bad));
}

static void whatNeedsARestartIsNamed() {
  const auto of = [](const char *text) { return readInstallation(text, {}).installation; };
  const auto a = of("[names]\nservers=[\"127.0.0.1:53\"]\n[[names.set]]\nname=\"a\"\n");
  const auto b = of("[names]\nservers=[\"127.0.0.1:54\"]\nstale_most=\"1d\"\n[[names.set]]\nname=\"b\"\n");
  assert(needsRestart(a, a).empty() && needsRestart(a, b) == "names.set, names' durations");
}

int main() {
  allOfItIsDecoded();
  faultsSayWhereAndWhat();
  durationsHaveUnits();
  whatNeedsARestartIsNamed();
}
