#include "policy/fusion_center.h"

#include "policy/log_text.h"
#include "policy/rollout_roles.h"
#include "policy/sequential_test.h"

#include <algorithm>
#include <cmath>

namespace myrtlehead {

namespace {

constexpr double kThresholdBase = 8; // the logarithm of the number of the stage's outcomes is added to it
// The threshold allows for this many standard deviations of the total rounding error of the reports, which
// SequentialTest::reportRemainders() rounds at random.
constexpr double kRoundingDeviations = 1.5;
// The contributions of this share of a build's endpoints, and of one endpoint at least, are treated as
// outliers.
constexpr double kOutlierShare = 0.25;
constexpr double kMinEndpointsForOutliers = 3;
constexpr std::size_t kMaxContributors = 256; // endpoints with a contribution of their own; bounds memory

} // namespace

FusionCenter::FusionCenter(const Deployment &deployment, const EndpointSet &endpoints,
                           const RolloutTracker &rollout, const StallDetector &stalls)
    : deployment_(deployment), endpoints_(endpoints), rollout_(rollout), stalls_(stalls),
      channels_(SequentialTest::channelCount(deployment)) {
  for (auto &channel : channels_) channel.reports.resize(static_cast<std::size_t>(deployment.instanceCount));
}

void FusionCenter::onNewBuild() {
  for (auto &channel : channels_) {
    channel.cusum = 0;
    channel.reports.assign(static_cast<std::size_t>(deployment_.instanceCount), {});
    channel.contributions.clear();
  }
  stageOutcomes_ = 0;
  isJudgedBad_ = false;
}

void FusionCenter::onReport(int from, const EvidenceReport &report, DueActions &due) {
  if (report.channel >= channels_.size()) return;
  if (report.build != static_cast<std::uint32_t>(rollout_.state().build)) return;
  auto &last = channels_[report.channel].reports[static_cast<std::size_t>(from)];
  if (report.incarnation != last.incarnation)
    last = {report.channel, report.build, report.incarnation, 0, 0, 0};
  if (report.outcomes < last.outcomes) return; // a later report has overtaken it; a repeated report adds 0
  onEvidence(report.channel, report.logLikelihoodRatio - last.logLikelihoodRatio,
             report.outcomes - last.outcomes, report.lastFailedFingerprint, due);
  last = report;
}

void FusionCenter::onEvidence(std::size_t index, double ratioChange, double outcomes,
                              std::uint16_t lastFailedFingerprint, DueActions &due) {
  auto &channel = channels_[index];
  const double before = std::max(channel.cusum, 0.0);
  channel.cusum = before + ratioChange;
  // If the CUSUM falls, the contributions shrink in proportion; if it restarts from 0, so do they.
  const double kept = before > 0 ? std::clamp(channel.cusum / before, 0.0, 1.0) : 0;
  for (auto &[_, contribution] : channel.contributions) contribution *= kept;
  const bool isTracked = channel.contributions.size() < kMaxContributors ||
                         channel.contributions.contains(lastFailedFingerprint);
  if (ratioChange > 0 && lastFailedFingerprint != 0 && isTracked)
    channel.contributions[lastFailedFingerprint] += ratioChange;
  if (index == 0) stageOutcomes_ += outcomes;
  if (isJudgedBad_ || cusumWithoutOutliers(channel) < threshold()) return;
  isJudgedBad_ = true;
  due.logLines.push_back(formatLine(
      "build %d is judged bad: CUSUM %.1f of channel %d, threshold %.1f, %.0f outcomes in this stage",
      rollout_.state().build, channel.cusum, static_cast<int>(index), threshold(), stageOutcomes_));
}

double FusionCenter::threshold() const {
  const double roundingAllowance = kRoundingDeviations * minReportedChange(deployment_) *
                                   std::sqrt(deployment_.instanceCount);
  return kThresholdBase + roundingAllowance + std::log(std::max(stageOutcomes_, 1.0));
}

double FusionCenter::highestCusum() const {
  double highest = cusumWithoutOutliers(channels_[0]);
  for (const auto &channel : channels_) highest = std::max(highest, cusumWithoutOutliers(channel));
  return highest;
}

FusionCenter::EndpointCounts FusionCenter::countEndpointsOfBuild() const {
  EndpointCounts count;
  for (const auto *endpoint : endpoints_.ready()) {
    if (endpoint->info.build != rollout_.state().build) continue;
    ++count.all;
    const Nanoseconds age = stalls_.lastActiveAt() - endpoint->info.startedAt;
    count.pastColdPeriod += age >= SequentialTest::kMaxColdPeriod;
  }
  return count;
}

// The CUSUM with the contributions of the worst quarter of the build's endpoints replaced by the average of
// the rest. This prevents a good build from being judged bad because of a few faulty machines. Limitation: a
// build that fails on few machines only is not judged bad; the outlier detector ejects those machines one by
// one.
double FusionCenter::cusumWithoutOutliers(const Channel &channel) const {
  const auto count = countEndpointsOfBuild();
  if (count.all < kMinEndpointsForOutliers) return channel.cusum;
  // Endpoints that have just started cannot have failed often yet, so they are left out if enough are older.
  const double endpoints = count.pastColdPeriod < kMinEndpointsForOutliers ? count.all : count.pastColdPeriod;
  const double outliers = std::max(std::floor(kOutlierShare * endpoints), 1.0);
  std::vector<double> contributions;
  for (const auto &[_, contribution] : channel.contributions) contributions.push_back(contribution);
  std::ranges::sort(contributions);
  double rest = channel.cusum;
  for (double removed = 0; removed < outliers && !contributions.empty(); ++removed) {
    rest -= contributions.back();
    contributions.pop_back();
  }
  return std::min(channel.cusum, rest <= 0 ? rest : rest / (1 - outliers / endpoints));
}

} // namespace myrtlehead
