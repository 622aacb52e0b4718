#include "policy/flap_damping.h"

#include <cmath>

namespace myrtlehead::endpoint_merge {

double FlapHistory::penaltyAt(const FlapDampingSettings &settings, Nanoseconds now) const {
  return penalty_ *
         std::exp2(-static_cast<double>(now - updatedAt_) / static_cast<double>(settings.halfLife));
}

void FlapHistory::onReturn(const FlapDampingSettings &settings, Nanoseconds now) {
  penalty_ = penaltyAt(settings, now) + 1;
  updatedAt_ = now;
  if (penalty_ > settings.suppressAbove && suppressedSince_ == 0) suppressedSince_ = now;
}

bool FlapHistory::updateSuppression(const FlapDampingSettings &settings, Nanoseconds now) {
  if (suppressedSince_ == 0) return false;
  if (penaltyAt(settings, now) < settings.reuseBelow || now - suppressedSince_ >= settings.maxSuppressTime) {
    suppressedSince_ = 0;
    penalty_ = 0;
  }
  return suppressedSince_ != 0;
}

void FlapHistory::addNextChange(const FlapDampingSettings &settings, Nanoseconds now,
                                EarliestAfter &next) const {
  if (suppressedSince_ == 0) return;
  const double halfLivesLeft = std::log2(std::max(penaltyAt(settings, now) / settings.reuseBelow, 1.0));
  // One millisecond is added so that the penalty is below the threshold at that time despite rounding.
  next.add(now + kMillisecond +
           static_cast<Nanoseconds>(halfLivesLeft * static_cast<double>(settings.halfLife)));
  next.add(suppressedSince_ + settings.maxSuppressTime);
}

} // namespace myrtlehead::endpoint_merge
