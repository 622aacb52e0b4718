// When each DNS question is looked up: TTLs of positive and negative answers, refresh ahead of their end,
// backoff after failures, one look-up at a time for each question, a bounded number of look-ups in flight. No
// I/O, no clock of its own; times are nanoseconds.
#pragma once

#include "policy/dns_lookup.h"

#include <map>
#include <set>

namespace myrtlehead::dns_resolution {

// Age of the latest answer to a question.
enum class Freshness {
  never,   // there is no answer yet
  fresh,   // within its TTL
  stale,   // past its TTL, still served
  expired, // past its TTL by more than staleTime
};

class RefreshSchedule {
public:
  static constexpr std::size_t kMaxInFlight = 32;     // look-ups
  static constexpr Nanoseconds kNeverDue = INT64_MAX; // for nextDueAt()

  // `settings` must outlive the schedule.
  RefreshSchedule(const ResolutionSettings &settings, std::uint64_t seed,
                  std::size_t maxInFlight = kMaxInFlight)
      : settings_(settings), random_(seed), maxInFlight_(maxInFlight) {}

  // Adds a question, first due at a random time within `spread`. No effect if it is scheduled already.
  void add(const dns::Question &question, Nanoseconds spread, Nanoseconds now);
  // Removes a question; the result of a look-up in flight is then ignored.
  void remove(const dns::Question &question);
  // Makes a question due after `delay` with jitter, if that is earlier than planned.
  void refreshSoon(const dns::Question &question, Nanoseconds delay, Nanoseconds now);

  // Starts a look-up that is due and returns its question; nullopt: none is due, or too many are in flight.
  std::optional<dns::Question> startDue(Nanoseconds now);
  // When startDue() is to be called again; kNeverDue: only after a look-up has finished.
  Nanoseconds nextDueAt() const;
  // The outcome of a look-up in flight. False: the question has been removed, the outcome is of no use.
  bool onOutcome(const dns::Question &question, const LookupOutcome &outcome, Nanoseconds now);
  // Records that came with the answer to another question, in place of a look-up.
  void onAdditionalRecords(const dns::Question &question, Nanoseconds ttl, Nanoseconds now);

  Freshness freshness(const dns::Question &question, Nanoseconds now) const;
  Nanoseconds validUntil(const dns::Question &question) const; // end of the answer's TTL; 0: no answer yet
  Nanoseconds answeredAt(const dns::Question &question) const; // time of the answer; 0: no answer yet
  // The times of an answer from a snapshot.
  void restore(const dns::Question &question, Nanoseconds answeredAt, Nanoseconds validUntil);
  std::size_t inFlight() const { return inFlight_; }
  std::size_t size() const { return items_.size(); }

private:
  struct Item {
    Nanoseconds dueAt = 0;
    bool isInFlight = false;
    Nanoseconds answeredAt = 0;
    Nanoseconds validUntil = 0;
    Nanoseconds backoff = 0; // the latest after a failure; 0: the latest look-up succeeded
  };
  using Items = std::map<dns::Question, Item>;

  double uniform(double from, double to) { return std::uniform_real_distribution<double>(from, to)(random_); }
  void schedule(Items::iterator item, Nanoseconds dueAt);
  Nanoseconds nextBackoff(Nanoseconds previous);
  Nanoseconds bounded(Nanoseconds ttl) const;

  const ResolutionSettings &settings_;
  std::knuth_b random_;
  std::size_t maxInFlight_;
  std::size_t inFlight_ = 0;
  Items items_;
  std::set<std::pair<Nanoseconds, dns::Question>> due_; // those not in flight, by time
};

} // namespace myrtlehead::dns_resolution
