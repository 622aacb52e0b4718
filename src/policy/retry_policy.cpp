#include "policy/retry_policy.h"

#include <algorithm>

namespace myrtlehead {

namespace {

constexpr double kRetriesPerRequest = 0.2;
constexpr double kSuspectTimeoutShare = 0.5; // timeout at a suspect endpoint, as a share of the objective
constexpr double kMaxQueuedShare = 0.5;      // maximum wait for an endpoint, as a share of the objective
// The latest times to start an attempt and a retry, in ticks (Deployment::tickInterval) before the request's
// deadline. The final answer is then sent in time.
constexpr int kLatestAttemptTicks = 2;
constexpr int kLatestRetryTicks = 4;
constexpr int kRetryAfterMeanLatencies = 2; // retry-after delay as a multiple of the mean latency

} // namespace

RetryPolicy::RetryPolicy(const Deployment &deployment, const LatencyTracker &latency,
                         const OutlierDetector &outliers, const OverloadController &overload)
    : deployment_(deployment), latency_(latency), outliers_(outliers), overload_(overload) {}

const Route &RetryPolicy::routeOf(const Request &request) const {
  return deployment_.routes[static_cast<std::size_t>(request.route)];
}

void RetryPolicy::onRequest() { budget_ = std::min(budget_ + kRetriesPerRequest, kMaxBudget); }

bool RetryPolicy::isTooCloseToDeadline(const Request &request, Nanoseconds now) const {
  return request.deadline - now <= kLatestAttemptTicks * deployment_.tickInterval;
}

bool RetryPolicy::isQueuedTooLong(const Request &request, Nanoseconds now) const {
  const auto objective = static_cast<double>(routeOf(request).latencyObjective);
  return static_cast<double>(now - request.receivedAt) / objective >= kMaxQueuedShare;
}

bool RetryPolicy::mayRetry(const Request &request, Nanoseconds now) const {
  const auto &attempts = request.attempts;
  if (static_cast<int>(attempts.size()) >= deployment_.maxAttempts || budget_ < 1) return false;
  if (request.answerStarted) return false;
  if (request.deadline - now <= kLatestRetryTicks * deployment_.tickInterval) return false;
  if (now + deployment_.tickInterval > sendBy(request)) return false;
  // While requests are shed, no work is repeated.
  return !overload_.isShedding() || std::ranges::none_of(attempts, &Attempt::mayHaveExecuted);
}

Nanoseconds RetryPolicy::sendBy(const Request &request) const {
  const auto &route = routeOf(request);
  const auto executed = std::ranges::find_if(
      request.attempts, [](const Attempt &attempt) { return !attempt.inFlight && attempt.mayHaveExecuted; });
  if (executed == request.attempts.end() || route.idempotency == Idempotency::idempotent) return kNoDeadline;
  return route.idempotency == Idempotency::idempotentWithKey ? executed->sentAt + route.idempotencyWindow : 0;
}

Nanoseconds RetryPolicy::attemptTimeout(const Request &request, const Endpoint &endpoint,
                                        Nanoseconds now) const {
  const auto &route = routeOf(request);
  // The final answer must be sent before the client's deadline, even if timers fire late by a tick.
  const Nanoseconds timeout = request.deadline - now - kLatestAttemptTicks * deployment_.tickInterval;
  const bool canBeRetried = route.idempotency != Idempotency::notIdempotent && budget_ >= 1 &&
                            static_cast<int>(request.attempts.size()) + 1 < deployment_.maxAttempts;
  const auto &health = endpoint.health;
  const bool isFailing = health.consecutiveFailures > 0 || outliers_.isUnresponsive(endpoint, now);
  const bool isSuspect = health.consecutiveEjections > 0 || (isFailing && !overload_.isShedding());
  if (!canBeRetried || !isSuspect) return timeout;
  return std::min(
      timeout, static_cast<Nanoseconds>(kSuspectTimeoutShare * static_cast<double>(route.latencyObjective)));
}

bool RetryPolicy::allows(const Request &request, const Endpoint &endpoint) const {
  const auto &route = routeOf(request);
  const auto scope = route.idempotencyScope;
  if (route.idempotency != Idempotency::idempotentWithKey || scope == IdempotencyScope::anywhere) return true;
  return std::ranges::none_of(request.attempts, [&](const Attempt &attempt) {
    if (!attempt.mayHaveExecuted) return false;
    return scope == IdempotencyScope::zone ? endpoint.info.zone != attempt.zone
                                           : endpoint.info.cell != attempt.cell;
  });
}

bool RetryPolicy::isClientRetrySafe(const Request &request) const {
  const auto &route = routeOf(request);
  if (route.idempotency == Idempotency::idempotent) return true;
  const bool isKeyKnownAnywhere = route.idempotency == Idempotency::idempotentWithKey &&
                                  route.idempotencyScope == IdempotencyScope::anywhere;
  return isKeyKnownAnywhere || std::ranges::none_of(request.attempts, &Attempt::mayHaveExecuted);
}

RoutingDecision RetryPolicy::giveUp(const Request &request) const {
  if (!isClientRetrySafe(request)) return {RoutingDecision::fail};
  RoutingDecision decision{RoutingDecision::shed};
  if (deployment_.sendsRetryAfter)
    decision.retryAfter = std::min(deployment_.maxRetryAfter,
                                   static_cast<Nanoseconds>(kRetryAfterMeanLatencies * latency_.mean()));
  return decision;
}

bool RetryPolicy::ranLongEnoughForEvidence(Nanoseconds duration, Nanoseconds latencyObjective) {
  return !(2 * duration < latencyObjective * kSuspectTimeoutShare);
}

} // namespace myrtlehead
