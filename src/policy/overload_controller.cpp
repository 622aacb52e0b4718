#include "policy/overload_controller.h"

#include "policy/log_text.h"

#include <algorithm>
#include <cmath>

namespace myrtlehead {

namespace {

constexpr double kMaxLatencyRatio = 1.5; // upper limit of the ratio, and the ratio of a timed-out attempt
constexpr double kMedianStep = 0.02;     // change of the median's estimate per outcome
// Upper limit of the mean latency ratio as a multiple of its median. A greater mean is
// attributed to a few lost attempts.
constexpr double kMaxMeanOverMedian = 2.5;
constexpr double kRateAveragingSeconds = 0.5; // for attempts in flight and the completion rate
constexpr double kObjectiveWeight = 0.1 / 4;  // weight of the newest request
constexpr double kProportionalGain = 0.5;     // shed share per unit above or below the overload ratio
constexpr double kIntegralGain = 0.4;         // shed share per second and unit above the overload ratio
constexpr double kIntegralReleaseGain = 2;    // shed share per second and unit below the overload ratio
constexpr double kMaxShedShare = 0.95;        // admits a few requests, which show when the overload has ended
constexpr double kMaxIntegralShedShare = 0.7;
constexpr double kLowestPriorityExponent = 0.7; // on the shed share, at a relative priority weight of 0
constexpr double kHighestPriorityExponent = 2;  // on the shed share, at a relative priority weight of 1
// Factor on the exponent for a client's retry, which is probably late already and is therefore shed sooner.
constexpr double kClientRetryFactor = 0.5;
constexpr double kLoggedShedShare = 0.05;    // shedding is logged from this share on
constexpr double kMaxQuotaExcessSeconds = 2; // a tenant may exceed its quota by the requests of this time

} // namespace

OverloadController::OverloadController(const Deployment &deployment, const EndpointSet &endpoints,
                                       const OutlierDetector &outliers, Nanoseconds now)
    : deployment_(deployment), endpoints_(endpoints), outliers_(outliers),
      quotaExcess_(deployment.tenantQuotas.size()), updatedAt_(now) {}

void OverloadController::onRequest(const Request &request) {
  if (request.tenant < quotaExcess_.size()) ++quotaExcess_[request.tenant];
  const auto &route = deployment_.routes[static_cast<std::size_t>(request.route)];
  const double objective = inSeconds(route.latencyObjective);
  meanObjective_ = meanObjective_ > 0 ? meanObjective_ + kObjectiveWeight * (objective - meanObjective_)
                                      : objective;
}

void OverloadController::onOutcome(Outcome outcome) {
  --inFlight_;
  // Other outcomes complete no work.
  completed_ += outcome == Outcome::succeeded || outcome == Outcome::failed;
}

void OverloadController::onTimelyOutcome(const Route &route, Outcome outcome, Nanoseconds duration) {
  if (outcome != Outcome::succeeded && outcome != Outcome::timedOut) return;
  const double ratio = outcome == Outcome::timedOut
                           ? kMaxLatencyRatio
                           : static_cast<double>(duration) / static_cast<double>(route.latencyObjective);
  const double step = ratio > medianLatencyRatio_ ? kMedianStep : -kMedianStep;
  medianLatencyRatio_ = std::clamp(medianLatencyRatio_ + step, 0.0, kMaxLatencyRatio);
}

void OverloadController::update(Nanoseconds now, DueActions &due) {
  const double elapsedSeconds = inSeconds(now - updatedAt_);
  if (elapsedSeconds <= 0) return;
  updatedAt_ = now;
  updateRates(elapsedSeconds, now);
  updateShedShare(elapsedSeconds);
  if (isSheddingLogged_ ? shedShare_ > 0 : shedShare_ < kLoggedShedShare) return;
  isSheddingLogged_ = !isSheddingLogged_;
  due.logLines.push_back(formatLine("%s: attempts take %.2f of their latency objectives, %d in flight",
                                    isSheddingLogged_ ? "load shedding started" : "load shedding ended",
                                    latencyRatio_, inFlight_));
}

void OverloadController::updateRates(double elapsedSeconds, Nanoseconds now) {
  const double weight = std::min(1.0, elapsedSeconds / kRateAveragingSeconds);
  int inFlightAtOthers = 0;
  int inFlightAtSuspects = 0;
  for (const auto *endpoint : endpoints_.ready())
    (outliers_.isSuspect(*endpoint, now) ? inFlightAtSuspects : inFlightAtOthers) += endpoint->inFlight;
  meanInFlight_ += weight * ((inFlightAtOthers > 0 ? inFlightAtOthers : inFlightAtSuspects) - meanInFlight_);
  completionRate_ += weight * (completed_ / elapsedSeconds - completionRate_);
  completed_ = 0;
  for (std::size_t i = 0; i < quotaExcess_.size(); ++i)
    quotaExcess_[i] = std::max(quotaExcess_[i] - deployment_.tenantQuotas[i] * elapsedSeconds, 0.0);
}

void OverloadController::updateShedShare(double elapsedSeconds) {
  const double latencySeconds = meanInFlight_ / std::max(completionRate_, 1.0);
  latencyRatio_ = meanObjective_ > 0 ? std::min({latencySeconds / meanObjective_,
                                                 kMaxMeanOverMedian * medianLatencyRatio_, kMaxLatencyRatio})
                                     : 0;
  const double excess = latencyRatio_ - kOverloadRatio;
  const double gain = excess > 0 ? kIntegralGain : kIntegralReleaseGain;
  integralShedShare_ = std::clamp(integralShedShare_ + gain * excess * elapsedSeconds, 0.0,
                                  kMaxIntegralShedShare);
  shedShare_ = std::clamp(integralShedShare_ + kProportionalGain * excess, 0.0, kMaxShedShare);
}

bool OverloadController::isOverQuota(std::size_t tenant) const {
  return tenant < quotaExcess_.size() &&
         quotaExcess_[tenant] > deployment_.tenantQuotas[tenant] * kMaxQuotaExcessSeconds;
}

double OverloadController::shedFraction(const Request &request) const {
  double maxWeight = 0;
  for (const auto &route : deployment_.routes) maxWeight = std::max(maxWeight, route.priorityWeight);
  const auto &route = deployment_.routes[static_cast<std::size_t>(request.route)];
  const double relativeWeight = route.priorityWeight / maxWeight *
                                (isOverQuota(request.tenant) ? deployment_.overQuotaWeight : 1);
  const double factor = request.isClientRetry ? kClientRetryFactor : 1;
  const double exponentRange = kHighestPriorityExponent - kLowestPriorityExponent;
  // shedShare_ is below 1, so a smaller exponent sheds more.
  return std::pow(shedShare_, factor * (kLowestPriorityExponent + exponentRange * relativeWeight));
}

} // namespace myrtlehead
