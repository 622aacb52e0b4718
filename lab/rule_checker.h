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

  // Within one stage, attempts at candidate nodes stay under the free ones and the cap's share of the
  // requests. Watches for as long as the run lasts.
  net::Task<> watchExposure();
  void onInstanceExit(int exitCode) { failedExits_ += exitCode != 0; }

  // By the rule's name the number of breaches, or by how much it was exceeded; 0: kept.
  nlohmann::json rules() const;

private:
  double requestCount() const;

  net::Scheduler &sched_;
  const Scenario &scenario_;
  const Fleet &fleet_;
  const std::vector<std::unique_ptr<LoadTool>> &loads_;
  double exposureExcess_ = 0; // attempts
  int failedExits_ = 0;
};

} // namespace myrtlehead::lab
