// Which group of servers a request goes to, where name records put them in an order (RFC 2782, priority). A
// group that is less preferred is used only in proportion as the better ones can't carry their requests. No
// I/O; chance and time are arguments.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace myrtlehead::priority_selector {

using Nanoseconds = std::int64_t;

class PrioritySelector {
public:
  struct Group {
    std::size_t servers = 0, resting = 0; // in service, and of them out of use for now
  };

  // The groups as they stand, best first. To be called every kPeriod, about.
  void observe(const std::vector<Group> &groups, Nanoseconds now);
  // an attempt at a server of the group took this part of its route's latency objective.
  void finished(int group, double partOfObjective);
  // The group for a request, by a draw from [0, 1).
  int pick(double draw) const;
  double share(int group) const { return shares_.empty() ? 1 : shares_[static_cast<std::size_t>(group)]; }
  std::size_t groups() const { return state_.size(); }

  static constexpr Nanoseconds kPeriod = 100'000'000;

private:
  struct State {
    double lateness = 0; // of late: mean part of the objective that attempts take
    double seen = 0;     // attempts since the last observation
    double turnedOn = 0; // share that it can't carry for being late
  };
  std::vector<State> state_;
  std::vector<double> shares_;
  Nanoseconds observedAt_ = 0;
};

} // namespace myrtlehead::priority_selector
