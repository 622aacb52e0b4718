#include "policy/fusion_center.h"

#include "policy/log_text.h"
#include "policy/rollout_roles.h"
#include "policy/sequential_test.h"

#include <algorithm>
#include <cmath>

namespace myrtlehead {

namespace {

constexpr double kThresholdBase = 8; // the log of the stage's outcomes is added
constexpr double kRoundingDeviations =
    1.5; // standard deviations of the total rounding error that the threshold allows for
constexpr double kOutlierShare = 0.25; // of a build's endpoints, one at least, that count as the others do
constexpr double kMinEndpointsForOutliers = 3;
constexpr std::size_t kMaxContributors = 256; // endpoints whose contributions are kept apart

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
  if (report.outcomes < last.outcomes) return; // overtaken by a later one; a repeat adds nothing
  onMove(report.channel, report.logLikelihoodRatio - last.logLikelihoodRatio, report.outcomes - last.outcomes,
         report.lastFailedFingerprint, due);
  last = report;
}

void FusionCenter::onMove(std::size_t index, double moved, double outcomes,
                          std::uint16_t lastFailedFingerprint, DueActions &due) {
  auto &channel = channels_[index];
  const double before = std::max(channel.cusum, 0.0);
  channel.cusum = before + moved;
  const double kept = before > 0 ? std::clamp(channel.cusum / before, 0.0, 1.0) : 0;
  for (auto &[_, contribution] : channel.contributions) contribution *= kept;
  const bool hasPlace = channel.contributions.size() < kMaxContributors ||
                        channel.contributions.contains(lastFailedFingerprint);
  if (moved > 0 && lastFailedFingerprint != 0 && hasPlace)
    channel.contributions[lastFailedFingerprint] += moved;
  if (index == 0) stageOutcomes_ += outcomes;
  if (isJudgedBad_ || levelOf(channel) < threshold()) return;
  isJudgedBad_ = true;
  due.logLines.push_back(formatLine(
      "build %d is judged bad by channel %d: CUSUM %.1f of %.1f, %.0f outcomes this stage",
      rollout_.state().build, static_cast<int>(index), channel.cusum, threshold(), stageOutcomes_));
}

double FusionCenter::threshold() const {
  const double rounding = kRoundingDeviations * minReportedChange(deployment_) *
                          std::sqrt(deployment_.instanceCount);
  return kThresholdBase + rounding + std::log(std::max(stageOutcomes_, 1.0));
}

double FusionCenter::highestCusum() const {
  double highest = levelOf(channels_[0]);
  for (const auto &channel : channels_) highest = std::max(highest, levelOf(channel));
  return highest;
}

FusionCenter::OwnEndpoints FusionCenter::endpointsOfBuild() const {
  OwnEndpoints count;
  for (const auto *endpoint : endpoints_.ready()) {
    if (endpoint->info.build != rollout_.state().build) continue;
    ++count.all;
    const Nanoseconds age = stalls_.lastActiveAt() - endpoint->info.startedAt;
    count.grown += age >= SequentialTest::kMaxColdPeriod;
  }
  return count;
}

// Replaces the contributions of the worst quarter of the build's endpoints by the average of the rest. Guards
// a good build against a few faulty machines. Could harm where a build hurts few machines alone: those are
// ejected one by one.
double FusionCenter::levelOf(const Channel &channel) const {
  const auto count = endpointsOfBuild();
  if (count.all < kMinEndpointsForOutliers) return channel.cusum;
  // Those that come with a stage are counted once they can have shown something.
  const double endpoints = count.grown < kMinEndpointsForOutliers ? count.all : count.grown;
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
