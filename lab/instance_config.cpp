#include "lab/instance_config.h"

#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>

namespace myrtlehead::lab {

namespace {

using nlohmann::json;

constexpr Nanoseconds kMicrosecond = 1000;

json rolloutState(const Fleet &fleet) {
  http::Fields fields;
  http::parseForm(fleet.rolloutState(), fields);
  return {{"build", std::stoi(std::string(http::value(fields, "build")))},
          {"stage", std::stoi(std::string(http::value(fields, "stage")))},
          {"phase", http::value(fields, "phase")},
          {"cap", std::stod(std::string(http::value(fields, "cap")))},
          {"age_ms", 0}};
}

json route(const char *name, const char *effect) {
  return {{"name", name},        {"effect", effect}, {"group", "all"}, {"repeatWindowUs", 1'000'000},
          {"onTimeUs", 250'000}, {"worth", 1}};
}

json deploymentSettings(std::size_t index, const Scenario &scenario) {
  return {{"me", index},
          {"peersTotal", scenario.marshals},
          {"locality", 0},
          {"failureDomains", {"here"}},
          {"registryMode", "ask"},
          {"resolutionUs", 1000},
          {"services", {route("read", "free"), route("write", "guarded"), route("once", "single_shot")}},
          {"familyInfo",
           {{"control", "by_count"},
            {"caps", {scenario.cap, 1.0}},
            {"free", scenario.free},
            {"votesToGo", 1},
            {"noesNeeded", 1},
            {"voteStandsUs", 4'000'000},
            {"voteAllowance", 5},
            {"callTimeoutUs", 1'200'000}}},
          {"contract",
           {{"coldFrom", scenario.work.warmupStartFraction},
            {"coldUs", scenario.work.warmupTime / kMicrosecond},
            {"fallMultiple", scenario.work.coldBudgetMultiple},
            {"tipAfterUs", scenario.work.overloadTolerance / kMicrosecond}}},
          {"limits",
           {{"mostTries", 4},
            {"retryAfter", true},
            {"maxRetryAfterUs", 500'000},
            {"connectTimeoutUs", 250'000},
            {"connIdleUs", 30'000'000}}},
          {"telemetry", {{"fields", {"waiting"}}}}};
}

void writeSettings(const InstanceFiles &files, const Scenario &scenario, const std::string &dnsServer) {
  std::ofstream toml(files.settings);
  toml << scenario.settings << "\n";
  if (dnsServer.empty()) return;
  toml << "[state]\nfolder = \"" << files.stateFolder << "\"\n"
       << "[names]\nservers = [\"" << dnsServer << "\"]\nstart_spread = \"500ms\"\n"
       << "[[names.set]]\nname = \"" << kServiceName << "\"\n";
  if (scenario.release >= 0) toml << "release = " << scenario.release << "\n";
  std::filesystem::create_directories(files.stateFolder);
}

} // namespace

InstanceFiles::InstanceFiles(const std::string &folder, std::size_t index) {
  const auto number = std::to_string(index);
  config = folder + "/marshal-" + number + ".json";
  settings = folder + "/marshal-" + number + ".toml";
  log = folder + "/marshal-" + number + ".log";
  stateFolder = folder + "/state-" + number;
}

void writeInstanceConfig(const InstanceFiles &files, std::size_t index, const Scenario &scenario,
                         const Fleet &fleet, const std::string &dnsServer) {
  json out{{"name", "n" + std::to_string(index)},
           {"listen", "127.0.0.1:0"},
           {"discovery", fleet.discoveryAddress()},
           {"seed", fmt::format("{:x}", scenario.seed * 1000 + index + 1)},
           {"limits", {{"sockets", scenario.descriptors}, {"memory_mb", scenario.memoryMb}}},
           {"platform", {{"address", fleet.platformAddress()}, {"news", rolloutState(fleet)}}},
           {"settings", deploymentSettings(index, scenario)}};
  if (scenario.listed) out["known"] = json::parse(fleet.endpointListJson(true, 0));
  std::ofstream(files.config) << out.dump(1);
  writeSettings(files, scenario, dnsServer);
}

} // namespace myrtlehead::lab
