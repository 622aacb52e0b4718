// The earliest of several points in time that lie after a given one.
#pragma once

#include "policy/time.h"

#include <algorithm>
#include <limits>

namespace myrtlehead::endpoint_merge {

constexpr Nanoseconds kNever = std::numeric_limits<Nanoseconds>::max();

class EarliestAfter {
public:
  explicit EarliestAfter(Nanoseconds now) : now_(now) {}
  // Points in time that are not after `now` are ignored.
  void add(Nanoseconds time) {
    if (time > now_) earliest_ = std::min(earliest_, time);
  }
  Nanoseconds value() const { return earliest_; } // kNever: none was added

private:
  Nanoseconds now_;
  Nanoseconds earliest_ = kNever;
};

} // namespace myrtlehead::endpoint_merge
