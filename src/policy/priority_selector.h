// Selects the priority group of endpoints for a request, if SRV records order endpoints by priority (RFC
// 2782). A less preferred group receives only the share of requests that the more preferred groups cannot
// carry, because their endpoints are ejected or slow. No I/O; random draws and times (nanoseconds) are
// arguments.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace myrtlehead::priority_selector {

using Nanoseconds = std::int64_t;

class PrioritySelector {
public:
  static constexpr Nanoseconds kUpdateInterval = 100'000'000; // time between updates of the shares

  struct Group {
    std::size_t endpoints = 0; // endpoints in service, including ejected ones
    std::size_t ejected = 0;
  };

  // Updates the shares. `groups`: ordered from most to least preferred. To be called about once per
  // kUpdateInterval; earlier calls have no effect unless the number of groups has changed.
  void updateShares(const std::vector<Group> &groups, Nanoseconds now);
  // Reports the latency of an attempt at an endpoint of the group, as a fraction of its route's latency
  // objective.
  void onAttemptFinished(int group, double fractionOfObjective);
  // Returns the index of the group for a request. `draw`: uniformly random in [0, 1).
  int select(double draw) const;
  double share(int group) const { return shares_.empty() ? 1 : shares_[static_cast<std::size_t>(group)]; }
  std::size_t groupCount() const { return states_.size(); }

private:
  struct State {
    double latencyRatio = 0;  // moving mean of latency / latency objective
    double attempts = 0;      // attempts since the latest update
    double divertedShare = 0; // share of the group's requests sent to other groups because this one is slow
  };
  std::vector<State> states_;
  std::vector<double> shares_; // share of all requests, by group
  Nanoseconds updatedAt_ = 0;
};

} // namespace myrtlehead::priority_selector
