// Flap damping (after RFC 2439): each return of a target to a record set that it had left adds 1 to the
// target's penalty. The penalty decays exponentially. A target whose penalty exceeds `suppressAbove` is
// suppressed until the penalty falls below `reuseBelow`.
#pragma once

#include "policy/earliest_after.h"

namespace myrtlehead::endpoint_merge {

struct FlapDampingSettings {
  Nanoseconds halfLife = 60 * kSecond;         // half-life of the penalty
  double suppressAbove = 3;                    // penalty above which a target is suppressed
  double reuseBelow = 1;                       // penalty below which a suppressed target is used again
  Nanoseconds maxSuppressTime = 300 * kSecond; // longest suppression, whatever the penalty
  bool operator==(const FlapDampingSettings &) const = default;
};

// The penalty and suppression of one target. Times are those of the instance's clock, in nanoseconds.
class FlapHistory {
public:
  // Adds the penalty for a target that left the record set and has returned.
  void onReturn(const FlapDampingSettings &settings, Nanoseconds now);
  // Returns whether the target is suppressed. Ends a suppression that is over, and then clears the penalty.
  bool updateSuppression(const FlapDampingSettings &settings, Nanoseconds now);
  // Adds the times at which the suppression may end to `next`.
  void addNextChange(const FlapDampingSettings &settings, Nanoseconds now, EarliestAfter &next) const;

private:
  double penaltyAt(const FlapDampingSettings &settings, Nanoseconds now) const;

  double penalty_ = 0; // value at updatedAt_
  Nanoseconds updatedAt_ = 0;
  Nanoseconds suppressedSince_ = 0; // 0: not suppressed
};

} // namespace myrtlehead::endpoint_merge
