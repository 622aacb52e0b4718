// Decides whether and until when a request may be retried, how long an attempt may take, and how a request
// ends that gets no further attempt.
//
// If an attempt may have been executed, the request is retried at any time if its route is idempotent, and
// within the idempotency window if it carries an idempotency key; otherwise it is not retried. The window
// starts at the first attempt that may have been executed. Retries are limited to a share of the requests
// received.
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
  bool isTooCloseToDeadline(const Request &request, Nanoseconds now) const;
  // Whether a request that found no endpoint has waited for the maximum time.
  bool isQueuedTooLong(const Request &request, Nanoseconds now) const;
  bool mayRetry(const Request &request, Nanoseconds now) const;
  // The time by which the last byte of the next attempt must be sent; kNoDeadline: at any time;
  // 0: no further attempt may be sent.
  Nanoseconds sendBy(const Request &request) const;
  // The maximum duration of the next attempt if it is sent to the endpoint.
  Nanoseconds attemptTimeout(const Request &request, const Endpoint &endpoint, Nanoseconds now) const;
  // Whether the request may go to the endpoint: if an attempt may have been executed, the endpoint must be in
  // the scope of the idempotency key.
  bool allows(const Request &request, const Endpoint &endpoint) const;
  // The decision that ends the request without an answer: shed if a retry by the client is safe, else fail.
  RoutingDecision giveUp(const Request &request) const;
  // Whether a timed-out attempt ran for at least a quarter of the latency objective, which is half the
  // timeout of an attempt at a suspect endpoint. A shorter attempt is no evidence against the endpoint.
  static bool ranLongEnoughForEvidence(Nanoseconds duration, Nanoseconds latencyObjective);

private:
  friend struct PolicyTestPeer;
  static constexpr double kMaxBudget = 10; // retries that can be saved up
  const Route &routeOf(const Request &request) const;
  bool isClientRetrySafe(const Request &request) const;

  const Deployment &deployment_;
  const LatencyTracker &latency_;
  const OutlierDetector &outliers_;
  const OverloadController &overload_;
  double budget_ = kMaxBudget; // number of retries
};

} // namespace myrtlehead
