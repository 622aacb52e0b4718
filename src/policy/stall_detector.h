// Detects stalls, which are periods in which this instance itself did not run. A stall does not count towards
// the time for which an endpoint has returned no outcome, and the outcomes of attempts that were sent before
// the end of a stall are no evidence about an endpoint or a build.
#pragma once

#include "policy/due_actions.h"
#include "policy/endpoint_set.h"

namespace myrtlehead {

class StallDetector {
public:
  explicit StallDetector(Nanoseconds now) : lastActiveAt_(now) {}

  // Must be called before each decision, and at least every kCheckInterval. After a stall, moves
  // Endpoint::lastOutcomeAt forward by its duration.
  void onActivity(EndpointSet &endpoints, Nanoseconds now, DueActions &due);
  // Whether a stall has ended after the time `sentAt`, so that it may have delayed an attempt sent then.
  bool stalledSince(Nanoseconds sentAt) const { return sentAt < lastStallEnd_; }
  Nanoseconds lastActiveAt() const { return lastActiveAt_; }

  static constexpr Nanoseconds kCheckInterval = 50 * kMillisecond;

private:
  friend struct PolicyTestPeer;
  // A gap between two calls of onActivity() that is longer than this is a stall.
  static constexpr Nanoseconds kStallThreshold = 3 * kCheckInterval;

  Nanoseconds lastActiveAt_;
  Nanoseconds lastStallEnd_ = 0;
};

} // namespace myrtlehead
