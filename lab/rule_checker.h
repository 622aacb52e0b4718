// Checks a run against the service's rules: no request lost, answered twice or run twice, no late attempt at
// a draining node, no cold node overloaded, exposure to a candidate build within its budget, no crash.
#pragma once

#include "lab/fleet.h"
#include "lab/load.h"
#include "lab/scenario.h"

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <vector>

namespace myrtlehead::lab {

class RuleChecker {
public:
  // All arguments must outlive the checker; `loads` may grow until the first request.
  RuleChecker(net::Scheduler &sched, const Scenario &scenario, const Fleet &fleet,
              const std::vector<std::unique_ptr<LoadTool>> &loads)
      : sched_(sched), scenario_(scenario), fleet_(fleet), loads_(loads) {}

  // Checks for the whole run that, within each stage, the attempts at candidate nodes do not exceed the free
  // attempts of all instances plus the exposure cap times the requests of the stage. Never returns.
  net::Task<> watchExposure();
  // Counts a crash if the exit code is not 0.
  void onInstanceExit(int exitCode) { failedExits_ += exitCode != 0; }

  // Returns for each rule the number of violations or the amount by which the limit is exceeded. 0 means that
  // the rule is kept.
  nlohmann::json rules() const;

private:
  double requestCount() const;

  net::Scheduler &sched_;
  const Scenario &scenario_;
  const Fleet &fleet_;
  const std::vector<std::unique_ptr<LoadTool>> &loads_;
  double exposureExcess_ = 0; // attempts above the allowed exposure, the largest seen
  int failedExits_ = 0;
};

} // namespace myrtlehead::lab
