// Which instances have a part in a rollout: the first ones fuse the evidence of all, some more may vote to
// promote; and how small a move of the evidence is reported to so many fusion centers.
#pragma once

#include "policy/deployment.h"

namespace myrtlehead {

constexpr int kMinFusionCenters = 3;

// Instances from index 0 on that fuse the reports: as many as can roll the build back. Where instances may
// not send each other messages, each fuses its own evidence.
int fusionCenterCount(const Deployment &deployment);
bool isFusionCenter(const Deployment &deployment);

// Instances from index 0 on that may vote to promote: half as many more than are needed. So the doubt of half
// of the fusion centers stops a stage while the others vote by what they see themselves, and as many may be
// down.
int promotionVoterCount(const Deployment &deployment);

// The smallest net move of the log-likelihood ratio that is reported; 0: any.
double minReportedChange(const Deployment &deployment);

} // namespace myrtlehead
