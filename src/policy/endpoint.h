// An endpoint as the routing policy sees it: its entry in the endpoint list, and the state that the policy
// classes keep for each endpoint. Only the class named in a struct's comment writes that struct.
#pragma once

#include "policy/time.h"

#include <cstdint>

namespace myrtlehead {

enum class EndpointState { ready, draining, gone };

// An endpoint's entry in the endpoint list.
struct EndpointInfo {
  int build = 0;
  int zone = 0;
  int cell = 0; // a set of endpoints that recognise each other's idempotency keys; see IdempotencyScope
  Nanoseconds startedAt = 0; // 0: unknown; the endpoint counts as warm
  EndpointState state = EndpointState::ready;
  int priorityGroup = 0; // 0 is the preferred group
  double weight = 1;     // relative to the largest weight in its priority group
};

// Written by LatencyTracker.
struct EndpointLatency {
  double mean = 0; // mean latency of this instance's attempts, in nanoseconds; 0: unknown
  Nanoseconds updatedAt = 0;
};

// Written by LoadBalancer: the endpoint's last load report.
struct EndpointLoadReport {
  double requests = 0; // requests queued or in flight at the endpoint
  Nanoseconds receivedAt = 0;
};

// Written by OutlierDetector, except for peerSuspicionUntil, which the caller of RoutingPolicy sets
// from OutlierGossip.
struct EndpointHealth {
  double failureRate = 0;       // moving average: share of this instance's attempts that failed
  int consecutiveFailures = 0;  // hard failures and rejections since the last other outcome
  int consecutiveEjections = 0; // ejections without a recovery in between
  Nanoseconds ejectedUntil = 0;
  Nanoseconds latestSuccessSentAt = 0; // when the latest successful attempt was sent; 0 after a rejection
  Nanoseconds peerSuspicionUntil = 0;  // peers report failures of the endpoint until this time
};

// Written by SlowStart.
struct EndpointSlowStart {
  double tokens = 0; // attempts that may be sent to the endpoint now
  Nanoseconds refilledAt = 0;
};

struct Endpoint {
  std::uint64_t id = 0; // the caller's identifier
  // Hash of the endpoint's name, the same at every instance; 0: none. Two names may share a fingerprint.
  std::uint16_t fingerprint = 0;
  EndpointInfo info;
  bool isReady = false;          // in the latest endpoint list, with the state `ready`
  bool seenInListUpdate = false; // in the list update that is being applied; see EndpointSet
  int inFlight = 0;              // attempts of this instance in flight
  Nanoseconds lastOutcomeAt = 0; // last outcome, or first send after an idle time, whichever is later
  EndpointLatency latency;
  EndpointLoadReport loadReport;
  EndpointHealth health;
  EndpointSlowStart slowStart;
};

} // namespace myrtlehead
