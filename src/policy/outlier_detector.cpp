#include "policy/outlier_detector.h"

#include "policy/log_text.h"

#include <algorithm>
#include <vector>

namespace myrtlehead {

namespace {

constexpr int kConsecutiveFailuresToEject = 3;
constexpr double kFailureRateToEject = 0.5;
constexpr double kFailureRateWeight = 0.1;             // of the newest outcome
constexpr double kOutlierRatio = 2;                    // over the better quarter's failure rate,
constexpr double kOutlierMargin = 0.1;                 // and by this much more
constexpr Nanoseconds kBaseEjectionTime = kSecond / 2; // doubled with each ejection in a row
constexpr Nanoseconds kMaxEjectionTime = 8 * kSecond;
constexpr int kMaxEjectionDoublings = 10;
constexpr double kUnresponsiveRatio = 5;          // mean latencies without an outcome
constexpr double kConnectionLossWeight = 0.1 / 4; // of the newest attempt
constexpr double kConnectionLossThreshold = 0.05;
constexpr Nanoseconds kCapacityLossTime = 5 * kSecond; // since attempts were last lost that often

} // namespace

// It may have been started while capacity was being lost.
OutlierDetector::OutlierDetector(const EndpointSet &endpoints, const LatencyTracker &latency, Nanoseconds now)
    : endpoints_(endpoints), latency_(latency), capacityLossUntil_(now + kCapacityLossTime) {}

void OutlierDetector::onConnectionOutcome(const Endpoint &endpoint, Outcome outcome, Nanoseconds now) {
  // An answer that breaks off is no lost endpoint while the endpoint goes on answering others.
  const bool isLost = outcome == Outcome::unreachable ||
                      (outcome == Outcome::reset && endpoint.health.consecutiveFailures > 0);
  connectionLossRate_ += kConnectionLossWeight * ((isLost ? 1 : 0) - connectionLossRate_);
  if (connectionLossRate_ >= kConnectionLossThreshold) capacityLossUntil_ = now + kCapacityLossTime;
}

void OutlierDetector::onOutcome(Endpoint &endpoint, Outcome outcome, Nanoseconds duration, Nanoseconds now,
                                DueActions &due) {
  if (outcome == Outcome::cancelled || outcome == Outcome::notSent) return;
  auto &health = endpoint.health;
  const bool isFailure = isHardFailure(outcome);
  const bool isRejection = outcome == Outcome::rejected;
  if (outcome == Outcome::succeeded)
    health.latestSuccessSentAt = now - duration; // it had not left when that arrived
  if (isRejection) health.latestSuccessSentAt = 0;
  health.failureRate += kFailureRateWeight * ((isFailure ? 1 : 0) - health.failureRate);
  health.consecutiveFailures = isFailure || isRejection ? health.consecutiveFailures + 1 : 0;
  if (health.consecutiveFailures == 0 && health.failureRate < kFailureRateToEject / 2)
    health.consecutiveEjections = 0;
  if (health.ejectedUntil > now) return;
  const bool failsOften = health.consecutiveFailures >= kConsecutiveFailuresToEject ||
                          health.failureRate >= kFailureRateToEject;
  if (!failsOften) return;
  const bool isOutlier = health.failureRate >= kOutlierRatio * betterQuarterFailureRate() + kOutlierMargin;
  if (!isOutlier && !isRejection) return; // one that rejects is full, or drains unlisted
  eject(endpoint, now, due);
}

// Guards against endpoints that hang, fail or are out of reach, a whole zone of them too. An ejection ends by
// itself, and one attempt at a time tells whether the endpoint has recovered. Could harm where all endpoints
// fail in turn: the better quarter must not.
void OutlierDetector::eject(Endpoint &endpoint, Nanoseconds now, DueActions &due) const {
  auto &health = endpoint.health;
  const auto time = std::min(
      kBaseEjectionTime << std::min(health.consecutiveEjections, kMaxEjectionDoublings), kMaxEjectionTime);
  health.ejectedUntil = now + time;
  due.logLines.push_back(formatLine(
      "endpoint ejected for %lld ms: %d consecutive failures, failure rate %.2f",
      static_cast<long long>(time / kMillisecond), health.consecutiveFailures, health.failureRate));
  ++health.consecutiveEjections;
  health.consecutiveFailures = kConsecutiveFailuresToEject - 1;
  health.failureRate = kFailureRateToEject / 2;
}

void OutlierDetector::onEndpointReplaced(Endpoint &endpoint) {
  const auto peerSuspicionUntil = endpoint.health.peerSuspicionUntil;
  endpoint.health = {};
  endpoint.health.peerSuspicionUntil = peerSuspicionUntil;
}

// The failure rate below which a quarter of the endpoints stay: what a fault common to all looks like.
double OutlierDetector::betterQuarterFailureRate() const {
  std::vector<double> rates;
  for (const auto *endpoint : endpoints_.ready()) rates.push_back(endpoint->health.failureRate);
  if (rates.empty()) return 0;
  const auto quarter = rates.begin() + std::ssize(rates) / 4;
  std::ranges::nth_element(rates, quarter);
  return *quarter;
}

bool OutlierDetector::isSuspect(const Endpoint &endpoint, Nanoseconds now) const {
  const auto &health = endpoint.health;
  return health.ejectedUntil > now || health.peerSuspicionUntil > now || isUnresponsive(endpoint, now) ||
         (health.consecutiveEjections > 0 && endpoint.inFlight > 0);
}

bool OutlierDetector::isUnresponsive(const Endpoint &endpoint, Nanoseconds now) const {
  const auto silence = static_cast<double>(now - endpoint.lastOutcomeAt);
  return endpoint.inFlight > 0 && silence > kUnresponsiveRatio * latency_.mean();
}

bool OutlierDetector::failsPersistently(const Endpoint &endpoint) {
  return endpoint.health.consecutiveFailures > kConsecutiveFailuresToEject;
}

} // namespace myrtlehead
