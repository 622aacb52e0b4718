// Builds the JSON report of a run (totals, latencies, rules, figures per second) and formats it as text.
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

// The data from which a report is built. All references must stay valid until makeReport() returns.
struct RunResult {
  const Scenario &scenario;
  const Fleet &fleet;
  const DnsServer *dns; // nullptr if the run has no DNS server
  const std::vector<std::unique_ptr<LoadTool>> &loads;
  const RuleChecker &rules;
  Nanoseconds startedAt = 0; // when the load starts
  double cpuSeconds = 0;     // CPU time of all instances under load
  long residentKb = 0;       // resident memory of the largest instance
};
nlohmann::json makeReport(const RunResult &result);

// Returns true if no rule in the report has a value above 0.
bool areRulesKept(const nlohmann::json &report);
// Formats the main figures, events and rules of a report as a few lines of text.
std::string summarize(const nlohmann::json &report);
// Formats two reports side by side, one figure per line.
std::string formatComparison(const nlohmann::json &a, const nlohmann::json &b);
// Plots the figures per second to the file `png` with gnuplot. Throws std::runtime_error if gnuplot fails.
void plotSeconds(const nlohmann::json &report, const std::string &png);

} // namespace myrtlehead::lab
