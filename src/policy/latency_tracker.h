// Measures the latency of this instance's attempts: the mean over all attempts, the mean at each endpoint,
// and the lower quartiles in the own zone and in other zones.
#pragma once

#include "policy/deployment.h"
#include "policy/request.h"

namespace myrtlehead {

class LatencyTracker {
public:
  explicit LatencyTracker(const Deployment &deployment) : deployment_(deployment) {}

  void onOutcome(Endpoint &endpoint, Outcome outcome, Nanoseconds duration, Nanoseconds now);
  // The endpoint was restarted or has another build: earlier measurements no longer apply.
  static void onEndpointReplaced(Endpoint &endpoint) { endpoint.latency.mean = 0; }

  // Mean latency of all attempts of this instance, in nanoseconds; 0 before the first sample.
  double mean() const { return mean_; }
  // Whether attempts in other zones take much longer than in the own zone. Detects slow or lossy links
  // between zones, which the few attempts at each endpoint can't show. Limitation: if the own zone is the
  // busier one, requests stay in it until its latencies rise.
  bool areOtherZonesSlow() const;

private:
  friend struct PolicyTestPeer;
  const Deployment &deployment_;
  double mean_ = 0;                    // nanoseconds
  double ownZoneLowerQuartile_ = 0;    // nanoseconds; 0: no sample yet
  double otherZonesLowerQuartile_ = 0; // nanoseconds; 0: no sample yet
};

} // namespace myrtlehead
