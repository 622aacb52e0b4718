// Selects the build for a request. Endpoints of candidate builds are used while the exposure budget lasts and
// they are not much more loaded than the others. Otherwise endpoints of the newest baseline build are used if
// it runs on at least half of the baseline's endpoints, else endpoints of all baseline builds.
#pragma once

#include "policy/exposure_budget.h"
#include "policy/load_balancer.h"
#include "policy/overload_controller.h"
#include "policy/sequential_test.h"

namespace myrtlehead {

class BuildSelector {
public:
  BuildSelector(const RolloutTracker &rollout, const EndpointSet &endpoints, const ExposureBudget &exposure,
                const LoadBalancer &balancer, const SlowStart &slowStart, const OverloadController &overload,
                const SequentialTest &test)
      : rollout_(rollout), endpoints_(endpoints), exposure_(exposure), balancer_(balancer),
        slowStart_(slowStart), overload_(overload), test_(test) {}

  // Returns the endpoint for a request's next attempt, or nullptr if no endpoint may be used now.
  Endpoint *choose(const Request &request, Nanoseconds now, RandomEngine &random) const;
  // Whether one more attempt raises the load of a candidate's endpoint so far above the load of the mean
  // endpoint (kMaxEvidenceLoadRatio) that late answers are no evidence against the build, because the load
  // causes them.
  bool exceedsMeanLoad(const Endpoint &endpoint, Nanoseconds now) const;

private:
  friend struct PolicyTestPeer;
  struct Pools;
  Pools poolsFor(const Request &request) const;
  bool prefersCandidate(const Endpoint &candidate, const Endpoint &baseline, Nanoseconds now) const;
  double relativeLoad(const Endpoint &endpoint, Nanoseconds now) const;
  double meanRelativeLoad(Nanoseconds now) const;

  const RolloutTracker &rollout_;
  const EndpointSet &endpoints_;
  const ExposureBudget &exposure_;
  const LoadBalancer &balancer_;
  const SlowStart &slowStart_;
  const OverloadController &overload_;
  const SequentialTest &test_;
};

} // namespace myrtlehead
