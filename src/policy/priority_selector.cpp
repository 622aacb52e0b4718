#include "policy/priority_selector.h"

#include <algorithm>

namespace myrtlehead::priority_selector {

namespace {

// A group can carry all requests if the healthy fraction of its endpoints times this factor is at least 1.
constexpr double kOverprovisioning = 1.4;

// Latency ratio above which requests are diverted to other groups, and the ratio below which they return.
// Both are below 0.5, the ratio at which requests are shed.
constexpr double kDivertAbove = 0.4;
constexpr double kReturnBelow = 0.3;

// Change of the diverted share per update.
constexpr double kDivertStep = 0.05;
constexpr double kReturnStep = 0.02;

constexpr double kLatencyWeight = 0.05; // weight of one attempt in the moving mean

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
  if (now - updatedAt_ < kUpdateInterval && groups.size() == states_.size()) return;
  updatedAt_ = now;
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
  // Requests beyond the capacity of all groups go to the group with the largest capacity, which sheds them if
  // it is overloaded.
  if (!groups.empty()) shares_[best] += unassigned;
}

int PrioritySelector::select(double draw) const {
  for (std::size_t i = 0; i < shares_.size(); ++i) {
    if (draw < shares_[i]) return static_cast<int>(i);
    draw -= shares_[i];
  }
  return 0; // there are no groups, or the sum of the shares was rounded down
}

} // namespace myrtlehead::priority_selector
