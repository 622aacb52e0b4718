#include "policy/slow_start.h"

#include <algorithm>

namespace myrtlehead {

namespace {

constexpr double kColdBudgetShare = 0.6; // of the allowed load on a cold endpoint
constexpr double kMaxSavedWindow = 0.25; // of the budget's window, saved up as tokens
constexpr Nanoseconds kRateUpdateInterval = kSecond / 2;
constexpr double kRateDecay = 0.1;              // of the sums, at each update
constexpr double kInitialCompletionShare = 0.5; // of the own requests, until one is completed

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
  const double rate = multiple * warmup * completionRate_ / 1e9; // attempts a nanosecond
  const double maxTokens = std::max(
      rate * static_cast<double>(deployment_.coldBudgetWindow) * kMaxSavedWindow, 1.0);
  auto &bucket = endpoint.slowStart;
  bucket.tokens = std::min(bucket.tokens + rate * static_cast<double>(now - bucket.refilledAt), maxTokens);
  bucket.refilledAt = now;
  return bucket.tokens >= 1;
}

void SlowStart::onAttempt(Endpoint &endpoint) const {
  endpoint.slowStart.tokens = std::max(endpoint.slowStart.tokens - 1, 0.0);
}

void SlowStart::onSuccess(const Endpoint &endpoint, Nanoseconds now) {
  completedAtWarm_ += warmupFraction(endpoint, now) >= 1;
}

void SlowStart::onEndpointReplaced(Endpoint &endpoint, Nanoseconds now, RandomEngine &random) {
  endpoint.slowStart.tokens = drawUniform(random);
  endpoint.slowStart.refilledAt = now;
}

// While the baseline keeps all its endpoints, they alone are counted, but the candidate's completions are
// included: the rate is then what each of them would complete without the candidate.
bool SlowStart::countsAsWarm(const Endpoint &endpoint, Nanoseconds now) const {
  if (warmupFraction(endpoint, now) < 1) return false;
  return !(deployment_.rollout.keepsBaselineUntilRelease && rollout_.isCandidate(endpoint.info.build));
}

// Completions are counted, not attempts: attempts say nothing in a storm of retries. Sum and time decay
// alike, so the rate of an instance with little traffic is right on average from its first second on.
void SlowStart::updateCompletionRate(Nanoseconds now) {
  const Nanoseconds span = now - rateUpdatedAt_;
  if (span < kRateUpdateInterval) return;
  const auto &ready = endpoints_.ready();
  const auto warm = std::ranges::count_if(
      ready, [&](const Endpoint *endpoint) { return countsAsWarm(*endpoint, now); });
  if (warm > 0) {
    completedPerEndpoint_ += completedAtWarm_ / static_cast<double>(warm) -
                             kRateDecay * completedPerEndpoint_;
    completionSeconds_ += inSeconds(span) - kRateDecay * completionSeconds_;
    completionRate_ = completedPerEndpoint_ / completionSeconds_;
  }
  // Guards a new incarnation that meets cold endpoints alone: until a warm one has completed something for
  // it, it goes by half of what it receives itself, spread over all.
  if (completedPerEndpoint_ <= 0 && !ready.empty())
    completionRate_ = kInitialCompletionShare * requestsReceived_ * 1e9 / static_cast<double>(span) /
                      static_cast<double>(ready.size());
  completedAtWarm_ = 0;
  requestsReceived_ = 0;
  rateUpdatedAt_ = now;
}

} // namespace myrtlehead
