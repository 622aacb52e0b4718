#include "policy/discovery_subscription.h"

#include <algorithm>

namespace myrtlehead::discovery_subscription {

namespace {
// What discovery's protocol says: a line every so often; what a silent watch misses counts as told so long
// after the last line at the earliest; what counts after a move, likewise.
constexpr Nanoseconds kLine = 2 * kSecond, kTold = 6 * kSecond;
constexpr Nanoseconds kLate =
    400 * kMillisecond; // a line may be late by that, for the network's and a busy instance's sake
// The fleet's calls after a silence: what is left of the told time but for discovery's own two seconds in
// which it answers or refuses; after a move, within its four seconds likewise.
constexpr Nanoseconds kSilenceSpread = 1400 * kMillisecond, kMoveSpread = 1500 * kMillisecond;
constexpr Nanoseconds kProof =
    5500 * kMillisecond; // the told time less a way there, an attempt's and the drain's own slack
// How long it counts that an endpoint has served. A draining endpoint may go on serving for a while
// (seen: 1.05 s), so two seconds of the told time are kept for that.
constexpr Nanoseconds kProofLife = 4 * kSecond;
constexpr Nanoseconds kMovedProof = 3500 * kMillisecond; // the same of the four seconds after a move
constexpr Nanoseconds kEarliest =
    1; // 0 says that the list is believed, and that an endpoint was never proven
constexpr Nanoseconds kUnanswered =
    3 * kSecond; // a call that discovery has neither answered nor refused is made again
// After a failure: an instance alone, each further one of the fleet, and all of them once it goes on failing.
constexpr Nanoseconds kRetry = 400 * kMillisecond, kEach = 20 * kMillisecond, kMost = 6 * kSecond;
constexpr Nanoseconds kAgent =
    150 * kMillisecond; // where lists are pushed an agent of this instance's own is asked
} // namespace

Nanoseconds DiscoverySubscription::turn(Nanoseconds window, double chance) const {
  return static_cast<Nanoseconds>(static_cast<double>(window) * (ownIndex_ + chance) /
                                  std::max(instanceCount_, 1));
}

bool DiscoverySubscription::lively(Nanoseconds now) const {
  return lineAt_ > 0 && now - lineAt_ < kLine + kLate;
}

// The list known at the start is believed until the first call has failed.
void DiscoverySubscription::called(Nanoseconds now) {
  callAt_ = now + kUnanswered;
  if (!hasCalled()) currentAt_ = now;
}

void DiscoverySubscription::answered() {
  callAt_ = kNoCall;
  failures_ = 0;
}

void DiscoverySubscription::line(bool here, Nanoseconds now, double chance) {
  if (!here) return;
  answered();
  lineAt_ = currentAt_ = now, movedAt_ = 0;
  startFailed_ = false;
  callAt_ = now + kLine + kLate + turn(asked_ ? kSilenceSpread : 0, chance);
}

// Guards against a fleet whose own calls keep discovery from answering any: the longer it fails, the rarer
// they get, drawn apart. The first call after a watch was ended comes within the time that the settings give
// for asking.
void DiscoverySubscription::ended(Ended how, Others others, Nanoseconds now, double chance) {
  if (others == Others::stands && lively(now)) return; // what is still open speaks for itself
  // A watch that tells up to its end has told all by then, and nobody is told anything while nobody listens.
  const bool whole = how == Ended::cut && lively(now);
  if (whole || how == Ended::down) currentAt_ = now;
  startFailed_ = startFailed_ || lineAt_ == 0;
  if (others == Others::asked) return; // so does a call that is out, by its end or once its time has passed
  Nanoseconds first = asked_ ? std::max(kRetry, kEach * instanceCount_) : kAgent;
  if (how == Ended::cut && askEvery_ > 0) first = std::min(first, std::max(kRetry, askEvery_ / 4));
  const Nanoseconds pause = asked_ ? std::min(first << std::min(failures_, 10), std::max(first, kMost))
                                   : first;
  ++failures_;
  callAt_ = now + static_cast<Nanoseconds>((0.2 + 1.6 * chance) * static_cast<double>(pause));
}

void DiscoverySubscription::moved(Nanoseconds now, double chance) {
  failures_ = 0;
  movedAt_ = now;
  callAt_ = now + turn(asked_ ? kMoveSpread : 0, chance);
}

Nanoseconds DiscoverySubscription::provenSince(Nanoseconds now, bool namesFollowed) const {
  if (namesFollowed && lineAt_ == 0) return 0;
  if (movedAt_ != 0 && now >= movedAt_ + kMovedProof) return std::max(now - kMovedProof, kEarliest);
  // Nobody knows how old a list is that was known at the start: an endpoint of it may have left and come
  // back, and serve, while its leaving counts as told and its return does not.
  if (startFailed_) return kNothingProven;
  if (!hasCalled() || now < currentAt_ + kProof) return 0;
  return std::max(now - kProofLife, kEarliest);
}

} // namespace myrtlehead::discovery_subscription
