// Which build a request goes to: the candidate's endpoints while the exposure budget lasts and they are not
// more crowded than the others, otherwise the newest other build that has half of the endpoints.
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

  // The endpoint for a request's next attempt; nullptr: none may be used now.
  Endpoint *choose(const Request &request, Nanoseconds now, RandomEngine &random) const;
  // Whether the endpoint, of a candidate, will be more crowded than the others with one more attempt, so that
  // late answers speak of the load and not of its build.
  bool exceedsMeanLoad(const Endpoint &endpoint, Nanoseconds now) const;

private:
  friend struct PolicyTestPeer;
  struct Pools;
  Pools poolsFor(const Request &request) const;
  bool prefersCandidate(const Endpoint &candidate, const Endpoint &baseline, Nanoseconds now) const;
  double crowdingOf(const Endpoint &endpoint, Nanoseconds now) const;
  double meanCrowding(Nanoseconds now) const;

  const RolloutTracker &rollout_;
  const EndpointSet &endpoints_;
  const ExposureBudget &exposure_;
  const LoadBalancer &balancer_;
  const SlowStart &slowStart_;
  const OverloadController &overload_;
  const SequentialTest &test_;
};

} // namespace myrtlehead
