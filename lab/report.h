// The report of a run, as JSON: totals, latencies, rules, seconds.
#pragma once

#include "lab/dns_server.h"
#include "lab/fleet.h"
#include "lab/load.h"
#include "lab/rule_checker.h"
#include "lab/scenario.h"

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace myrtlehead::lab {

// What a run has left behind.
struct RunResult {
  const Scenario &scenario;
  const Fleet &fleet;
  const DnsServer *dns; // nullptr: the run had none
  const std::vector<std::unique_ptr<LoadTool>> &loads;
  const RuleChecker &rules;
  Nanoseconds startedAt = 0; // the load
  double cpuSeconds = 0;     // of all instances, under load
  long residentKb = 0;       // of the largest instance
};
nlohmann::json makeReport(const RunResult &result);

bool areRulesKept(const nlohmann::json &report);
// A few lines of text.
std::string summary(const nlohmann::json &report);
// Two reports side by side, a figure a line.
std::string compare(const nlohmann::json &a, const nlohmann::json &b);
// Draws the seconds by gnuplot. Throws std::runtime_error where that fails.
void plot(const nlohmann::json &report, const std::string &png);

} // namespace myrtlehead::lab
