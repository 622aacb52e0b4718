// Flap damping (after RFC 2439): a target that leaves a record set and returns collects a penalty, which
// decays exponentially. Above one threshold the target is suppressed, below another it is used again.
#pragma once

#include "policy/earliest_after.h"

namespace myrtlehead::endpoint_merge {

struct FlapDampingSettings {
  Nanoseconds halfLife = 60 * kSecond;         // of the penalty
  double suppressAbove = 3;                    // penalty; each return adds 1
  double reuseBelow = 1;                       // penalty
  Nanoseconds maxSuppressTime = 300 * kSecond; // a suppression ends after this in any case
  bool operator==(const FlapDampingSettings &) const = default;
};

// The penalty of one target. Times are the instance's, in nanoseconds.
class FlapHistory {
public:
  // The target left the record set earlier and is back.
  void onReturn(const FlapDampingSettings &settings, Nanoseconds now);
  // Whether the target is suppressed. Ends a suppression that is due to end, and clears its penalty then.
  bool updateSuppression(const FlapDampingSettings &settings, Nanoseconds now);
  // Adds the times at which a suppression may end.
  void addNextChange(const FlapDampingSettings &settings, Nanoseconds now, EarliestAfter &next) const;

private:
  double penaltyAt(const FlapDampingSettings &settings, Nanoseconds now) const;

  double penalty_ = 0; // as of updatedAt_
  Nanoseconds updatedAt_ = 0;
  Nanoseconds suppressedSince_ = 0; // 0: not suppressed
};

} // namespace myrtlehead::endpoint_merge
