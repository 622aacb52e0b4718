#include "policy/sequential_test.h"

#include "policy/retry_policy.h"
#include "policy/rollout_roles.h"

#include <algorithm>
#include <cmath>

namespace myrtlehead {

namespace {

constexpr double kReportedStep = 1.5; // change of a log-likelihood ratio that is reported at once
constexpr Nanoseconds kRemainderReportInterval = kSecond;
constexpr double kLateWeight = 0.6; // weight of a late answer or a time-out; an error has weight 1

// Bounds of p0, the failure rate that is expected of a good build and estimated from the baseline.
constexpr double kInitialFailureRate = 0.02; // before kMinBaselineOutcomes outcomes
constexpr double kMinFailureRate = 0.01;
constexpr double kMaxFailureRate = 0.45;
// p0 is at most kMaxRiseFactor times the baseline's rate when the rollout began, plus kMaxRiseMargin.
constexpr double kMaxRiseFactor = 1.5;
constexpr double kMaxRiseMargin = 0.03;
constexpr double kMinBaselineOutcomes = 20; // fewer outcomes give no estimate of the baseline's rate
constexpr double kBaselineMemory = 300;     // averaging length of the baseline's rate, in outcomes
constexpr double kRecentOutcomes = 20;      // minimum averaging length of the recent rates, in outcomes
// Decay time constant of the outcome counts whose ratio scales the control variate.
constexpr Nanoseconds kCandidateRatioDecayTime = 2 * kSecond;

// Rates of reported wrong answers, per answer.
constexpr double kInitialReportRate = 0.002;
constexpr double kReportRatePrior = 500; // weight of the initial rate in the estimate, in answers
constexpr double kMinReportRate = 0.0005;
constexpr double kMaxReportRate = 0.05;
constexpr double kReportRateMemory = 5000;   // averaging length of the rate, in answers
constexpr double kBadBuildWrongShare = 0.05; // share of wrong answers of a bad build, beyond the baseline's

constexpr std::uint32_t kMaxIncarnation = 0xffff; // an encoded report has 2 bytes for the incarnation

// p1, the failure rate that the test assumes of a bad build, for a baseline of the given rate.
double badFailureRate(double failureRate) { return 2 * failureRate + 0.02; }

} // namespace

SequentialTest::SequentialTest(const Deployment &deployment, const RolloutTracker &rollout,
                               const LatencyTracker &latency, const OutlierDetector &outliers,
                               FusionCenter &fusion, RandomEngine &random)
    : deployment_(deployment), rollout_(rollout), latency_(latency), outliers_(outliers), fusion_(fusion),
      incarnation_(static_cast<std::uint32_t>(1 + random() % kMaxIncarnation)),
      channels_(channelCount(deployment)) {}

void SequentialTest::onNewBuild() {
  for (auto &channel : channels_) {
    channel.logLikelihoodRatio = 0;
    channel.unreportedOutcomes = 0;
    channel.reportedLogLikelihoodRatio = 0;
    channel.reportedOutcomes = 0;
    channel.lastFailedFingerprint = 0;
    const bool isKnown = channel.baselineOutcomes >= kMinBaselineOutcomes;
    channel.failureRateAtRolloutStart = isKnown ? channel.baselineFailures / channel.baselineOutcomes : 1;
  }
  candidateOutcomes_ = 0;
}

// A build that was released before this incarnation started has no baseline to be compared with: it is the
// baseline itself.
bool SequentialTest::isBaseline(int build) const {
  return build < rollout_.state().build || !rollout_.isEvaluated();
}

void SequentialTest::onOutcome(const Request &request, const Attempt &attempt, Outcome outcome,
                               Nanoseconds duration, Nanoseconds now, DueActions &due) {
  if (!rollout_.isKnown() || attempt.build > rollout_.state().build) return;
  if (outcome == Outcome::succeeded) countAnswers(attempt.build, 1, 0, due);
  const auto &route = deployment_.routes[static_cast<std::size_t>(request.route)];
  const auto objective = route.latencyObjective;
  const bool isTimeout = outcome == Outcome::timedOut;
  if (isTimeout && !RetryPolicy::ranLongEnoughForEvidence(duration, objective)) return;
  const bool isFailure = isHardFailure(outcome) && outcome != Outcome::unreachable;
  if (outcome != Outcome::succeeded && !isFailure) return;
  const bool isUnanswered = isTimeout || outcome == Outcome::reset;
  if (isUnanswered && OutlierDetector::failsPersistently(*attempt.endpoint)) return;
  const bool isLatenessCounted = countsLateness(attempt, now);
  if (!isLatenessCounted && isUnanswered) return;
  const bool isLate = isTimeout || (outcome == Outcome::succeeded && duration > objective);
  const bool isError = outcome == Outcome::failed || outcome == Outcome::reset;
  Sample sample{.build = attempt.build, .route = request.route, .countsLateness = isLatenessCounted};
  sample.errors = isError ? 1 : 0;
  sample.late = isLate && isLatenessCounted ? 1 : 0;
  sample.fingerprint = attempt.endpoint->fingerprint;
  countSample(sample, now, due);
}

// Lateness is no evidence, and only errors are counted,
// - at an endpoint that is loaded above the mean: its errors may show a fault that needs load, but its
//   lateness is caused by the proxy's own routing;
// - at a cold endpoint, which is slow but not faulty;
// - across zones, if the links between zones are slow;
// - while capacity is being lost, as the load of the lost endpoints falls on all others.
bool SequentialTest::countsLateness(const Attempt &attempt, Nanoseconds now) const {
  const Nanoseconds startedAt = attempt.endpoint->info.startedAt;
  const bool isCold = startedAt != 0 && now - startedAt < std::min(kMaxColdPeriod, deployment_.warmupTime);
  const bool isAcrossSlowLinks = attempt.zone != deployment_.zone && latency_.areOtherZonesSlow();
  return !attempt.sentAboveMeanLoad && !isCold && !outliers_.isCapacityBeingLost(now) && !isAcrossSlowLinks;
}

void SequentialTest::countSample(const Sample &sample, Nanoseconds now, DueActions &due) {
  const auto &route = deployment_.routes[static_cast<std::size_t>(sample.route)];
  const bool mayUseCandidate = rollout_.state().stage >= deployment_.rollout.idempotentOnlyStages ||
                               route.idempotency == Idempotency::idempotent;
  if (isBaseline(sample.build) && !sample.countsLateness) return;
  const double candidateRatio = updateCandidateRatio(sample, mayUseCandidate, now);
  addToChannel(0, sample, candidateRatio, due);
  addToChannel(static_cast<std::size_t>(sample.route) + 1, sample, candidateRatio, due);
}

// Adds the sample to the decaying outcome counts. Returns the number of candidate outcomes for each baseline
// outcome, kMaxCandidateRatio at most; 0 if the candidate may not serve the route.
double SequentialTest::updateCandidateRatio(const Sample &sample, bool mayUseCandidate, Nanoseconds now) {
  const bool baseline = isBaseline(sample.build);
  const double kept = std::exp(-static_cast<double>(now - countedAt_) /
                               static_cast<double>(kCandidateRatioDecayTime));
  countedAt_ = now;
  candidateOutcomes_ = candidateOutcomes_ * kept + (baseline || !sample.countsLateness ? 0 : sample.total);
  baselineOutcomes_ = baselineOutcomes_ * kept + (baseline && mayUseCandidate ? sample.total : 0);
  if (!mayUseCandidate) return 0;
  return std::min(candidateOutcomes_ / std::max(baselineOutcomes_, 1.0), kMaxCandidateRatio);
}

// p0, the failure rate that is expected of a good build: the baseline's rate, within bounds. It stays close
// to the rate when the rollout began, since a bad build may slow down both builds, but is at least the
// baseline's recent error rate.
double SequentialTest::expectedFailureRate(const Channel &channel) {
  if (channel.baselineOutcomes < kMinBaselineOutcomes) return kInitialFailureRate;
  const double maxRate = std::min(kMaxFailureRate,
                                  kMaxRiseFactor * channel.failureRateAtRolloutStart + kMaxRiseMargin);
  const double rate = std::min(channel.baselineFailures / std::max(channel.baselineOutcomes, 1.0), maxRate);
  return std::clamp(std::max(rate, channel.recentErrorRate), kMinFailureRate, kMaxFailureRate);
}

void SequentialTest::updateBaselineRates(Channel &channel, const Sample &sample) const {
  const double kept = std::max(1 - sample.total / kBaselineMemory, 0.0);
  channel.baselineOutcomes = channel.baselineOutcomes * kept + sample.total;
  channel.baselineFailures = channel.baselineFailures * kept + sample.errors + sample.late;
  const double recent = std::min(channel.baselineOutcomes, std::max(kRecentOutcomes, baselineOutcomes_));
  const double weight = std::min(1.0, sample.total / recent);
  channel.recentErrorRate += weight * (sample.errors / sample.total - channel.recentErrorRate);
  channel.recentLateRate += weight * (sample.late / sample.total - channel.recentLateRate);
}

void SequentialTest::addToChannel(std::size_t index, const Sample &sample, double candidateRatio,
                                  DueActions &due) {
  auto &channel = channels_[index];
  const bool baseline = isBaseline(sample.build);
  if (!baseline && sample.errors + sample.late > 0) channel.lastFailedFingerprint = sample.fingerprint;
  const double p0 = expectedFailureRate(channel);
  const double p1 = badFailureRate(p0);
  const double failureTerm = std::log(p1 / p0);
  const double successTerm = std::log((1 - p1) / (1 - p0));
  if (baseline) updateBaselineRates(channel, sample);
  if (!sample.countsLateness) { // only the errors beyond the baseline's recent error rate are evidence
    accumulate(index, (sample.errors - channel.recentErrorRate) * (failureTerm - successTerm), sample.total,
               due);
    return;
  }
  // The baseline's late answers offset those of the build only up to the rate p0, since a bad build may slow
  // down both builds.
  const bool isExcessLate = baseline && channel.recentLateRate > p0;
  const double late = isExcessLate ? sample.late * p0 / channel.recentLateRate : sample.late;
  const double ratio = (sample.errors + kLateWeight * late) * failureTerm +
                       (sample.total - sample.errors - late) * successTerm;
  if (!baseline) {
    accumulate(index, ratio, sample.total, due);
    return;
  }
  // Per outcome, if the baseline fails at the rate p0 and all its failures are late answers.
  const double expectedRatio = kLateWeight * p0 * failureTerm + (1 - p0) * successTerm;
  accumulate(index, candidateRatio * (sample.total * expectedRatio - ratio), 0, due);
}

void SequentialTest::onFailureCounts(int build, int route, std::uint32_t failures, std::uint32_t total,
                                     Nanoseconds now, DueActions &due) {
  const bool isKnown = rollout_.isKnown() && build <= rollout_.state().build &&
                       route < static_cast<int>(deployment_.routes.size());
  if (deployment_.hasPeers || !isKnown || failures > total || total == 0) return;
  Sample sample{.build = build, .route = route};
  sample.errors = failures;
  sample.total = total;
  countSample(sample, now, due);
}

void SequentialTest::onWrongAnswer(int build, DueActions &due) { countAnswers(build, 0, 1, due); }

// Wrong answers are known only from the reports of clients, which are late and rare. The log-likelihood ratio
// is therefore that of a Poisson count of reports per answer: the baseline's rate against a higher rate.
void SequentialTest::countAnswers(int build, double answers, double wrong, DueActions &due) {
  const double reportedShare = deployment_.rollout.wrongAnswerReportShare;
  if (reportedShare <= 0 || !rollout_.isKnown() || build > rollout_.state().build) return;
  auto &channel = channels_.back();
  if (isBaseline(build)) {
    const double kept = 1 - answers / kReportRateMemory;
    channel.baselineOutcomes = channel.baselineOutcomes * kept + answers;
    channel.baselineFailures = channel.baselineFailures * kept + wrong;
    return;
  }
  const double goodRate = std::clamp((channel.baselineFailures + kReportRatePrior * kInitialReportRate) /
                                         (channel.baselineOutcomes + kReportRatePrior),
                                     kMinReportRate, kMaxReportRate);
  const double badRate = goodRate + kBadBuildWrongShare * reportedShare;
  const double ratio = wrong * std::log(badRate / goodRate) - answers * (badRate - goodRate);
  accumulate(channels_.size() - 1, ratio, answers + wrong, due);
}

void SequentialTest::accumulate(std::size_t index, double logLikelihoodRatio, double outcomes,
                                DueActions &due) {
  if (!rollout_.isEvaluated() || rollout_.isRollingBackOrWithdrawn()) return;
  auto &channel = channels_[index];
  channel.logLikelihoodRatio += logLikelihoodRatio;
  channel.unreportedOutcomes += outcomes;
  if (std::abs(channel.logLikelihoodRatio) >= kReportedStep) report(index, due);
}

// A report states the totals of this incarnation, so that lost, repeated and late reports and restarted
// fusion centers do no harm.
void SequentialTest::report(std::size_t index, DueActions &due) {
  auto &channel = channels_[index];
  channel.reportedLogLikelihoodRatio += channel.logLikelihoodRatio;
  channel.reportedOutcomes += channel.unreportedOutcomes;
  const auto bytes = encodeReport(
      {static_cast<std::uint32_t>(index), static_cast<std::uint32_t>(rollout_.state().build), incarnation_,
       channel.lastFailedFingerprint, channel.reportedLogLikelihoodRatio, channel.reportedOutcomes});
  const int centers = fusionCenterCount(deployment_);
  for (int to = 0; deployment_.hasPeers && to < centers; ++to)
    if (to != deployment_.ownIndex) due.messages.push_back({to, bytes});
  if (isFusionCenter(deployment_))
    fusion_.onEvidence(index, channel.logLikelihoodRatio, channel.unreportedOutcomes,
                       channel.lastFailedFingerprint, due);
  channel.logLikelihoodRatio = 0;
  channel.unreportedOutcomes = 0;
  channel.lastFailedFingerprint = 0;
}

// Ratios below kReportedStep are reported once a second, so that they do not remain unreported at many
// instances. With many fusion centers, a ratio below minReportedChange() is rounded to that size or to 0 at
// random, without bias.
void SequentialTest::reportRemainders(Nanoseconds now, RandomEngine &random, DueActions &due) {
  if (now < nextRemainderReportAt_) return;
  nextRemainderReportAt_ = now + kRemainderReportInterval;
  const double minChange = minReportedChange(deployment_);
  for (std::size_t index = 0; index < channels_.size(); ++index) {
    auto &ratio = channels_[index].logLikelihoodRatio;
    if (std::abs(ratio) < minChange)
      ratio = drawUniform(random) * minChange < std::abs(ratio) ? std::copysign(minChange, ratio) : 0;
    if (ratio != 0) report(index, due);
  }
}

} // namespace myrtlehead
