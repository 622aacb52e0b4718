#include "decide/subscription/subscription.h"

#include <algorithm>

namespace myrtlehead::subscription {

namespace {
// What discovery's protocol says: a line every so often; what a silent watch misses counts as told so long
// after the last line at the earliest; what counts after a move, likewise.
constexpr Ns kLine = 2 * kSec, kTold = 6 * kSec;
constexpr Ns kLate = 400 * kMs; // a line may be late by that, for the network's and a busy marshal's sake
// The fleet's calls after a silence: what is left of the told time but for discovery's own two seconds in
// which it answers or refuses; after a move, within its four seconds likewise.
constexpr Ns kSilenceSpread = 1400 * kMs, kMoveSpread = 1500 * kMs;
constexpr Ns kProof = 5500 * kMs; // the told time less a way there, a try's and the drain's own slack
// How long it counts that a node has served. A draining node may go on serving for a while (seen: 1.05 s), so
// two seconds of the told time are kept for that.
constexpr Ns kProofLife = 4 * kSec;
constexpr Ns kMovedProof = 3500 * kMs; // the same of the four seconds after a move
constexpr Ns kEarliest = 1;            // 0 says that the list is believed, and that a node was never proven
constexpr Ns kUnanswered = 3 * kSec;   // a call that discovery has neither answered nor refused is made again
// After a failure: a marshal alone, each further one of the fleet, and all of them once it goes on failing.
constexpr Ns kRetry = 400 * kMs, kEach = 20 * kMs, kMost = 6 * kSec;
constexpr Ns kAgent = 150 * kMs; // where lists are pushed an agent of this marshal's own is asked
} // namespace

Ns Subscription::turn(Ns window, double chance) const {
  return static_cast<Ns>(static_cast<double>(window) * (me_ + chance) / std::max(marshals_, 1));
}

bool Subscription::lively(Ns now) const { return lineAt_ > 0 && now - lineAt_ < kLine + kLate; }

// The list known at the start is believed until the first call has failed.
void Subscription::called(Ns now) {
  callAt_ = now + kUnanswered;
  if (!hasCalled()) currentAt_ = now;
}

void Subscription::answered() {
  callAt_ = kNoCall;
  failures_ = 0;
}

void Subscription::line(bool here, Ns now, double chance) {
  if (!here) return;
  answered();
  lineAt_ = currentAt_ = now, movedAt_ = 0;
  startFailed_ = false;
  callAt_ = now + kLine + kLate + turn(asked_ ? kSilenceSpread : 0, chance);
}

// Guards against a fleet whose own calls keep discovery from answering any: the longer it fails, the rarer
// they get, drawn apart. The first call after a watch was ended comes within the time that the settings give
// for asking.
void Subscription::ended(Ended how, Others others, Ns now, double chance) {
  if (others == Others::stands && lively(now)) return; // what is still open speaks for itself
  // A watch that tells up to its end has told all by then, and nobody is told anything while nobody listens.
  const bool whole = how == Ended::cut && lively(now);
  if (whole || how == Ended::down) currentAt_ = now;
  startFailed_ = startFailed_ || lineAt_ == 0;
  if (others == Others::asked) return; // so does a call that is out, by its end or once its time has passed
  Ns first = asked_ ? std::max(kRetry, kEach * marshals_) : kAgent;
  if (how == Ended::cut && askEvery_ > 0) first = std::min(first, std::max(kRetry, askEvery_ / 4));
  const Ns pause = asked_ ? std::min(first << std::min(failures_, 10), std::max(first, kMost)) : first;
  ++failures_;
  callAt_ = now + static_cast<Ns>((0.2 + 1.6 * chance) * static_cast<double>(pause));
}

void Subscription::moved(Ns now, double chance) {
  failures_ = 0;
  movedAt_ = now;
  callAt_ = now + turn(asked_ ? kMoveSpread : 0, chance);
}

Ns Subscription::provenSince(Ns now, bool namesFollowed) const {
  if (namesFollowed && lineAt_ == 0) return 0;
  if (movedAt_ != 0 && now >= movedAt_ + kMovedProof) return std::max(now - kMovedProof, kEarliest);
  // Nobody knows how old a list is that was known at the start: a node of it may have left and come back, and
  // serve, while its leaving counts as told and its return does not.
  if (startFailed_) return kNothingProven;
  if (!hasCalled() || now < currentAt_ + kProof) return 0;
  return std::max(now - kProofLife, kEarliest);
}

} // namespace myrtlehead::subscription
