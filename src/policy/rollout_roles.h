// The roles of the instances in a rollout, by index: the first instances are fusion centers, and they and a
// few more are the first to vote to promote. The number of fusion centers also determines the smallest change
// of the evidence that is reported to them.
#pragma once

#include "policy/deployment.h"

namespace myrtlehead {

constexpr int kMinFusionCenters = 3;

// The number of fusion centers, which are the instances from index 0 on: enough of them to roll the build
// back or to hold it. Without peer messages, each instance is a fusion center for its own evidence.
int fusionCenterCount(const Deployment &deployment);
bool isFusionCenter(const Deployment &deployment);

// The number of instances, from index 0 on, that are the first to vote to promote: the votes needed plus half
// the number of fusion centers, and at least all fusion centers. All other instances vote after them. A stage
// is not promoted if half of the fusion centers are in doubt and the other half vote by their own evidence.
// It can be promoted while as many voters as half the number of fusion centers are down.
int promotionVoterCount(const Deployment &deployment);

// The smallest change of a log-likelihood ratio that is reported; 0: every change is reported.
double minReportedChange(const Deployment &deployment);

} // namespace myrtlehead
