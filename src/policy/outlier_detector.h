// Detects outliers: ejects endpoints that fail more often than the others, for a time that doubles with each
// ejection, and reports which endpoints are suspect.
#pragma once

#include "policy/deployment.h"
#include "policy/due_actions.h"
#include "policy/endpoint_set.h"
#include "policy/latency_tracker.h"

namespace myrtlehead {

class OutlierDetector {
public:
  OutlierDetector(const EndpointSet &endpoints, const LatencyTracker &latency, Nanoseconds now);

  // Must be called with each outcome before onOutcome(), even if onOutcome() is not called for it.
  void onConnectionOutcome(const Endpoint &endpoint, Outcome outcome, Nanoseconds now);
  // Must be called after each attempt that was sent to the endpoint since the endpoint started.
  void onOutcome(Endpoint &endpoint, Outcome outcome, Nanoseconds duration, Nanoseconds now, DueActions &due);
  // The endpoint was restarted or has another build: earlier measurements no longer apply.
  static void onEndpointReplaced(Endpoint &endpoint);

  // Whether the endpoint is ejected, unresponsive or reported as failing by peers, or has not yet answered an
  // attempt in flight since its last ejection.
  bool isSuspect(const Endpoint &endpoint, Nanoseconds now) const;
  // Whether the endpoint has attempts in flight and has returned no outcome for several mean latencies.
  // Detects endpoints that hang or lose their answers before any attempt has timed out. Before the first
  // outcome the mean is 0, so any endpoint with an attempt in flight counts as unresponsive. Limitation: an
  // endpoint whose only attempt in flight is an expensive request also counts; it is only chosen less often.
  bool isUnresponsive(const Endpoint &endpoint, Nanoseconds now) const;
  // Whether the last four or more attempts at the endpoint all failed or were rejected. Timeouts and resets
  // are then attributed to the endpoint and not to its build.
  static bool failsPersistently(const Endpoint &endpoint);
  // Whether many recent attempts could not connect to their endpoint or lost the connection, so that the
  // remaining endpoints carry the load of the lost ones.
  bool isCapacityBeingLost(Nanoseconds now) const { return now < capacityLossUntil_; }
  // Restricts routing to endpoints that have answered an attempt sent at the time `since` or later, because
  // the endpoint list may contain endpoints that have departed since then. 0: the list is up to date.
  void requireSuccessSince(Nanoseconds since) { requiredSuccessSince_ = since; }
  Nanoseconds requiredSuccessSince() const { return requiredSuccessSince_; }
  bool hasRequiredSuccess(const Endpoint &endpoint) const {
    return endpoint.health.latestSuccessSentAt >= requiredSuccessSince_;
  }

private:
  friend struct PolicyTestPeer;
  double lowerQuartileFailureRate() const;
  void eject(Endpoint &endpoint, Nanoseconds now, DueActions &due) const;

  const EndpointSet &endpoints_;
  const LatencyTracker &latency_;
  // Moving average: share of the attempts that could not connect to their endpoint or lost the connection.
  double connectionLossRate_ = 0;
  Nanoseconds capacityLossUntil_;
  Nanoseconds requiredSuccessSince_ = 0;
};

} // namespace myrtlehead
