// Chooses an endpoint by the power of two choices: the less loaded of two endpoints drawn at random.
#pragma once

#include "policy/deployment.h"
#include "policy/latency_tracker.h"
#include "policy/outlier_detector.h"
#include "policy/random.h"
#include "policy/retry_policy.h"
#include "policy/slow_start.h"
#include "policy/sticky_keys.h"

#include <vector>

namespace myrtlehead {

class LoadBalancer {
public:
  LoadBalancer(const Deployment &deployment, const LatencyTracker &latency, const OutlierDetector &outliers,
               const SlowStart &slowStart, const RetryPolicy &retries, const StickyKeys &stickyKeys)
      : deployment_(deployment), latency_(latency), outliers_(outliers), slowStart_(slowStart),
        retries_(retries), stickyKeys_(stickyKeys) {}

  // Returns the endpoint for a request's next attempt, or nullptr if no endpoint may be used now. Suspect
  // endpoints and endpoints in slow zones are excluded only if at least a quarter of the endpoints remains,
  // because fewer would be overloaded. Endpoints that the request was already sent to are used last. For
  // maxRateMultiple see SlowStart::hasCapacity().
  Endpoint *choose(std::vector<Endpoint *> endpoints, const Request &request, double maxRateMultiple,
                   Nanoseconds now, RandomEngine &random) const;
  // The attempts of this instance in flight plus the requests in the last load report, weighted by the
  // endpoint's relative latency, failure rate, warm-up fraction and zone.
  double load(const Endpoint &endpoint, Nanoseconds now) const;

  void onLoadReport(Endpoint &endpoint, const std::vector<float> &values, Nanoseconds now) const;
  // The endpoint was restarted or has another build: earlier measurements no longer apply.
  static void onEndpointReplaced(Endpoint &endpoint) { endpoint.loadReport.requests = 0; }

private:
  static std::size_t drawByWeight(const std::vector<Endpoint *> &endpoints, std::size_t excludedIndex,
                                  RandomEngine &random);

  const Deployment &deployment_;
  const LatencyTracker &latency_;
  const OutlierDetector &outliers_;
  const SlowStart &slowStart_;
  const RetryPolicy &retries_;
  const StickyKeys &stickyKeys_;
};

} // namespace myrtlehead
