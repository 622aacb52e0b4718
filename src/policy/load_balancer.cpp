#include "policy/load_balancer.h"

#include <algorithm>
#include <cmath>

namespace myrtlehead {

namespace {

constexpr double kSlowRatio = 1.3;                    // mean latencies, from which an endpoint is slow
constexpr Nanoseconds kLatencyHalfLife = 5 * kSecond; // in which an unconfirmed slowness is half forgotten
constexpr Nanoseconds kLoadReportLifetime = kSecond;
constexpr double kFailureRateWeight = 10; // on the load, of an endpoint that always fails
constexpr double kCrossZoneWeight = 10;   // on the load, for each point of the cross-zone cost
constexpr int kMaxWeightedDraws = 16;
constexpr double kFarRequestShare = 0.05; // of the requests, that still go to slow other zones

} // namespace

double LoadBalancer::load(const Endpoint &endpoint, Nanoseconds now) const {
  const auto &latency = endpoint.latency;
  const auto &report = endpoint.loadReport;
  const double halfLives = static_cast<double>(now - latency.updatedAt) /
                           static_cast<double>(kLatencyHalfLife);
  const double mean = latency_.mean();
  const double slowness = mean > 0 ? std::max(latency.mean / mean - kSlowRatio, 0.0) * std::exp2(-halfLives)
                                   : 0;
  const bool isReportFresh = report.receivedAt > 0 && now - report.receivedAt < kLoadReportLifetime;
  const bool isOwnZone = endpoint.info.zone == deployment_.zone;
  const double zoneFactor = isOwnZone ? 1 : 1 + kCrossZoneWeight * deployment_.crossZoneCost;
  const double queue = 1 + endpoint.inFlight + (isReportFresh ? report.requests : 0);
  const double failureFactor = 1 + kFailureRateWeight * endpoint.health.failureRate;
  return queue * (1 + slowness) * zoneFactor * failureFactor / slowStart_.warmupFraction(endpoint, now);
}

Endpoint *LoadBalancer::choose(std::vector<Endpoint *> candidates, const Request &request,
                               double maxRateMultiple, Nanoseconds now, RandomEngine &random) const {
  std::erase_if(candidates, [&](Endpoint *endpoint) {
    return !outliers_.hasRequiredSuccess(*endpoint) || !retries_.allows(request, *endpoint) ||
           !stickyKeys_.allows(request, *endpoint) ||
           !slowStart_.hasCapacity(*endpoint, maxRateMultiple, now);
  });
  const auto removeUnlessMost = [&](const auto &isUnwanted) {
    if (4 * std::ranges::count_if(candidates, isUnwanted) <= 3 * std::ssize(candidates))
      std::erase_if(candidates, isUnwanted);
  };
  removeUnlessMost([&](const Endpoint *endpoint) { return outliers_.isSuspect(*endpoint, now); });
  if (latency_.areOtherZonesSlow() && drawUniform(random) > kFarRequestShare)
    removeUnlessMost([&](const Endpoint *endpoint) { return endpoint->info.zone != deployment_.zone; });
  const auto wasTried = [&](const Endpoint *endpoint) {
    return std::ranges::find(request.attempts, endpoint, &Attempt::endpoint) != request.attempts.end();
  };
  if (!request.attempts.empty() && !std::ranges::all_of(candidates, wasTried))
    std::erase_if(candidates, wasTried);
  if (candidates.empty()) return nullptr;
  if (candidates.size() == 1) return candidates[0];
  const auto first = drawByWeight(candidates, candidates.size(), random);
  const auto second = drawByWeight(candidates, first, random);
  const bool isSecondLighter = load(*candidates[second], now) < load(*candidates[first], now);
  return candidates[isSecondLighter ? second : first];
}

// An index other than `except`, drawn with probability proportional to the endpoint's weight (rejection
// sampling, with at most kMaxWeightedDraws rejections).
std::size_t LoadBalancer::drawByWeight(const std::vector<Endpoint *> &from, std::size_t except,
                                       RandomEngine &random) {
  const std::size_t excluded = except < from.size() ? 2 : 1;
  std::uniform_int_distribution<std::size_t> anyIndex(0, from.size() - excluded);
  for (int draws = 0;; ++draws) {
    const auto drawn = anyIndex(random);
    const auto index = drawn < except ? drawn : drawn + 1;
    const double weight = from[index]->info.weight;
    if (draws == kMaxWeightedDraws || weight >= 1 || drawUniform(random) < weight) return index;
  }
}

void LoadBalancer::onLoadReport(Endpoint &endpoint, const std::vector<float> &values, Nanoseconds now) const {
  const auto &fields = deployment_.loadReportFields;
  for (std::size_t i = 0; i < std::min(values.size(), fields.size()); ++i) {
    if (!std::isfinite(values[i])) return;
    if (fields[i] != LoadReportField::queued && fields[i] != LoadReportField::inFlight) continue;
    endpoint.loadReport.requests = std::max(0.0, static_cast<double>(values[i]));
    endpoint.loadReport.receivedAt = now;
    if (fields[i] == LoadReportField::queued) return; // says more than what is in flight
  }
}

} // namespace myrtlehead
