// Which question is asked when: lifetimes of good and of negative answers, refresh ahead of their end,
// back-off after failures, one flight a question, a bounded number of flights. No I/O, no clock of its own.
#pragma once

#include "policy/dns_lookup.h"

#include <map>
#include <set>

namespace myrtlehead::dns_resolution {

// What is known about a question at a moment.
enum class Age {
  never,   // no good answer yet
  fresh,   // within its lifetime
  stale,   // past it, and served on
  expired, // past what staleMost allows
};

class RefreshSchedule {
public:
  RefreshSchedule(const ResolutionSettings &terms, std::uint64_t seed, std::size_t mostOpen = 32)
      : terms_(terms), chance_(seed), mostOpen_(mostOpen) {}

  // To be asked from now on; the first time within `spread`, by chance. Nothing if it is known.
  void want(const dns::Question &question, Nanoseconds spread, Nanoseconds now);
  void forget(const dns::Question &question); // a flight that is out ends in nothing
  // Asked at once and not after its lifetime, but with jitter about `in`.
  void hasten(const dns::Question &question, Nanoseconds in, Nanoseconds now);

  // A question that is due, which is in flight from now on; nullopt: none, or too many are.
  std::optional<dns::Question> take(Nanoseconds now);
  Nanoseconds
  nextAt() const; // when take() should be asked again; kNeverDue where only an answer changes that
  // What a flight came to; false: nobody wants it any more.
  bool told(const dns::Question &question, const Answer &answer, Nanoseconds now);
  // A good answer that came along with another's: takes the place of a flight.
  void cameAlong(const dns::Question &question, Nanoseconds lifetime, Nanoseconds now);

  Age age(const dns::Question &question, Nanoseconds now) const;
  Nanoseconds goodUntil(const dns::Question &question) const; // the end of its lifetime; 0: none yet
  Nanoseconds goodAt(const dns::Question &question) const;    // when it was told; 0: never
  void restore(const dns::Question &question, Nanoseconds goodAt, Nanoseconds goodUntil); // from a snapshot
  std::size_t open() const { return open_; }
  std::size_t size() const { return items_.size(); }
  static constexpr Nanoseconds kNeverDue = INT64_MAX;

private:
  struct Item {
    Nanoseconds due = 0;
    bool inFlight = false;
    Nanoseconds goodAt = 0, goodUntil = 0;
    Nanoseconds backOff = 0; // the latest pause after a failure
  };
  using Items = std::map<dns::Question, Item>;
  double uniform(double from, double to) { return std::uniform_real_distribution<double>(from, to)(chance_); }
  void plan(Items::iterator item, Nanoseconds at);
  Nanoseconds bounded(Nanoseconds lifetime) const;
  const ResolutionSettings &terms_;
  std::knuth_b chance_;
  std::size_t mostOpen_, open_ = 0;
  Items items_;
  std::set<std::pair<Nanoseconds, dns::Question>> due_; // those not in flight
};

} // namespace myrtlehead::dns_resolution
