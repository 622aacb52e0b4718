// Runs a scenario: an emulated fleet and load in this process, instances of the gateway in theirs.
#pragma once

#include "lab/scenario.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace myrtlehead::lab {

struct RunOptions {
  std::string program; // the instance's
  std::string folder;  // for configurations, logs and state; made if it is missing
  bool printsEverySecond = false;
};

// Returns the report (see report.h). Throws std::runtime_error where an instance does not start.
nlohmann::json runScenario(const Scenario &scenario, const RunOptions &options);

} // namespace myrtlehead::lab
