// Ejects endpoints that fail more than the others, for a time that doubles, and tells which are suspect.
#pragma once

#include "policy/deployment.h"
#include "policy/due_actions.h"
#include "policy/endpoint_set.h"
#include "policy/latency_tracker.h"

namespace myrtlehead {

class OutlierDetector {
public:
  OutlierDetector(const EndpointSet &endpoints, const LatencyTracker &latency, Nanoseconds now);

  // To be called with each outcome before onOutcome(), whatever the attempt says of the endpoint.
  void onConnectionOutcome(const Endpoint &endpoint, Outcome outcome, Nanoseconds now);
  // An attempt at the endpoint, sent since it started, is over.
  void onOutcome(Endpoint &endpoint, Outcome outcome, Nanoseconds duration, Nanoseconds now, DueActions &due);
  // The endpoint was restarted or has another build: earlier measurements no longer apply.
  static void onEndpointReplaced(Endpoint &endpoint);

  // Ejected, unresponsive, held to be failing by peers, or with an attempt in flight since its ejection that
  // has not been answered yet.
  bool isSuspect(const Endpoint &endpoint, Nanoseconds now) const;
  // Whether it has not answered for several mean latencies while attempts are in flight (before the first
  // outcome the mean is 0, so any endpoint with an attempt in flight counts). Guards against
  // endpoints that hang or lose their answers, before any attempt has timed out. Could harm where one
  // expensive request is all that an endpoint has in flight: it is then only chosen less.
  bool isUnresponsive(const Endpoint &endpoint, Nanoseconds now) const;
  // Whether its last four or more attempts all failed or were rejected: a time-out or reset there is put down
  // to the endpoint, not to its build.
  static bool failsPersistently(const Endpoint &endpoint);
  // Whether many attempts have lately found no endpoint, or lost it: its load is on the others then.
  bool isCapacityBeingLost(Nanoseconds now) const { return now < capacityLossUntil_; }
  // The list may lack endpoints that have left since then: only those that have served an attempt sent later
  // are used. 0: the list is trusted.
  void requireSuccessSince(Nanoseconds since) { requiredSuccessSince_ = since; }
  Nanoseconds requiredSuccessSince() const { return requiredSuccessSince_; }
  bool hasRequiredSuccess(const Endpoint &endpoint) const {
    return endpoint.health.latestSuccessSentAt >= requiredSuccessSince_;
  }

private:
  friend struct PolicyTestPeer;
  double betterQuarterFailureRate() const;
  void eject(Endpoint &endpoint, Nanoseconds now, DueActions &due) const;

  const EndpointSet &endpoints_;
  const LatencyTracker &latency_;
  double connectionLossRate_ = 0; // share of the latest attempts that found no endpoint, or lost it
  Nanoseconds capacityLossUntil_;
  Nanoseconds requiredSuccessSince_ = 0;
};

} // namespace myrtlehead
