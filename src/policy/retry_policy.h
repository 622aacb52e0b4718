// Whether and until when a request may be retried, how long an attempt may take, and how a request that is
// given up ends.
//
// What may have been executed is repeated freely if its route is idempotent, within the idempotency window
// that the first such attempt has opened if it carries a key, and otherwise never. Retries have a budget, a
// part of the requests received.
#pragma once

#include "policy/deployment.h"
#include "policy/latency_tracker.h"
#include "policy/outlier_detector.h"
#include "policy/overload_controller.h"
#include "policy/request.h"

namespace myrtlehead {

class RetryPolicy {
public:
  RetryPolicy(const Deployment &deployment, const LatencyTracker &latency, const OutlierDetector &outliers,
              const OverloadController &overload);

  void onRequest();
  void onRetry() { budget_ -= 1; }

  // Whether the request is too close to its deadline for an attempt.
  bool isTooLate(const Request &request, Nanoseconds now) const;
  // Whether a request that found no endpoint has been queued for as long as it may be.
  bool isQueuedTooLong(const Request &request, Nanoseconds now) const;
  bool mayRetry(const Request &request, Nanoseconds now) const;
  // By when the last byte of the next attempt must have left; kNoDeadline: at any time.
  Nanoseconds sendBy(const Request &request) const;
  // How long the next attempt, at that endpoint, may take.
  Nanoseconds attemptTimeout(const Request &request, const Endpoint &endpoint, Nanoseconds now) const;
  // Whether the endpoint recognises a repeat of the request, where that matters.
  bool allows(const Request &request, const Endpoint &endpoint) const;
  // The request's end without an answer: shed, which says that a retry is harmless, or else failed.
  RoutingDecision giveUp(const Request &request) const;
  // Whether a timed-out attempt ran for at least half the time that a suspect endpoint is given (a quarter of
  // the latency objective). A shorter one is no evidence against the endpoint.
  static bool ranLongEnoughForEvidence(Nanoseconds duration, Nanoseconds latencyObjective);

private:
  friend struct PolicyTestPeer;
  static constexpr double kMaxBudget = 10; // retries saved up
  const Route &routeOf(const Request &request) const;
  bool maySayHarmless(const Request &request) const;

  const Deployment &deployment_;
  const LatencyTracker &latency_;
  const OutlierDetector &outliers_;
  const OverloadController &overload_;
  double budget_ = kMaxBudget; // retries
};

} // namespace myrtlehead
