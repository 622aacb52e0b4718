#include "policy/exposure_budget.h"

#include <algorithm>

namespace myrtlehead {

namespace {
constexpr double kRoundingMargin = 1 - 1e-6; // keeps a rounded sum of caps below the exact product
}

// The credits start at 0: it is unknown what the previous incarnation of this instance has sent to a
// candidate, so all free attempts are assumed to be used up.
ExposureBudget::ExposureBudget(const Deployment &deployment, const RolloutTracker &rollout,
                               const EndpointSet &endpoints)
    : deployment_(deployment), rollout_(rollout), endpoints_(endpoints),
      credits_(deployment.rollout.capPerRoute ? std::max<std::size_t>(deployment.routes.size(), 1) : 1, 0.0) {
}

std::size_t ExposureBudget::creditIndex(const Request &request) const {
  return deployment_.rollout.capPerRoute ? static_cast<std::size_t>(request.route) : 0;
}

// The lowest exposure cap of all ready candidates and of the newest announced build. If that build is no
// longer a candidate, the cap of the build after it is used instead, which is the cap of the first stage.
double ExposureBudget::lowestCap() const {
  const int newest = rollout_.isKnown() ? rollout_.state().build : 0;
  double cap = rollout_.isCandidate(newest) ? rollout_.exposureCap(newest) : rollout_.exposureCap(newest + 1);
  for (const auto *endpoint : endpoints_.ready()) {
    const int build = endpoint->info.build;
    if (rollout_.isCandidate(build)) cap = std::min(cap, rollout_.exposureCap(build));
  }
  return cap;
}

void ExposureBudget::onRequest(const Request &request) {
  double &credit = creditOf(request);
  credit = std::min(credit + lowestCap() * kRoundingMargin, deployment_.rollout.burstAttempts);
}

bool ExposureBudget::allows(const Request &request, int build) const {
  const auto &route = deployment_.routes[static_cast<std::size_t>(request.route)];
  if (rollout_.stageOf(build) < deployment_.rollout.idempotentOnlyStages &&
      route.idempotency != Idempotency::idempotent)
    return false;
  return rollout_.exposureCap(build) > 0 && credits_[creditIndex(request)] >= 1;
}

} // namespace myrtlehead
