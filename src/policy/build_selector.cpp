#include "policy/build_selector.h"

#include <algorithm>

namespace myrtlehead {

namespace {

// Limits of the load on a candidate's endpoint with one more attempt, as multiples of the mean endpoint's
// load.
constexpr double kMaxCandidateLoadRatio = 1.5; // above it the endpoint is not used
constexpr double kMaxEvidenceLoadRatio = 1.2;  // above it late answers are no evidence against the build
constexpr double kMaxRollbackLoadRatio = 0.5;  // as kMaxCandidateLoadRatio, while the build is rolled back
// Maximum rate of attempts at a candidate's endpoint, as a multiple of a warm endpoint's completion rate.
constexpr double kCandidateRateMultiple = 1.2;

} // namespace

struct BuildSelector::Pools {
  std::vector<Endpoint *> baseline;
  std::vector<Endpoint *> candidate;
};

// The ready endpoints that the request may go to. In each pool only the endpoints of the request's priority
// group remain if there are any. Then the older builds are removed from the baseline pool if the newest
// baseline build runs on at least half of the pool.
BuildSelector::Pools BuildSelector::poolsFor(const Request &request) const {
  Pools pools;
  int newestBaseline = 0;
  for (auto *endpoint : endpoints_.ready()) {
    const int build = endpoint->info.build;
    if (!rollout_.isCandidate(build)) {
      pools.baseline.push_back(endpoint);
      newestBaseline = std::max(newestBaseline, build);
    } else if (exposure_.allows(request, build)) {
      pools.candidate.push_back(endpoint);
    }
  }
  const auto isOtherGroup = [&](const Endpoint *endpoint) {
    return endpoint->info.priorityGroup != request.priorityGroup;
  };
  for (auto *pool : {&pools.baseline, &pools.candidate})
    if (!std::ranges::all_of(*pool, isOtherGroup)) std::erase_if(*pool, isOtherGroup);
  const auto isOlder = [&](const Endpoint *endpoint) { return endpoint->info.build < newestBaseline; };
  if (2 * std::ranges::count_if(pools.baseline, isOlder) <= std::ssize(pools.baseline))
    std::erase_if(pools.baseline, isOlder);
  return pools;
}

Endpoint *BuildSelector::choose(const Request &request, Nanoseconds now, RandomEngine &random) const {
  auto pools = poolsFor(request);
  auto *baseline = balancer_.choose(std::move(pools.baseline), request, SlowStart::kUnlimitedRateMultiple,
                                    now, random);
  // During an overload the candidate's endpoints have no rate limit, so that the baseline's endpoints are not
  // overloaded while the candidate is idle within its cap.
  const bool isLimited = baseline != nullptr && !overload_.isOverloaded();
  auto *candidate = balancer_.choose(std::move(pools.candidate), request,
                                     isLimited ? kCandidateRateMultiple : SlowStart::kUnlimitedRateMultiple,
                                     now, random);
  if (baseline == nullptr || candidate == nullptr) return baseline != nullptr ? baseline : candidate;
  if (!request.attempts.empty()) return baseline; // retries avoid candidates
  return prefersCandidate(*candidate, *baseline, now) ? candidate : baseline;
}

// Keeps the evaluation of the candidate valid: on a more loaded endpoint, late answers would be caused by the
// load and not by the build, and the baseline needs outcomes for the comparison. While the build is rolled
// back, its endpoints get only the requests that the endpoints which have returned to the baseline cannot
// take yet.
bool BuildSelector::prefersCandidate(const Endpoint &candidate, const Endpoint &baseline,
                                     Nanoseconds now) const {
  const bool isEvaluating = rollout_.state().phase == RolloutPhase::evaluating;
  if (isEvaluating && test_.lacksBaselineOutcomes()) return false;
  if (isEvaluating && overload_.isOverloaded())
    return balancer_.load(candidate, now) <= balancer_.load(baseline, now);
  const double maxRatio = isEvaluating ? kMaxCandidateLoadRatio : kMaxRollbackLoadRatio;
  return relativeLoad(candidate, now) <= maxRatio * meanRelativeLoad(now);
}

bool BuildSelector::exceedsMeanLoad(const Endpoint &endpoint, Nanoseconds now) const {
  return relativeLoad(endpoint, now) > kMaxEvidenceLoadRatio * meanRelativeLoad(now);
}

// This instance's attempts in flight plus the next one, divided by the endpoint's warm-up fraction.
double BuildSelector::relativeLoad(const Endpoint &endpoint, Nanoseconds now) const {
  return (endpoint.inFlight + 1) / slowStart_.warmupFraction(endpoint, now);
}

// The relative load of the mean endpoint. With spare capacity it includes the endpoints of all builds, so
// that the candidate gets its share of the load in late stages; otherwise only those of the baseline.
double BuildSelector::meanRelativeLoad(Nanoseconds now) const {
  double inFlight = 0;
  double warmEndpoints = 0; // sum of the warm-up fractions
  for (const auto *endpoint : endpoints_.ready()) {
    if (!overload_.hasSpareCapacity() && rollout_.isCandidate(endpoint->info.build)) continue;
    inFlight += endpoint->inFlight;
    warmEndpoints += slowStart_.warmupFraction(*endpoint, now);
  }
  return inFlight / std::max(warmEndpoints, 1.0) + 1;
}

} // namespace myrtlehead
