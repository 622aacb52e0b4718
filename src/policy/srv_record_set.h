// The targets of one SRV name: targets that are present, targets that are retained although the latest answer
// omits them, and targets that have been removed.
#pragma once

#include "policy/flap_damping.h"
#include "policy/loss_retention.h"

#include <map>
#include <string>
#include <vector>

namespace myrtlehead::endpoint_merge {

// A target that the record set contains, or contained recently.
struct TargetState {
  int priority = 0;
  int weight = 0;
  bool isPresent = false;        // in the record set; also true for a retained target
  bool isMissing = false;        // present, but omitted by the latest answer
  bool wasInFirstAnswer = false; // its endpoint started before the first answer
  Nanoseconds removedAt = 0;     // 0: the target is present
  FlapHistory flaps;
};

// Times are those of the instance's clock, in nanoseconds.
class SrvRecordSet {
public:
  // `release`, `zone`: defaults for endpoints without a release or zone of their own; -1: unknown.
  SrvRecordSet(std::string name, int release, int zone)
      : name_(std::move(name)), release_(release), zone_(zone) {}

  // Applies the result of a look-up, which must not be `failed`. `validUntil`: the end of the answer's TTL.
  // `staleTime`: how long removed targets may be used as a last resort after the set is confirmed empty.
  NextLookup onAnswer(DnsRecordsResult result, const std::vector<Target> &targets, Nanoseconds validUntil,
                      Nanoseconds now, const LossRetentionSettings &retention,
                      const FlapDampingSettings &damping, Nanoseconds staleTime);
  // Removes the retained targets if the retention time has ended. Returns whether the time has ended.
  bool expireRetention(Nanoseconds now, const LossRetentionSettings &retention, Nanoseconds staleTime);
  // Forgets targets that were removed more than `memoryTime` ago, unless they may be used as a last resort.
  void forgetRemoved(Nanoseconds now, Nanoseconds memoryTime);
  // Restores one target from a snapshot. `removedAt`: 0 if the target is present.
  void restoreTarget(const Target &target, Nanoseconds removedAt);
  // Restores the times of the latest answer from a snapshot.
  void restoreAnswerTimes(Nanoseconds answeredAt, Nanoseconds validUntil);

  const std::string &name() const { return name_; }
  int release() const { return release_; }
  int zone() const { return zone_; }
  Nanoseconds answeredAt() const { return answeredAt_; } // time of the latest answer; 0: none yet
  Nanoseconds validUntil() const { return validUntil_; } // end of the latest answer's TTL; 0: none yet
  bool isStale(Nanoseconds now) const { return validUntil_ != 0 && now > validUntil_; }
  bool isExpired(Nanoseconds now, Nanoseconds staleTime) const {
    return validUntil_ != 0 && now - validUntil_ > staleTime;
  }
  bool isConfirmedEmpty() const { return isConfirmedEmpty_; }
  // Whether the set is confirmed empty and its removed targets may be used as a last resort.
  bool mayServeRemoved(Nanoseconds now) const { return isConfirmedEmpty_ && now < lastResortUntil_; }
  const std::map<TargetKey, TargetState> &targets() const { return targets_; }
  std::map<TargetKey, TargetState> &targets() { return targets_; }
  // Adds the times at which the set changes without a new answer to `next`.
  void addNextChange(Nanoseconds now, const LossRetentionSettings &retention,
                     const FlapDampingSettings &damping, Nanoseconds staleTime, EarliestAfter &next) const;

private:
  std::size_t markPresentAsMissing();
  void add(const Target &target, bool isFirstAnswer, Nanoseconds now, const FlapDampingSettings &damping);
  void removeMissing(Nanoseconds now);
  void acceptLoss(DnsRecordsResult result, Nanoseconds now, Nanoseconds staleTime);

  std::string name_;
  int release_;
  int zone_;
  std::map<TargetKey, TargetState> targets_;
  Nanoseconds answeredAt_ = 0;
  Nanoseconds validUntil_ = 0;
  LossRetention retention_;
  bool isConfirmedEmpty_ = false;
  Nanoseconds lastResortUntil_ = 0; // 0: removed targets may not be used
};

} // namespace myrtlehead::endpoint_merge
