// Schedules DNS look-ups: each answer is refreshed before its TTL ends, and failed look-ups are repeated with
// backoff. Each question has at most one look-up in flight, and the total number in flight is bounded. The
// schedule does no I/O and reads no clock: the caller passes the current time, in nanoseconds.
#pragma once

#include "policy/dns_lookup.h"

#include <map>
#include <set>

namespace myrtlehead::dns_resolution {

// Age of the latest answer to a question.
enum class Freshness {
  never,   // there is no answer yet
  fresh,   // the TTL has not ended
  stale,   // the TTL has ended, and the answer is still used
  expired, // the TTL ended more than staleTime ago
};

class RefreshSchedule {
public:
  static constexpr std::size_t kMaxInFlight = 32;     // look-ups in flight
  static constexpr Nanoseconds kNeverDue = INT64_MAX; // value of nextDueAt() if no look-up can be started

  // `settings` must outlive the schedule.
  RefreshSchedule(const ResolutionSettings &settings, std::uint64_t seed,
                  std::size_t maxInFlight = kMaxInFlight)
      : settings_(settings), random_(seed), maxInFlight_(maxInFlight) {}

  // Adds a question, first due at a random time within `spread` of `now`. No effect if it is already
  // scheduled.
  void add(const dns::Question &question, Nanoseconds spread, Nanoseconds now);
  // Removes a question. The outcome of its look-up in flight, if any, is then ignored.
  void remove(const dns::Question &question);
  // Makes a question due after `delay` with jitter, unless it is due earlier.
  void refreshSoon(const dns::Question &question, Nanoseconds delay, Nanoseconds now);

  // Marks the question that has been due the longest as in flight and returns it. Returns nullopt if none is
  // due or the maximum number of look-ups is in flight.
  std::optional<dns::Question> startDue(Nanoseconds now);
  // When startDue() is to be called next; kNeverDue: not before a look-up has finished or a question is
  // added.
  Nanoseconds nextDueAt() const;
  // Reports the outcome of a look-up in flight. Returns false if the question has been removed meanwhile; the
  // caller then discards the outcome.
  bool onOutcome(const dns::Question &question, const LookupOutcome &outcome, Nanoseconds now);
  // Reports that the answer to another question contained the records of `question`, so that no look-up is
  // needed.
  void onAdditionalRecords(const dns::Question &question, Nanoseconds ttl, Nanoseconds now);

  Freshness freshness(const dns::Question &question, Nanoseconds now) const;
  Nanoseconds validUntil(const dns::Question &question) const; // end of the answer's TTL; 0: no answer yet
  Nanoseconds answeredAt(const dns::Question &question) const; // time of the answer; 0: no answer yet
  // Sets the times of an answer restored from a snapshot. No effect if the question is not scheduled.
  void restore(const dns::Question &question, Nanoseconds answeredAt, Nanoseconds validUntil);
  std::size_t inFlight() const { return inFlight_; }
  std::size_t size() const { return items_.size(); }

private:
  struct Item {
    Nanoseconds dueAt = 0;
    bool isInFlight = false;
    Nanoseconds answeredAt = 0;
    Nanoseconds validUntil = 0;
    Nanoseconds backoff = 0; // backoff after the latest failure; 0: the latest look-up succeeded
  };
  using Items = std::map<dns::Question, Item>;

  double uniform(double from, double to) { return std::uniform_real_distribution<double>(from, to)(random_); }
  void schedule(Items::iterator item, Nanoseconds dueAt);
  Nanoseconds nextBackoff(Nanoseconds previous);
  Nanoseconds clampTtl(Nanoseconds ttl) const;

  const ResolutionSettings &settings_;
  std::knuth_b random_;
  std::size_t maxInFlight_;
  std::size_t inFlight_ = 0;
  Items items_;
  std::set<std::pair<Nanoseconds, dns::Question>> due_; // questions not in flight, ordered by due time
};

} // namespace myrtlehead::dns_resolution
