#include "policy/discovery_subscription.h"

#include <algorithm>

namespace myrtlehead {

namespace {

// Discovery's protocol guarantees a watch event or a keep-alive at least this often.
constexpr Nanoseconds kKeepAliveInterval = 2 * kSecond;
// Tolerated delay of a keep-alive, caused by the network or a busy instance.
constexpr Nanoseconds kMaxKeepAliveDelay = 400 * kMillisecond;

// The operators' rules count an instance as notified of a change at the latest this long after the change,
// and this long after discovery's address has changed.
constexpr Nanoseconds kCountsAsNotifiedAfter = 6 * kSecond;
constexpr Nanoseconds kCountsAsNotifiedAfterMove = 4 * kSecond;

// Windows over which the fleet's polls are spread. They end early enough that discovery, which may take two
// seconds to answer, answers before the instance counts as notified.
constexpr Nanoseconds kPollWindowAfterSilence = 1400 * kMillisecond;
constexpr Nanoseconds kPollWindowAfterMove = 1500 * kMillisecond;

// How long a list without updates is relied on. The margin covers the time until a request reaches its
// endpoint.
constexpr Nanoseconds kNotificationMargin = 500 * kMillisecond;
constexpr Nanoseconds kListReliableFor = kCountsAsNotifiedAfter - kNotificationMargin;
constexpr Nanoseconds kListReliableAfterMove = kCountsAsNotifiedAfterMove - kNotificationMargin;
// A draining endpoint may go on serving requests for this long.
constexpr Nanoseconds kLongestServiceWhileDraining = 2 * kSecond;
// How long an answer from an endpoint proves that no drain of the endpoint counts as notified.
constexpr Nanoseconds kProofLifetime = kCountsAsNotifiedAfter - kLongestServiceWhileDraining;
// 0 is not used as a proof time, because it means that the list is up to date.
constexpr Nanoseconds kMinProofTime = 1;

constexpr Nanoseconds kUnansweredCallTimeout = 3 * kSecond;

// The first backoff grows with the size of the fleet, so that the fleet's polls do not overload
// discovery.
constexpr Nanoseconds kMinFirstBackoff = 400 * kMillisecond;
constexpr Nanoseconds kFirstBackoffPerInstance = 20 * kMillisecond;
constexpr Nanoseconds kMaxBackoff = 6 * kSecond;
constexpr int kMaxBackoffDoublings = 10; // avoids an undefined shift; kMaxBackoff is reached earlier
constexpr Nanoseconds kLocalAgentBackoff = 150 * kMillisecond;
// A backoff is multiplied by a random factor from kMinBackoffJitter to kMinBackoffJitter +
// kBackoffJitterRange.
constexpr double kMinBackoffJitter = 0.2;
constexpr double kBackoffJitterRange = 1.6;

} // namespace

// Returns this instance's offset within the window. The window is divided into one slot of equal length for
// each instance, and `jitter` places the offset within the slot of this instance.
Nanoseconds DiscoverySubscription::offsetInWindow(Nanoseconds window, double jitter) const {
  return static_cast<Nanoseconds>(static_cast<double>(window) * (ownIndex_ + jitter) /
                                  std::max(instanceCount_, 1));
}

bool DiscoverySubscription::hasRecentMessage(Nanoseconds now) const {
  return lastMessageAt_ > 0 && now - lastMessageAt_ < kKeepAliveInterval + kMaxKeepAliveDelay;
}

void DiscoverySubscription::onCallSent(Nanoseconds now) {
  nextCallAt_ = now + kUnansweredCallTimeout;
  if (!hasSentCall()) listUpToDateAt_ = now; // the initial list is relied on from this time
}

void DiscoverySubscription::onAnswered() {
  nextCallAt_ = kNoCallDue;
  consecutiveFailures_ = 0;
}

void DiscoverySubscription::onMessage(MessageSource source, Nanoseconds now, double jitter) {
  if (source == MessageSource::previousAddress) return;
  onAnswered();
  lastMessageAt_ = now;
  listUpToDateAt_ = now;
  addressChangedAt_ = 0;
  hasMissedChanges_ = false;
  downSince_ = 0;
  hasFailedSinceStart_ = false;
  const Nanoseconds window = isSharedByFleet_ ? kPollWindowAfterSilence : 0;
  nextCallAt_ = now + kKeepAliveInterval + kMaxKeepAliveDelay + offsetInWindow(window, jitter);
}

// The first call after a watch was closed is sent within the configured poll interval. A local agent serves
// only this instance, so its backoff does not grow.
Nanoseconds DiscoverySubscription::backoffAfter(CallEnd end) const {
  Nanoseconds first = isSharedByFleet_ ? std::max(kMinFirstBackoff, kFirstBackoffPerInstance * instanceCount_)
                                       : kLocalAgentBackoff;
  if (end == CallEnd::watchClosed && pollInterval_ > 0)
    first = std::min(first, std::max(kMinFirstBackoff, pollInterval_ / 4));
  if (!isSharedByFleet_) return first;
  const int doublings = std::min(consecutiveFailures_, kMaxBackoffDoublings);
  return std::min(first << doublings, std::max(first, kMaxBackoff));
}

// The backoff grows with each failure and is jittered. Otherwise the fleet's own polls could keep discovery
// too busy to answer any of them.
void DiscoverySubscription::onClosed(CallEnding ending, OtherCalls others, Nanoseconds now, double jitter) {
  const auto end = ending.end;
  const bool isWatchedElsewhere = others == OtherCalls::watching && hasRecentMessage(now);
  if (isWatchedElsewhere) return;
  if (end == CallEnd::watchSilent || ending.silence > kKeepAliveInterval) hasMissedChanges_ = true;
  if (end == CallEnd::connectionRefused) {
    if (downSince_ == 0) downSince_ = now;
    lastRefusedAt_ = now;
  } else {
    downSince_ = 0;
  }
  if (lastMessageAt_ == 0) hasFailedSinceStart_ = true;
  if (end == CallEnd::watchSilent) return; // the call after a silence has been scheduled by the last message
  // The unanswered call either ends, with a notification of its own, or is repeated after its timeout.
  if (others == OtherCalls::unanswered) return;
  const auto backoff = static_cast<double>(backoffAfter(end));
  ++consecutiveFailures_;
  nextCallAt_ = now + static_cast<Nanoseconds>((kMinBackoffJitter + kBackoffJitterRange * jitter) * backoff);
}

void DiscoverySubscription::onAddressChanged(Nanoseconds now, double jitter) {
  consecutiveFailures_ = 0;
  if (addressChangedAt_ == 0) addressChangedAt_ = now;
  nextCallAt_ = now + offsetInWindow(isSharedByFleet_ ? kPollWindowAfterMove : 0, jitter);
}

// While discovery is down it notifies no instance of changes, so only an endpoint that began to drain before
// it went down must be ruled out.
Nanoseconds DiscoverySubscription::oldestValidProof(Nanoseconds now) const {
  const bool isDown = downSince_ != 0 && now < lastRefusedAt_ + kListReliableFor;
  const Nanoseconds sliding = now - kProofLifetime;
  return isDown ? std::min(sliding, downSince_ + kLongestServiceWhileDraining) : sliding;
}

bool DiscoverySubscription::hasMoveExpired(Nanoseconds now) const {
  return addressChangedAt_ != 0 && now >= addressChangedAt_ + kListReliableAfterMove;
}

Nanoseconds DiscoverySubscription::proofRequiredSince(Nanoseconds now, EndpointSources sources) const {
  if (sources == EndpointSources::discoveryAndDns && lastMessageAt_ == 0) return 0;
  // All changes up to then count as notified at once, so an endpoint would have to prove that it was not
  // draining at that moment, with an attempt that must not be sent.
  if (hasMoveExpired(now)) return kNoProofAccepted;
  // The age of the initial list is unknown: one of its endpoints may have been removed and added again, and
  // answer requests, while this instance counts as notified of the removal but not of the addition.
  if (hasFailedSinceStart_) return kNoProofAccepted;
  if (!hasSentCall() || now < listUpToDateAt_ + kListReliableFor) return 0;
  // What a silent watch misses, until another one is open, counts as notified from now on.
  if (hasMissedChanges_) return kNoProofAccepted;
  return std::max(oldestValidProof(now), kMinProofTime);
}

} // namespace myrtlehead
