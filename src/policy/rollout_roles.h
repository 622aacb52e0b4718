// The roles of the instances in a rollout: the first ones are fusion centers, and a few more may vote to
// promote. Also the smallest change of the evidence that is worth a report to that many fusion centers.
#pragma once

#include "policy/deployment.h"

namespace myrtlehead {

constexpr int kMinFusionCenters = 3;

// The number of fusion centers, which are the instances from index 0 on: enough of them to roll the build
// back. Without peer messages, each instance is a fusion center for its own evidence.
int fusionCenterCount(const Deployment &deployment);
bool isFusionCenter(const Deployment &deployment);

// The number of instances, from index 0 on, that may vote to promote: the votes needed plus half the number
// of fusion centers. Half of the fusion centers in doubt thus stop a stage while the others vote by their own
// evidence, and as many voters may be down.
int promotionVoterCount(const Deployment &deployment);

// The smallest change of a log-likelihood ratio that is reported; 0: any change is.
double minReportedChange(const Deployment &deployment);

} // namespace myrtlehead
