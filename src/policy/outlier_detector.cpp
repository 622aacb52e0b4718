#include "policy/outlier_detector.h"

#include "policy/log_text.h"

#include <algorithm>
#include <vector>

namespace myrtlehead {

namespace {

constexpr int kConsecutiveFailuresToEject = 3;
constexpr double kFailureRateToEject = 0.5;
constexpr double kFailureRateWeight = 0.1; // weight of the newest outcome
// An outlier's failure rate is at least kOutlierRatio times the lower quartile plus kOutlierMargin.
constexpr double kOutlierRatio = 2;
constexpr double kOutlierMargin = 0.1;
constexpr Nanoseconds kBaseEjectionTime = kSecond / 2; // doubles with each consecutive ejection
constexpr Nanoseconds kMaxEjectionTime = 8 * kSecond;
constexpr int kMaxEjectionDoublings = 10;
constexpr double kUnresponsiveRatio = 5;               // multiple of the mean latency without an outcome
constexpr double kConnectionLossWeight = 0.1 / 4;      // weight of the newest attempt
constexpr double kConnectionLossThreshold = 0.05;      // share of the attempts
constexpr Nanoseconds kCapacityLossTime = 5 * kSecond; // since the loss rate last reached the threshold

} // namespace

// Assumes a loss of capacity at first, because the instance may have been started during one.
OutlierDetector::OutlierDetector(const EndpointSet &endpoints, const LatencyTracker &latency, Nanoseconds now)
    : endpoints_(endpoints), latency_(latency), capacityLossUntil_(now + kCapacityLossTime) {}

void OutlierDetector::onConnectionOutcome(const Endpoint &endpoint, Outcome outcome, Nanoseconds now) {
  // A reset does not count as a lost endpoint while the endpoint answers other attempts.
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
    health.latestSuccessSentAt = now - duration; // the endpoint had not departed when the attempt arrived
  if (isRejection) health.latestSuccessSentAt = 0;
  health.failureRate += kFailureRateWeight * ((isFailure ? 1 : 0) - health.failureRate);
  health.consecutiveFailures = isFailure || isRejection ? health.consecutiveFailures + 1 : 0;
  if (health.consecutiveFailures == 0 && health.failureRate < kFailureRateToEject / 2)
    health.consecutiveEjections = 0;
  if (health.ejectedUntil > now) return;
  const bool failsOften = health.consecutiveFailures >= kConsecutiveFailuresToEject ||
                          health.failureRate >= kFailureRateToEject;
  if (!failsOften) return;
  const bool isOutlier = health.failureRate >= kOutlierRatio * lowerQuartileFailureRate() + kOutlierMargin;
  // An endpoint that rejects attempts is full, or is draining before the endpoint list says so.
  if (!isOutlier && !isRejection) return;
  eject(endpoint, now, due);
}

// Takes load off endpoints that hang, fail or are unreachable, including a whole zone of them. An ejection
// expires, and single attempts then show whether the endpoint has recovered. Limitation: if all endpoints
// fail in turn, ejections remove capacity; the comparison assumes that the best quarter of the endpoints does
// not fail.
void OutlierDetector::eject(Endpoint &endpoint, Nanoseconds now, DueActions &due) const {
  auto &health = endpoint.health;
  const auto ejectionTime = std::min(
      kBaseEjectionTime << std::min(health.consecutiveEjections, kMaxEjectionDoublings), kMaxEjectionTime);
  health.ejectedUntil = now + ejectionTime;
  due.logLines.push_back(formatLine(
      "endpoint ejected for %lld ms: %d consecutive failures, failure rate %.2f",
      static_cast<long long>(ejectionTime / kMillisecond), health.consecutiveFailures, health.failureRate));
  ++health.consecutiveEjections;
  // The next failure then reaches the limit of consecutive failures again.
  health.consecutiveFailures = kConsecutiveFailuresToEject - 1;
  health.failureRate = kFailureRateToEject / 2;
}

void OutlierDetector::onEndpointReplaced(Endpoint &endpoint) {
  const auto peerSuspicionUntil = endpoint.health.peerSuspicionUntil;
  endpoint.health = {};
  endpoint.health.peerSuspicionUntil = peerSuspicionUntil;
}

// The lower quartile of the endpoints' failure rates. A fault common to all endpoints raises it.
double OutlierDetector::lowerQuartileFailureRate() const {
  std::vector<double> rates;
  for (const auto *endpoint : endpoints_.ready()) rates.push_back(endpoint->health.failureRate);
  if (rates.empty()) return 0;
  const auto quartile = rates.begin() + std::ssize(rates) / 4;
  std::ranges::nth_element(rates, quartile);
  return *quartile;
}

bool OutlierDetector::isSuspect(const Endpoint &endpoint, Nanoseconds now) const {
  const auto &health = endpoint.health;
  return health.ejectedUntil > now || health.peerSuspicionUntil > now || isUnresponsive(endpoint, now) ||
         (health.consecutiveEjections > 0 && endpoint.inFlight > 0);
}

bool OutlierDetector::isUnresponsive(const Endpoint &endpoint, Nanoseconds now) const {
  const auto sinceLastOutcome = static_cast<double>(now - endpoint.lastOutcomeAt);
  return endpoint.inFlight > 0 && sinceLastOutcome > kUnresponsiveRatio * latency_.mean();
}

bool OutlierDetector::failsPersistently(const Endpoint &endpoint) {
  return endpoint.health.consecutiveFailures > kConsecutiveFailuresToEject;
}

} // namespace myrtlehead
