// Which priority group of endpoints a request goes to, where SRV records order them (RFC 2782, priority). A
// less preferred group is used only in proportion as the better ones can't carry their requests. No I/O;
// randomness and time are arguments. Times are nanoseconds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace myrtlehead::priority_selector {

using Nanoseconds = std::int64_t;

class PrioritySelector {
public:
  static constexpr Nanoseconds kUpdateInterval = 100'000'000; // between updates of the shares

  struct Group {
    std::size_t endpoints = 0; // in service
    std::size_t ejected = 0;   // of them
  };

  // Updates the shares. `groups`: the best first. To be called about once in kUpdateInterval; calls that come
  // earlier have no effect unless the number of groups has changed.
  void updateShares(const std::vector<Group> &groups, Nanoseconds now);
  // An attempt at an endpoint of the group took this fraction of its route's latency objective.
  void onAttemptFinished(int group, double fractionOfObjective);
  // The group for a request. `draw`: random, from [0, 1).
  int select(double draw) const;
  double share(int group) const { return shares_.empty() ? 1 : shares_[static_cast<std::size_t>(group)]; }
  std::size_t groupCount() const { return states_.size(); }

private:
  struct State {
    double latencyRatio = 0;  // moving mean: fraction of the objective that attempts take
    double attempts = 0;      // since the latest update
    double divertedShare = 0; // of the group's requests, that others take because it is slow
  };
  std::vector<State> states_;
  std::vector<double> shares_; // by group, of all requests
  Nanoseconds observedAt_ = 0;
};

} // namespace myrtlehead::priority_selector
