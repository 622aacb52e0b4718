// Who may start a job now: plain rules over the job's record, which a register of the members holds. Times
// are Unix time in nanoseconds, as different members read them; their clocks are apart by `drift` at most.
//
// A claim is taken before a job is started and says until when its holder may begin. What begins is written
// down first (`begun`), so that a claim that ran out unused costs nothing, and one that was used tells the
// taker that the job may have run. Where safety ends: endpoints know no claims, so a holder that is stopped
// between its last look at the clock and its first byte may begin late by as long as it stood; the taker
// waits `grace` for that.
#pragma once

#include "policy/deployment.h"

#include <cstdint>
#include <string>

namespace myrtlehead::custody {

// How members agree on time, and how often they try. From the installation's settings.
struct Terms {
  Nanoseconds claimFor = 5 * kSecond;     // a claim's length
  Nanoseconds drift = 500 * kMillisecond; // most that two members' clocks are apart
  Nanoseconds grace =
      kSecond;        // most that an attempt that its endpoint holds goes on after its instance is gone
  int mostStarts = 3; // of one job
  Nanoseconds keepFor = 3600 * kSecond; // a record stays so long after the job's due time
  Nanoseconds pauseFirst = 500 * kMillisecond,
              pauseMost = 30 * kSecond; // before a job is started again, doubling
  bool operator==(const Terms &) const = default;
};

enum class State { queued, claimed, begun, done, failed, givenUp };
inline bool over(State s) { return s >= State::done; }

struct Job {
  std::string id; // given by its mark, so that the same mark is the same job
  Idempotency kind = Idempotency::notIdempotent;
  int priorityWeight = 1;
  Nanoseconds submitted = 0, due = 0; // it is given up then; each has one, so that no record stands for ever
  Nanoseconds window = 0;             // deduped: from the first start on, for which endpoints know the mark
  State state = State::queued;
  std::uint32_t holder = 0; // of the claim, where there is one
  std::uint64_t life = 0;   // the holder's
  Nanoseconds until = 0;    // the claim's end
  Nanoseconds firstBegun = 0;
  Nanoseconds notBefore = 0; // queued again: the pause's end
  int starts = 0;
  std::string reason; // of its end
  bool operator==(const Job &) const = default;
};

// What a member may do with a job, and otherwise when to look again.
struct May {
  enum What { claim, giveUp, wait, nothing } what = nothing;
  Nanoseconds at = 0; // wait: no sooner
  std::string reason; // giveUp
};
May mayClaim(const Job &job, Nanoseconds now, const Terms &terms);
// Members come in an order of the job's own, so that not all ask for it in the same moment: 0 is first.
Nanoseconds turnOf(const std::string &id, std::uint32_t member, std::uint32_t members);
// Whether its record may be forgotten, in whatever state this member has it: nobody acts on it any more.
bool forgotten(const Job &job, Nanoseconds now, const Terms &terms);

// The record with the step made; the caller has asked whether it may be, and writes it by compare and set.
Job claimed(Job job, std::uint32_t member, std::uint64_t life, Nanoseconds now, const Terms &terms);
// The holder's last look before the first byte. false: its time is up, or the claim is another's by now.
bool mayBegin(const Job &job, std::uint32_t member, std::uint64_t life, Nanoseconds now, const Terms &terms);
Job begun(Job job, Nanoseconds now);
Job renewed(Job job, Nanoseconds now, const Terms &terms); // the holder goes on: its claim runs from now
// an attempt is over. neverRan: proved not to have run, so it may be queued again whatever its kind.
enum class How { done, failed, neverExecuted };
Job ended(Job job, How how, const std::string &reason, Nanoseconds now, double chance, const Terms &terms);
Job givenUp(Job job, const std::string &reason);

} // namespace myrtlehead::custody
