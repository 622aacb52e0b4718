#include "policy/loss_retention.h"

namespace myrtlehead::endpoint_merge {

namespace {

// An ordinary change may remove more than half of the targets of a record set with fewer targets than this.
constexpr std::size_t kMinTargetsForSuddenLoss = 4;

// A zone reports "not available" (target ".") on purpose, so fewer answers are needed to confirm it.
constexpr int kNotAvailableConfirmations = 2;

} // namespace

bool LossRetention::isSudden(DnsRecordsResult result, std::size_t previous, std::size_t missing) {
  if (result != DnsRecordsResult::records) return true;
  return previous >= kMinTargetsForSuddenLoss && 2 * missing > previous;
}

bool LossRetention::confirm(const LossRetentionSettings &settings, DnsRecordsResult result, Nanoseconds now) {
  if (since_ == 0) since_ = now;
  ++answers_;
  const int needed = result == DnsRecordsResult::notAvailable ? kNotAvailableConfirmations
                                                              : settings.confirmations;
  return answers_ >= needed || isExpired(settings, now);
}

bool LossRetention::isExpired(const LossRetentionSettings &settings, Nanoseconds now) const {
  return since_ != 0 && now - since_ >= settings.retentionTime;
}

void LossRetention::reset() {
  since_ = 0;
  answers_ = 0;
}

void LossRetention::addNextChange(const LossRetentionSettings &settings, EarliestAfter &next) const {
  if (since_ != 0) next.add(since_ + settings.retentionTime);
}

} // namespace myrtlehead::endpoint_merge
