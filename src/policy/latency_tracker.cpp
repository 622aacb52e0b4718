#include "policy/latency_tracker.h"

namespace myrtlehead {

namespace {

constexpr double kEndpointMeanWeight = 0.1;                    // weight of the newest sample
constexpr double kOverallMeanWeight = kEndpointMeanWeight / 4; // weight of the newest sample
constexpr double kQuartileStep = 0.1; // relative change of a quartile's estimate per sample
constexpr int kTimeoutPenalty = 2;    // factor on a timeout's duration: the answer would have come later
constexpr double kSlowZoneRatio = 3;  // other zones are slow above this multiple of the own zone's quartile

} // namespace

void LatencyTracker::onOutcome(Endpoint &endpoint, Outcome outcome, Nanoseconds duration, Nanoseconds now) {
  if (outcome == Outcome::succeeded || outcome == Outcome::timedOut) {
    const bool isTimeout = outcome == Outcome::timedOut;
    const auto sample = static_cast<double>(isTimeout ? kTimeoutPenalty * duration : duration);
    auto &latency = endpoint.latency;
    latency.mean = latency.mean > 0 ? latency.mean + kEndpointMeanWeight * (sample - latency.mean) : sample;
    latency.updatedAt = now;
    mean_ = mean_ > 0 ? mean_ + kOverallMeanWeight * (sample - mean_) : sample;
  }
  if (outcome != Outcome::succeeded) return;
  // Slow endpoints and slow builds hardly change the lower quartile.
  auto &quartile = endpoint.info.zone == deployment_.zone ? ownZoneLowerQuartile_ : otherZonesLowerQuartile_;
  const auto sample = static_cast<double>(duration);
  // The estimate is at rest if a quarter of the samples are below it, so the step down is three times the
  // step up.
  const double factor = sample < quartile ? 1 - 3 * kQuartileStep : 1 + kQuartileStep;
  quartile = quartile <= 0 ? sample : quartile * factor;
}

bool LatencyTracker::areOtherZonesSlow() const {
  return ownZoneLowerQuartile_ > 0 && otherZonesLowerQuartile_ > kSlowZoneRatio * ownZoneLowerQuartile_;
}

} // namespace myrtlehead
