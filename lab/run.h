// Plays a scenario against real instances and checks the five rules; writes and compares reports.
#pragma once

#include "lab/scenario.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace myrtlehead::lab {

struct Playing {
  std::string marshal; // the program
  std::string folder;  // for configurations, logs and state; made if it is missing
  bool live = false;   // a line a second
};

// The report: totals, times, rules, seconds. Throws where an instance does not start.
nlohmann::json play(const Scenario &scenario, const Playing &how);

bool rulesKept(const nlohmann::json &report);
std::string summary(const nlohmann::json &report);
std::string compare(const nlohmann::json &a, const nlohmann::json &b);
void plot(const nlohmann::json &report, const std::string &png); // by gnuplot

} // namespace myrtlehead::lab
