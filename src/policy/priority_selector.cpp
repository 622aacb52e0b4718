#include "policy/priority_selector.h"

#include <algorithm>

namespace myrtlehead::priority_selector {

namespace {
constexpr double kSpare = 1.4; // a group whose standing part times this is 1 carries all
constexpr double kLate = 0.4,
                 kInTime = 0.3; // of the objectives; before requests are shed, which begins at a half
constexpr double kUp = 0.05, kDown = 0.02; // of the share, a period
constexpr double kLearn = 0.05;            // an attempt
} // namespace

void PrioritySelector::finished(int group, double part) {
  if (group < 0 || static_cast<std::size_t>(group) >= state_.size()) return;
  auto &s = state_[static_cast<std::size_t>(group)];
  s.lateness += kLearn * (part - s.lateness);
  ++s.seen;
}

void PrioritySelector::observe(const std::vector<Group> &groups, Nanoseconds now) {
  if (now - observedAt_ < kPeriod && groups.size() == state_.size()) return;
  observedAt_ = now;
  state_.resize(groups.size());
  shares_.assign(groups.size(), 0);
  double left = 1;
  std::size_t best = 0;
  double bestCarries = -1;
  for (std::size_t i = 0; i < groups.size(); ++i) {
    auto &s = state_[i];
    if (s.lateness > kLate && s.seen > 0) s.turnedOn += kUp;
    if (s.lateness < kInTime || s.seen == 0) s.turnedOn -= kDown;
    s.turnedOn = std::clamp(s.turnedOn, 0.0, 1.0);
    s.seen = 0;
    const auto &g = groups[i];
    const double stands = g.servers > 0 ? static_cast<double>(g.servers - std::min(g.resting, g.servers)) /
                                              static_cast<double>(g.servers)
                                        : 0;
    const double carries = std::min(kSpare * stands, 1.0) * (1 - s.turnedOn);
    if (carries > bestCarries) bestCarries = carries, best = i;
    shares_[i] = left * carries;
    left -= shares_[i];
  }
  // What nobody can carry goes to whoever carries most: there it is shed, if it must be.
  if (!groups.empty()) shares_[best] += left;
}

int PrioritySelector::pick(double draw) const {
  for (std::size_t i = 0; i < shares_.size(); ++i) {
    if (draw < shares_[i]) return static_cast<int>(i);
    draw -= shares_[i];
  }
  return 0;
}

} // namespace myrtlehead::priority_selector
