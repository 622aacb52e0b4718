// The targets of one SRV name: which are present, which an answer left out and are retained, which have gone.
#pragma once

#include "policy/flap_damping.h"
#include "policy/loss_retention.h"

#include <map>
#include <string>
#include <vector>

namespace myrtlehead::endpoint_merge {

// A target that the record set has, or lately had.
struct TargetState {
  int priority = 0;
  int weight = 0;
  bool isPresent = false;    // in the record set, a retained target included
  bool isMissing = false;    // present, but the latest answer leaves it out
  bool wasInitial = false;   // in the first answer: its endpoint started before this instance looked
  Nanoseconds removedAt = 0; // 0: present, or never seen
  FlapHistory flaps;
};

// Times are the instance's, in nanoseconds.
class SrvRecordSet {
public:
  // `release`, `zone`: of endpoints that have none of their own; -1: unknown.
  SrvRecordSet(std::string name, int release, int zone)
      : name_(std::move(name)), release_(release), zone_(zone) {}

  // The result of a look-up other than `failed`, valid until `validUntil`. `staleTime`: for how long the
  // targets serve as a last resort after the set is confirmed empty.
  NextLookup onAnswer(DnsRecordsResult result, const std::vector<Target> &targets, Nanoseconds validUntil,
                      Nanoseconds now, const LossRetentionSettings &retention,
                      const FlapDampingSettings &damping, Nanoseconds staleTime);
  // Removes retained targets whose time is up. True: some were.
  bool expireRetention(Nanoseconds now, const LossRetentionSettings &retention, Nanoseconds staleTime);
  // Forgets targets that have been gone for longer than `memoryTime`, unless they may serve as a last resort.
  void forgetRemoved(Nanoseconds now, Nanoseconds memoryTime);
  // A target and the age of the set, from a snapshot.
  void restoreTarget(const Target &target, Nanoseconds removedAt);
  void restoreAge(Nanoseconds answeredAt, Nanoseconds validUntil);

  const std::string &name() const { return name_; }
  int release() const { return release_; }
  int zone() const { return zone_; }
  Nanoseconds answeredAt() const { return answeredAt_; } // of the latest answer; 0: none yet
  Nanoseconds validUntil() const { return validUntil_; } // end of its TTL; 0: none yet
  bool isStale(Nanoseconds now) const { return validUntil_ != 0 && now > validUntil_; }
  bool isExpired(Nanoseconds now, Nanoseconds staleTime) const {
    return validUntil_ != 0 && now - validUntil_ > staleTime;
  }
  bool isConfirmedEmpty() const { return isConfirmedEmpty_; }
  // Confirmed empty, and its former targets may serve where nothing else does.
  bool mayServeRemoved(Nanoseconds now) const { return isConfirmedEmpty_ && now < lastResortUntil_; }
  const std::map<TargetKey, TargetState> &targets() const { return targets_; }
  std::map<TargetKey, TargetState> &targets() { return targets_; }
  // Adds the times at which the set changes by itself.
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
  Nanoseconds lastResortUntil_ = 0; // where it is confirmed empty
};

} // namespace myrtlehead::endpoint_merge
