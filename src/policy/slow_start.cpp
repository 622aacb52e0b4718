#include "policy/slow_start.h"

#include <algorithm>

namespace myrtlehead {

namespace {

constexpr double kColdBudgetShare = 0.6;      // share of the permitted load on a cold endpoint that is used
constexpr double kMaxBurstWindowShare = 0.25; // tokens saved up at most, as a share of the budget's window
constexpr Nanoseconds kRateUpdateInterval = kSecond / 2;
constexpr double kRateDecay = 0.1;              // share that the sums lose at each update
constexpr double kInitialCompletionShare = 0.5; // assumed share of completed requests before the first one

} // namespace

double SlowStart::warmupFraction(const Endpoint &endpoint, Nanoseconds now) const {
  if (endpoint.info.startedAt == 0 || deployment_.warmupTime <= 0) return 1;
  const auto age = static_cast<double>(std::max<Nanoseconds>(now - endpoint.info.startedAt, 0));
  const double start = deployment_.warmupStartFraction;
  return std::min(1.0, start + (1 - start) * age / static_cast<double>(deployment_.warmupTime));
}

bool SlowStart::hasCapacity(Endpoint &endpoint, double maxRateMultiple, Nanoseconds now) const {
  const double warmup = warmupFraction(endpoint, now);
  const double multiple = warmup < 1
                              ? std::min(maxRateMultiple, kColdBudgetShare * deployment_.coldBudgetMultiple)
                              : maxRateMultiple;
  if (multiple == kUnlimitedRateMultiple) return true;
  const double rate = multiple * warmup * completionRate_ / 1e9; // attempts per nanosecond
  const double maxTokens = std::max(
      rate * static_cast<double>(deployment_.coldBudgetWindow) * kMaxBurstWindowShare, 1.0);
  auto &bucket = endpoint.slowStart;
  bucket.tokens = std::min(bucket.tokens + rate * static_cast<double>(now - bucket.refilledAt), maxTokens);
  bucket.refilledAt = now;
  return bucket.tokens >= 1;
}

void SlowStart::onAttempt(Endpoint &endpoint) const {
  endpoint.slowStart.tokens = std::max(endpoint.slowStart.tokens - 1, 0.0);
}

void SlowStart::onSuccess(const Endpoint &endpoint, Nanoseconds now) {
  warmCompletions_ += warmupFraction(endpoint, now) >= 1;
}

void SlowStart::onEndpointReplaced(Endpoint &endpoint, Nanoseconds now, RandomEngine &random) {
  endpoint.slowStart.tokens = drawUniform(random);
  endpoint.slowStart.refilledAt = now;
}

// While the baseline keeps all its endpoints, only they are counted as warm endpoints, but completions at the
// candidate are included. The completion rate is then the rate of a baseline endpoint without a candidate.
bool SlowStart::countsAsWarm(const Endpoint &endpoint, Nanoseconds now) const {
  if (warmupFraction(endpoint, now) < 1) return false;
  return !(deployment_.rollout.keepsBaselineUntilRelease && rollout_.isCandidate(endpoint.info.build));
}

// Counts completions and not attempts, because retries raise the number of attempts in an overload. The sums
// of completions and of time decay equally, so the rate is unbiased from the first second on, even for an
// instance with little traffic.
void SlowStart::updateCompletionRate(Nanoseconds now) {
  const Nanoseconds span = now - rateUpdatedAt_;
  if (span < kRateUpdateInterval) return;
  const auto &ready = endpoints_.ready();
  const auto warm = std::ranges::count_if(
      ready, [&](const Endpoint *endpoint) { return countsAsWarm(*endpoint, now); });
  if (warm > 0) {
    completionsPerEndpoint_ += warmCompletions_ / static_cast<double>(warm) -
                               kRateDecay * completionsPerEndpoint_;
    completionSeconds_ += inSeconds(span) - kRateDecay * completionSeconds_;
    completionRate_ = completionsPerEndpoint_ / completionSeconds_;
  }
  // A new incarnation may find only cold endpoints. Until a warm endpoint has completed a request, it assumes
  // that half of its received requests are completed, evenly spread over all endpoints.
  if (completionsPerEndpoint_ <= 0 && !ready.empty())
    completionRate_ = kInitialCompletionShare * requestsReceived_ * 1e9 / static_cast<double>(span) /
                      static_cast<double>(ready.size());
  warmCompletions_ = 0;
  requestsReceived_ = 0;
  rateUpdatedAt_ = now;
}

} // namespace myrtlehead
