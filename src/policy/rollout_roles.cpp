#include "policy/rollout_roles.h"

#include <algorithm>

namespace myrtlehead {

namespace {
// minReportedChange() approaches this value as the number of fusion centers grows.
constexpr double kMinReportedChange = 0.3;
} // namespace

int fusionCenterCount(const Deployment &deployment) {
  if (!deployment.hasPeers) return deployment.instanceCount;
  const auto &rollout = deployment.rollout;
  const int wanted = std::max({rollout.votesToRollBack, rollout.votesToHold, kMinFusionCenters});
  return std::min(wanted, deployment.instanceCount);
}

bool isFusionCenter(const Deployment &deployment) {
  return deployment.ownIndex < fusionCenterCount(deployment);
}

int promotionVoterCount(const Deployment &deployment) {
  const int centers = fusionCenterCount(deployment);
  const int wanted = std::max(deployment.rollout.votesToPromote + centers / 2, centers);
  return std::min(wanted, deployment.instanceCount);
}

double minReportedChange(const Deployment &deployment) {
  return kMinReportedChange * std::max(1 - 1.0 * kMinFusionCenters / fusionCenterCount(deployment), 0.0);
}

} // namespace myrtlehead
