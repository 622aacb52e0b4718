#include "policy/load_balancer.h"

#include <algorithm>
#include <cmath>

namespace myrtlehead {

namespace {

constexpr double kSlowRatio = 1.3; // an endpoint is slow above this multiple of the mean latency
// The penalty for a slow endpoint decays from its last latency sample on, so that the endpoint is tried
// again.
constexpr Nanoseconds kLatencyPenaltyHalfLife = 5 * kSecond;
constexpr Nanoseconds kLoadReportLifetime = kSecond;
constexpr double kFailureRateWeight = 10; // added to the factor on the load at a failure rate of 1
constexpr double kCrossZoneWeight = 10;   // added to the factor on the load per point of crossZoneCost
constexpr int kMaxRejectedDraws = 16;
constexpr double kSlowZoneRequestShare = 0.05; // share of the requests that may still go to slow zones

} // namespace

double LoadBalancer::load(const Endpoint &endpoint, Nanoseconds now) const {
  const auto &latency = endpoint.latency;
  const auto &report = endpoint.loadReport;
  const double halfLives = static_cast<double>(now - latency.updatedAt) /
                           static_cast<double>(kLatencyPenaltyHalfLife);
  const double mean = latency_.mean();
  const double latencyPenalty = mean > 0
                                    ? std::max(latency.mean / mean - kSlowRatio, 0.0) * std::exp2(-halfLives)
                                    : 0;
  const bool isReportFresh = report.receivedAt > 0 && now - report.receivedAt < kLoadReportLifetime;
  const bool isOwnZone = endpoint.info.zone == deployment_.zone;
  const double zoneFactor = isOwnZone ? 1 : 1 + kCrossZoneWeight * deployment_.crossZoneCost;
  const double requests = 1 + endpoint.inFlight + (isReportFresh ? report.requests : 0);
  const double failureFactor = 1 + kFailureRateWeight * endpoint.health.failureRate;
  return requests * (1 + latencyPenalty) * zoneFactor * failureFactor /
         slowStart_.warmupFraction(endpoint, now);
}

Endpoint *LoadBalancer::choose(std::vector<Endpoint *> endpoints, const Request &request,
                               double maxRateMultiple, Nanoseconds now, RandomEngine &random) const {
  std::erase_if(endpoints, [&](Endpoint *endpoint) {
    return !outliers_.hasRequiredSuccess(*endpoint) || !retries_.allows(request, *endpoint) ||
           !stickyKeys_.allows(request, *endpoint) ||
           !slowStart_.hasCapacity(*endpoint, maxRateMultiple, now);
  });
  const auto excludeUnlessTooMany = [&](const auto &isExcluded) {
    if (4 * std::ranges::count_if(endpoints, isExcluded) <= 3 * std::ssize(endpoints))
      std::erase_if(endpoints, isExcluded);
  };
  excludeUnlessTooMany([&](const Endpoint *endpoint) { return outliers_.isSuspect(*endpoint, now); });
  if (latency_.areOtherZonesSlow() && drawUniform(random) > kSlowZoneRequestShare)
    excludeUnlessTooMany([&](const Endpoint *endpoint) { return endpoint->info.zone != deployment_.zone; });
  const auto wasTried = [&](const Endpoint *endpoint) {
    return std::ranges::find(request.attempts, endpoint, &Attempt::endpoint) != request.attempts.end();
  };
  if (!request.attempts.empty() && !std::ranges::all_of(endpoints, wasTried))
    std::erase_if(endpoints, wasTried);
  if (endpoints.empty()) return nullptr;
  if (endpoints.size() == 1) return endpoints[0];
  const auto first = drawByWeight(endpoints, endpoints.size(), random);
  const auto second = drawByWeight(endpoints, first, random);
  const bool isSecondLessLoaded = load(*endpoints[second], now) < load(*endpoints[first], now);
  return endpoints[isSecondLessLoaded ? second : first];
}

// Draws an index other than `excludedIndex` with probability proportional to the endpoint's weight, by
// rejection sampling with at most kMaxRejectedDraws rejections. An `excludedIndex` past the end excludes
// none.
std::size_t LoadBalancer::drawByWeight(const std::vector<Endpoint *> &endpoints, std::size_t excludedIndex,
                                       RandomEngine &random) {
  const std::size_t lastIndexOffset = excludedIndex < endpoints.size() ? 2 : 1;
  std::uniform_int_distribution<std::size_t> anyIndex(0, endpoints.size() - lastIndexOffset);
  for (int rejectedDraws = 0;; ++rejectedDraws) {
    const auto drawn = anyIndex(random);
    const auto index = drawn < excludedIndex ? drawn : drawn + 1;
    const double weight = endpoints[index]->info.weight;
    if (rejectedDraws == kMaxRejectedDraws || weight >= 1 || drawUniform(random) < weight) return index;
  }
}

void LoadBalancer::onLoadReport(Endpoint &endpoint, const std::vector<float> &values, Nanoseconds now) const {
  const auto &fields = deployment_.loadReportFields;
  for (std::size_t i = 0; i < std::min(values.size(), fields.size()); ++i) {
    if (!std::isfinite(values[i])) return;
    if (fields[i] != LoadReportField::queued && fields[i] != LoadReportField::inFlight) continue;
    endpoint.loadReport.requests = std::max(0.0, static_cast<double>(values[i]));
    endpoint.loadReport.receivedAt = now;
    if (fields[i] == LoadReportField::queued) return; // preferred over inFlight
  }
}

} // namespace myrtlehead
