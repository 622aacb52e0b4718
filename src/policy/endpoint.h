// One endpoint as the decisions know it: what the endpoint list says of it, and the state that the classes of
// this folder keep for each endpoint. A part is written by the class that its comment names, and by no other.
#pragma once

#include "policy/time.h"

#include <cstdint>

namespace myrtlehead {

enum class EndpointState { ready, draining, gone };

// What the endpoint list says of an endpoint.
struct EndpointInfo {
  int build = 0;
  int zone = 0;
  int cell = 0;
  Nanoseconds startedAt = 0; // 0: long ago
  EndpointState state = EndpointState::ready;
  int priorityGroup = 0; // 0 is preferred
  double weight = 1;     // relative to the largest of its group
};

// Written by LatencyTracker. Times in nanoseconds.
struct EndpointLatency {
  double mean = 0; // of own attempts
  Nanoseconds updatedAt = 0;
};

// Written by LoadBalancer: the endpoint's last load report.
struct EndpointLoadReport {
  double requests = 0; // queued or in flight there
  Nanoseconds receivedAt = 0;
};

// Written by OutlierDetector, but for peerSuspicionUntil, which the owner of OutlierGossip writes.
struct EndpointHealth {
  double failureRate = 0;       // recent share of own attempts that failed
  int consecutiveFailures = 0;  // hard failures and rejections
  int consecutiveEjections = 0; // in a row
  Nanoseconds ejectedUntil = 0;
  Nanoseconds latestSuccessSentAt = 0; // when the latest attempt that it has served was sent
  Nanoseconds peerSuspicionUntil = 0;  // by what peers report
};

// Written by SlowStart.
struct EndpointSlowStart {
  double tokens = 0; // attempts that it may be sent now
  Nanoseconds refilledAt = 0;
};

struct Endpoint {
  std::uint64_t id = 0;          // by which the caller knows it
  std::uint16_t fingerprint = 0; // the same at every instance, unless two names collide; 0: none
  EndpointInfo info;
  bool isReady = false;          // in the latest list, and ready
  bool seenInListUpdate = false; // met while a complete list is being read
  int inFlight = 0;              // own attempts
  Nanoseconds lastOutcomeAt = 0; // or when the first of the attempts in flight was sent
  EndpointLatency latency;
  EndpointLoadReport loadReport;
  EndpointHealth health;
  EndpointSlowStart slowStart;
};

} // namespace myrtlehead
