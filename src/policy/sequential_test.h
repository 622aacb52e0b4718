// Sequential probability ratio test of the newest build, run by each instance on the outcomes that it sees
// itself. The hypotheses are that the build is bad, and that it fails as often as the baseline. The instance
// reports its log-likelihood ratios to the fusion centers.
//
// A ratio is kept for each channel: one channel for all outcomes, one for each route, so that a single
// failing route is not outweighed by the others, and one for answers that clients report to be wrong. A ratio
// that has changed by a fixed step since its last report is reported at once and restarts at 0. Smaller
// remainders are reported once a second.
//
// Control variate: the baseline's deviation from its expected log-likelihood over the last two seconds is
// subtracted, scaled by the ratio of candidate to baseline outcomes. This prevents the build from being
// judged by faults that both builds share, or by a baseline rate that is estimated from few outcomes only.
// The expected value of the test does not change (docs/design.md).
#pragma once

#include "policy/deployment.h"
#include "policy/due_actions.h"
#include "policy/fusion_center.h"
#include "policy/latency_tracker.h"
#include "policy/outlier_detector.h"
#include "policy/random.h"
#include "policy/request.h"
#include "policy/rollout_tracker.h"

#include <vector>

namespace myrtlehead {

class SequentialTest {
public:
  SequentialTest(const Deployment &deployment, const RolloutTracker &rollout, const LatencyTracker &latency,
                 const OutlierDetector &outliers, FusionCenter &fusion, RandomEngine &random);

  // Restarts the test for a new build and remembers the baseline's present failure rates.
  void onNewBuild();
  // An attempt has ended. Its outcome is counted as evidence if it depends on the software of the endpoint.
  void onOutcome(const Request &request, const Attempt &attempt, Outcome outcome, Nanoseconds duration,
                 Nanoseconds now, DueActions &due);
  // The platform has counted `failures` among `total` attempts at the build on the route. The counts replace
  // the reports of other instances in deployments without peer messages, and are ignored in all others.
  void onFailureCounts(int build, int route, std::uint32_t failures, std::uint32_t total, Nanoseconds now,
                       DueActions &due);
  // A client has reported an answer of the build to be wrong.
  void onWrongAnswer(int build, DueActions &due);
  // Reports the ratios that have not reached the reported step, once a second. Draws one random number for
  // each ratio below minReportedChange().
  void reportRemainders(Nanoseconds now, RandomEngine &random, DueActions &due);
  // Whether the newest build has so many more recent outcomes than the baseline that they can't be compared.
  bool lacksBaselineOutcomes() const { return candidateOutcomes_ > kMaxCandidateRatio * baselineOutcomes_; }

  // Channel 0 holds all outcomes, the next ones hold one route each, and the last one holds wrong answers.
  static std::size_t channelCount(const Deployment &deployment) { return deployment.routes.size() + 2; }
  // Only errors are evidence within the warm-up time after an endpoint's start, but for this time at most.
  static constexpr Nanoseconds kMaxColdPeriod = 5 * kSecond;

private:
  friend struct PolicyTestPeer;
  static constexpr double kMaxCandidateRatio = 4; // candidate outcomes for each baseline outcome

  struct Channel {
    double logLikelihoodRatio = 0; // since the last report
    double unreportedOutcomes = 0; // outcomes since the last report
    // Sums of all reports on the present build.
    double reportedLogLikelihoodRatio = 0;
    double reportedOutcomes = 0;
    // Fingerprint of the candidate's endpoint that failed last since the last report; 0: none.
    std::uint16_t lastFailedFingerprint = 0;
    // Exponentially decaying counts of the baseline's outcomes, and of the failures among them.
    double baselineFailures = 0;
    double baselineOutcomes = 0;
    double recentErrorRate = 0;           // share of errors among the baseline's latest outcomes
    double recentLateRate = 0;            // share of late answers among the baseline's latest outcomes
    double failureRateAtRolloutStart = 1; // the baseline's rate when the rollout began; 1: unknown
  };
  // Outcomes of one build on one route, counted together.
  struct Sample {
    int build = 0;
    int route = 0;
    double errors = 0;
    double late = 0;
    double total = 1;
    bool countsLateness = true;    // false: only errors are evidence
    std::uint16_t fingerprint = 0; // of the endpoint; 0: the outcomes come from several endpoints
  };
  bool isBaseline(int build) const;
  bool countsLateness(const Attempt &attempt, Nanoseconds now) const;
  void countSample(const Sample &sample, Nanoseconds now, DueActions &due);
  double updateCandidateRatio(const Sample &sample, bool mayUseCandidate, Nanoseconds now);
  void addToChannel(std::size_t index, const Sample &sample, double candidateRatio, DueActions &due);
  static double expectedFailureRate(const Channel &channel);
  void updateBaselineRates(Channel &channel, const Sample &sample) const;
  void countAnswers(int build, double answers, double wrong, DueActions &due);
  void accumulate(std::size_t index, double logLikelihoodRatio, double outcomes, DueActions &due);
  void report(std::size_t index, DueActions &due);

  const Deployment &deployment_;
  const RolloutTracker &rollout_;
  const LatencyTracker &latency_;
  const OutlierDetector &outliers_;
  FusionCenter &fusion_;
  // A random number that distinguishes the reports of this process from those of an earlier process.
  std::uint32_t incarnation_;
  std::vector<Channel> channels_;
  // Exponentially decaying counts of recent outcomes, last updated at countedAt_.
  double candidateOutcomes_ = 0;
  double baselineOutcomes_ = 0;
  Nanoseconds countedAt_ = 0;
  Nanoseconds nextRemainderReportAt_ = 0;
};

} // namespace myrtlehead
