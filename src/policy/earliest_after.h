// Finds the earliest of several points in time that lie after a given time.
#pragma once

#include "policy/time.h"

#include <algorithm>
#include <limits>

namespace myrtlehead::endpoint_merge {

constexpr Nanoseconds kNever = std::numeric_limits<Nanoseconds>::max();

class EarliestAfter {
public:
  explicit EarliestAfter(Nanoseconds now) : now_(now) {}
  // Ignores points in time that are not after the time given to the constructor.
  void add(Nanoseconds time) {
    if (time > now_) earliest_ = std::min(earliest_, time);
  }
  // The earliest point in time added; kNever if there is none.
  Nanoseconds value() const { return earliest_; }

private:
  Nanoseconds now_;
  Nanoseconds earliest_ = kNever;
};

} // namespace myrtlehead::endpoint_merge
