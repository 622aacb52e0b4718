#include "policy/priority_selector.h"

#include <algorithm>

namespace myrtlehead::priority_selector {

namespace {

// A group carries all requests if its healthy fraction times this is at least 1.
constexpr double kOverprovisioning = 1.4;

// Latency ratios above which requests are diverted, and below which they come back. Both lie under the ratio
// at which requests are shed, a half.
constexpr double kDivertAbove = 0.4;
constexpr double kReturnBelow = 0.3;

// Change of the diverted share in one period.
constexpr double kDivertStep = 0.05;
constexpr double kReturnStep = 0.02;

constexpr double kLatencyWeight = 0.05; // of one attempt in the moving mean

double healthyFraction(const PrioritySelector::Group &group) {
  if (group.endpoints == 0) return 0;
  const auto healthy = group.endpoints - std::min(group.ejected, group.endpoints);
  return static_cast<double>(healthy) / static_cast<double>(group.endpoints);
}

} // namespace

void PrioritySelector::onAttemptFinished(int group, double fractionOfObjective) {
  if (group < 0 || static_cast<std::size_t>(group) >= states_.size()) return;
  auto &state = states_[static_cast<std::size_t>(group)];
  state.latencyRatio += kLatencyWeight * (fractionOfObjective - state.latencyRatio);
  ++state.attempts;
}

void PrioritySelector::updateShares(const std::vector<Group> &groups, Nanoseconds now) {
  if (now - observedAt_ < kUpdateInterval && groups.size() == states_.size()) return;
  observedAt_ = now;
  states_.resize(groups.size());
  shares_.assign(groups.size(), 0);
  double unassigned = 1;
  std::size_t best = 0;
  double bestCapacity = -1;
  for (std::size_t i = 0; i < groups.size(); ++i) {
    auto &state = states_[i];
    if (state.latencyRatio > kDivertAbove && state.attempts > 0) state.divertedShare += kDivertStep;
    if (state.latencyRatio < kReturnBelow || state.attempts == 0) state.divertedShare -= kReturnStep;
    state.divertedShare = std::clamp(state.divertedShare, 0.0, 1.0);
    state.attempts = 0;
    const double capacity = std::min(kOverprovisioning * healthyFraction(groups[i]), 1.0) *
                            (1 - state.divertedShare);
    if (capacity > bestCapacity) {
      bestCapacity = capacity;
      best = i;
    }
    shares_[i] = unassigned * capacity;
    unassigned -= shares_[i];
  }
  // What no group can carry goes to the one that carries most: there it is shed, if it must be.
  if (!groups.empty()) shares_[best] += unassigned;
}

int PrioritySelector::select(double draw) const {
  for (std::size_t i = 0; i < shares_.size(); ++i) {
    if (draw < shares_[i]) return static_cast<int>(i);
    draw -= shares_[i];
  }
  return 0;
}

} // namespace myrtlehead::priority_selector
