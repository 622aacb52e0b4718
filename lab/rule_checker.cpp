#include "lab/rule_checker.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace myrtlehead::lab {

namespace {

// Allows for requests in flight when a stage changes: the instance and the checker may count them in
// different stages. In attempts.
constexpr double kExposureSlackAttempts = 6;
constexpr Nanoseconds kExposureInterval = 20 * kMillisecond;

} // namespace

double RuleChecker::requestCount() const {
  std::size_t count = 0;
  for (const auto &load : loads_) count += load->requests().size();
  return static_cast<double>(count);
}

net::Task<> RuleChecker::watchExposure() {
  for (int stage = -1;;) {
    double attemptsBefore = 0;
    double requestsBefore = 0;
    double cap = 0;
    for (stage = fleet_.rolloutUpdates(); stage == fleet_.rolloutUpdates();) {
      if (attemptsBefore == 0 && requestsBefore == 0) {
        attemptsBefore = static_cast<double>(fleet_.ledger.candidateAttempts);
        requestsBefore = requestCount();
        cap = fleet_.exposureCap();
      }
      if (fleet_.isRolloutActive()) {
        const double allowed = scenario_.free * scenario_.marshals + cap * (requestCount() - requestsBefore) +
                               kExposureSlackAttempts;
        const double attempts = static_cast<double>(fleet_.ledger.candidateAttempts) - attemptsBefore;
        exposureExcess_ = std::max(exposureExcess_, attempts - allowed);
      }
      co_await sched_.sleep(kExposureInterval);
    }
  }
}

nlohmann::json RuleChecker::rules() const {
  int lost = 0;
  int answeredTwice = 0;
  bool hasStrayAnswers = false;
  for (const auto &load : loads_) {
    hasStrayAnswers |= load->hasStrayAnswers();
    for (const auto &request : load->requests()) {
      lost += request.outcome == RequestOutcome::lost;
      answeredTwice += request.finalAnswers > 1;
    }
  }
  int runTwice = 0;
  for (const auto &[id, effect] : fleet_.ledger.effects) runTwice += effect.runs > 1;
  return {{"lost", lost},
          {"answered_twice", answeredTwice + hasStrayAnswers},
          {"effects_twice", runTwice},
          {"sends_to_drained", fleet_.ledger.lateAttemptsToDraining},
          {"cold_pushed_over", fleet_.ledger.overloadedColdNodes},
          {"exposure_excess", std::max(exposureExcess_, 0.0)},
          {"crashes", failedExits_}};
}

} // namespace myrtlehead::lab
