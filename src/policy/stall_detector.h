// Guards against spells in which this instance itself stood still: no endpoint was unresponsive then, and
// outcomes of attempts sent before say nothing of anybody else.
#pragma once

#include "policy/due_actions.h"
#include "policy/endpoint_set.h"

namespace myrtlehead {

class StallDetector {
public:
  explicit StallDetector(Nanoseconds now) : lastActiveAt_(now) {}

  // To be called whenever the instance decides anything, and every kCheckInterval at least.
  void onActivity(EndpointSet &endpoints, Nanoseconds now, DueActions &due);
  // Whether an attempt sent at that time may have been hit by a stall of this instance.
  bool stalledSince(Nanoseconds sentAt) const { return sentAt < lastStallEnd_; }
  Nanoseconds lastActiveAt() const { return lastActiveAt_; }

  static constexpr Nanoseconds kCheckInterval = 50 * kMillisecond;

private:
  friend struct PolicyTestPeer;
  static constexpr Nanoseconds kStallThreshold = 3 * kCheckInterval;

  Nanoseconds lastActiveAt_;
  Nanoseconds lastStallEnd_ = 0;
};

} // namespace myrtlehead
