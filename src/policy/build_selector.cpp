#include "policy/build_selector.h"

#include <algorithm>

namespace myrtlehead {

namespace {

// Times as crowded as the mean endpoint, with one more attempt:
constexpr double kMaxCandidateCrowding = 1.5;  // a candidate's endpoint is passed over
constexpr double kFairCrowding = 1.2;          // late answers of a candidate's endpoint are no evidence
constexpr double kRollbackCrowding = 0.5;      // the same as the first, while the build is rolled back
constexpr double kCandidateRateMultiple = 1.2; // of what a warm endpoint completes

} // namespace

struct BuildSelector::Pools {
  std::vector<Endpoint *> baseline;
  std::vector<Endpoint *> candidate;
};

// The endpoints of either side that are for the request's priority group, if there are any.
BuildSelector::Pools BuildSelector::poolsFor(const Request &request) const {
  Pools pools;
  int newest = 0;
  for (auto *endpoint : endpoints_.ready()) {
    const int build = endpoint->info.build;
    if (!rollout_.isCandidate(build)) {
      pools.baseline.push_back(endpoint);
      newest = std::max(newest, build);
    } else if (exposure_.allows(request, build)) {
      pools.candidate.push_back(endpoint);
    }
  }
  const auto isOtherGroup = [&](const Endpoint *endpoint) {
    return endpoint->info.priorityGroup != request.priorityGroup;
  };
  for (auto *pool : {&pools.baseline, &pools.candidate})
    if (!std::ranges::all_of(*pool, isOtherGroup)) std::erase_if(*pool, isOtherGroup);
  const auto isOlder = [&](const Endpoint *endpoint) { return endpoint->info.build < newest; };
  if (2 * std::ranges::count_if(pools.baseline, isOlder) <= std::ssize(pools.baseline))
    std::erase_if(pools.baseline, isOlder);
  return pools;
}

Endpoint *BuildSelector::choose(const Request &request, Nanoseconds now, RandomEngine &random) const {
  auto pools = poolsFor(request);
  auto *baseline = balancer_.choose(std::move(pools.baseline), request, SlowStart::kUnlimitedRateMultiple,
                                    now, random);
  // Guards against an overload of the baseline's endpoints beside a candidate that stands idle within its
  // cap: once attempts take long, the candidate's endpoints are used like any other.
  const bool isLimited = baseline != nullptr && !overload_.isOverloaded();
  auto *candidate = balancer_.choose(std::move(pools.candidate), request,
                                     isLimited ? kCandidateRateMultiple : SlowStart::kUnlimitedRateMultiple,
                                     now, random);
  if (baseline == nullptr || candidate == nullptr) return baseline != nullptr ? baseline : candidate;
  if (!request.attempts.empty()) return baseline; // a retry is no place for an experiment
  return prefersCandidate(*candidate, *baseline, now) ? candidate : baseline;
}

// Guards the judgement: beyond the others' crowding, late answers would speak of our load, not of the build,
// and some outcomes of the baseline must be left to compare with. While the build is rolled back the cap is
// only for what the returning endpoints can't take yet.
bool BuildSelector::prefersCandidate(const Endpoint &candidate, const Endpoint &baseline,
                                     Nanoseconds now) const {
  const bool isEvaluating = rollout_.state().phase == RolloutPhase::evaluating;
  if (isEvaluating && test_.lacksBaselineOutcomes()) return false;
  if (isEvaluating && overload_.isOverloaded())
    return balancer_.load(candidate, now) <= balancer_.load(baseline, now);
  const double most = isEvaluating ? kMaxCandidateCrowding : kRollbackCrowding;
  return crowdingOf(candidate, now) <= most * meanCrowding(now);
}

bool BuildSelector::exceedsMeanLoad(const Endpoint &endpoint, Nanoseconds now) const {
  return crowdingOf(endpoint, now) > kFairCrowding * meanCrowding(now);
}

// Own attempts in flight, and the one to come, as if the endpoint were warm.
double BuildSelector::crowdingOf(const Endpoint &endpoint, Nanoseconds now) const {
  return (endpoint.inFlight + 1) / slowStart_.warmupFraction(endpoint, now);
}

// The same at the mean endpoint: of all builds while there is spare capacity, so that a late stage gets its
// load, and of the baseline on a busy fleet.
double BuildSelector::meanCrowding(Nanoseconds now) const {
  double attempts = 0;
  double endpoints = 0;
  for (const auto *endpoint : endpoints_.ready()) {
    if (!overload_.hasSpareCapacity() && rollout_.isCandidate(endpoint->info.build)) continue;
    attempts += endpoint->inFlight;
    endpoints += slowStart_.warmupFraction(*endpoint, now);
  }
  return attempts / std::max(endpoints, 1.0) + 1;
}

} // namespace myrtlehead
