#include "policy/srv_record_set.h"

#include <algorithm>

namespace myrtlehead::endpoint_merge {

// Marks every present target as missing until the answer that is being applied contains it. Returns the
// number of present targets.
std::size_t SrvRecordSet::markPresentAsMissing() {
  std::size_t present = 0;
  for (auto &[key, target] : targets_) {
    present += target.isPresent;
    target.isMissing = target.isPresent;
  }
  return present;
}

void SrvRecordSet::add(const Target &target, bool isFirstAnswer, Nanoseconds now,
                       const FlapDampingSettings &damping) {
  const auto [at, isNew] = targets_.try_emplace({target.host, target.port});
  auto &state = at->second;
  state.priority = target.priority;
  state.weight = target.weight;
  state.isMissing = false;
  if (state.isPresent) return;
  state.isPresent = true;
  state.wasInFirstAnswer = isFirstAnswer;
  state.removedAt = 0;
  if (!isNew) state.flaps.onReturn(damping, now);
}

void SrvRecordSet::removeMissing(Nanoseconds now) {
  for (auto &[key, target] : targets_) {
    if (!target.isMissing) continue;
    target.isMissing = false;
    target.isPresent = false;
    target.removedAt = now;
  }
  retention_.reset();
}

void SrvRecordSet::acceptLoss(DnsRecordsResult result, Nanoseconds now, Nanoseconds staleTime) {
  isConfirmedEmpty_ = std::all_of(targets_.begin(), targets_.end(), [](const auto &target) {
    return target.second.isMissing || !target.second.isPresent;
  });
  // If the zone states that the service is not available, its former targets must not be used.
  const bool mayServe = isConfirmedEmpty_ && result != DnsRecordsResult::notAvailable;
  lastResortUntil_ = mayServe ? now + staleTime : 0;
  removeMissing(now);
}

NextLookup SrvRecordSet::onAnswer(DnsRecordsResult result, const std::vector<Target> &targets,
                                  Nanoseconds validUntil, Nanoseconds now,
                                  const LossRetentionSettings &retention, const FlapDampingSettings &damping,
                                  Nanoseconds staleTime) {
  const bool isFirstAnswer = answeredAt_ == 0;
  answeredAt_ = now;
  validUntil_ = validUntil;
  const auto previous = markPresentAsMissing();
  if (result == DnsRecordsResult::records) {
    for (const auto &target : targets)
      if (targets_.size() < kMaxEndpoints || targets_.contains({target.host, target.port}))
        add(target, isFirstAnswer, now, damping);
    isConfirmedEmpty_ = false;
  }
  const auto missing = static_cast<std::size_t>(std::count_if(
      targets_.begin(), targets_.end(), [](const auto &target) { return target.second.isMissing; }));
  if (missing == 0) {
    retention_.reset();
    return NextLookup::onSchedule;
  }
  if (!LossRetention::isSudden(result, previous, missing)) {
    removeMissing(now);
    return NextLookup::onSchedule;
  }
  if (!retention_.confirm(retention, result, now)) return NextLookup::soon;
  acceptLoss(result, now, staleTime);
  return NextLookup::onSchedule;
}

bool SrvRecordSet::expireRetention(Nanoseconds now, const LossRetentionSettings &retention,
                                   Nanoseconds staleTime) {
  if (!retention_.isExpired(retention, now)) return false;
  acceptLoss(DnsRecordsResult::noData, now, staleTime);
  return true;
}

void SrvRecordSet::forgetRemoved(Nanoseconds now, Nanoseconds memoryTime) {
  if (mayServeRemoved(now)) return;
  std::erase_if(targets_, [&](const auto &target) {
    return !target.second.isPresent && now - target.second.removedAt > memoryTime;
  });
}

void SrvRecordSet::restoreTarget(const Target &target, Nanoseconds removedAt) {
  auto &state = targets_[{target.host, target.port}];
  state.priority = target.priority;
  state.weight = target.weight;
  state.isPresent = removedAt == 0;
  state.removedAt = removedAt;
  state.wasInFirstAnswer = true;
}

void SrvRecordSet::restoreAnswerTimes(Nanoseconds answeredAt, Nanoseconds validUntil) {
  answeredAt_ = answeredAt;
  validUntil_ = validUntil;
}

void SrvRecordSet::addNextChange(Nanoseconds now, const LossRetentionSettings &retention,
                                 const FlapDampingSettings &damping, Nanoseconds staleTime,
                                 EarliestAfter &next) const {
  retention_.addNextChange(retention, next);
  if (validUntil_ != 0) {
    next.add(validUntil_ + 1);
    next.add(validUntil_ + staleTime + 1);
  }
  if (isConfirmedEmpty_) next.add(lastResortUntil_);
  for (const auto &[key, target] : targets_) target.flaps.addNextChange(damping, now, next);
}

} // namespace myrtlehead::endpoint_merge
