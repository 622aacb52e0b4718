#include "policy/stall_detector.h"

#include "policy/log_text.h"

namespace myrtlehead {

void StallDetector::onActivity(EndpointSet &endpoints, Nanoseconds now, DueActions &due) {
  const Nanoseconds gap = now - lastActiveAt_;
  lastActiveAt_ = now;
  if (gap <= kStallThreshold) return;
  lastStallEnd_ = now;
  for (auto &endpoint : endpoints.all()) endpoint.lastOutcomeAt += gap;
  due.logLines.push_back(
      formatLine("this instance stalled for %lld ms", static_cast<long long>(gap / kMillisecond)));
}

} // namespace myrtlehead
