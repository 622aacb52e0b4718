#include "policy/discovery_subscription.h"

#include <algorithm>

namespace myrtlehead {

namespace {

// By discovery's protocol a watch sends at least a keep-alive this often.
constexpr Nanoseconds kKeepAliveInterval = 2 * kSecond;
// Allows for delays of the network and of a busy instance.
constexpr Nanoseconds kMaxKeepAliveDelay = 400 * kMillisecond;

// By the operators' rules, an instance counts as notified of a change this long after it at the latest, and
// this long after a move of discovery.
constexpr Nanoseconds kCountsAsNotifiedAfter = 6 * kSecond;
constexpr Nanoseconds kCountsAsNotifiedAfterMove = 4 * kSecond;

// Windows over which the fleet's polls are spread. They end early enough for discovery to answer within the
// two seconds that it may take, before the instance counts as notified.
constexpr Nanoseconds kPollWindowAfterSilence = 1400 * kMillisecond;
constexpr Nanoseconds kPollWindowAfterMove = 1500 * kMillisecond;

// How long a list without updates is relied on. The margin covers the way to an endpoint.
constexpr Nanoseconds kNotificationMargin = 500 * kMillisecond;
constexpr Nanoseconds kListReliableFor = kCountsAsNotifiedAfter - kNotificationMargin;
constexpr Nanoseconds kListReliableAfterMove = kCountsAsNotifiedAfterMove - kNotificationMargin;
// For how long an answer proves that an endpoint was not departing. Shorter than kCountsAsNotifiedAfter by
// the two seconds for which a draining endpoint may go on serving.
constexpr Nanoseconds kProofLifetime = 4 * kSecond;
// Since 0 means that the list is up to date.
constexpr Nanoseconds kMinProofTime = 1;

constexpr Nanoseconds kUnansweredCallTimeout = 3 * kSecond;

// The first backoff grows with the fleet, so that all its polls together do not overload discovery.
constexpr Nanoseconds kMinFirstBackoff = 400 * kMillisecond;
constexpr Nanoseconds kFirstBackoffPerInstance = 20 * kMillisecond;
constexpr Nanoseconds kMaxBackoff = 6 * kSecond;
constexpr int kMaxBackoffDoublings = 10; // keeps the shift defined; kMaxBackoff is met before
constexpr Nanoseconds kLocalAgentBackoff = 150 * kMillisecond;
constexpr double kMinBackoffJitter = 0.2; // fraction of the backoff
constexpr double kBackoffJitterRange = 1.6;

} // namespace

// This instance's place within the window, the places of the fleet being evenly spaced.
Nanoseconds DiscoverySubscription::ownShareOf(Nanoseconds window, double jitter) const {
  return static_cast<Nanoseconds>(static_cast<double>(window) * (ownIndex_ + jitter) /
                                  std::max(instanceCount_, 1));
}

bool DiscoverySubscription::isReceiving(Nanoseconds now) const {
  return lastMessageAt_ > 0 && now - lastMessageAt_ < kKeepAliveInterval + kMaxKeepAliveDelay;
}

void DiscoverySubscription::onCallSent(Nanoseconds now) {
  nextCallAt_ = now + kUnansweredCallTimeout;
  if (!hasSentCall()) listCurrentAt_ = now; // the list known at the start is relied on from here
}

void DiscoverySubscription::onAnswered() {
  nextCallAt_ = kNoCallDue;
  consecutiveFailures_ = 0;
}

void DiscoverySubscription::onMessage(MessageSource source, Nanoseconds now, double jitter) {
  if (source == MessageSource::previousAddress) return;
  onAnswered();
  lastMessageAt_ = now;
  listCurrentAt_ = now;
  movedAt_ = 0;
  hasFailedSinceStart_ = false;
  const Nanoseconds window = isSharedByFleet_ ? kPollWindowAfterSilence : 0;
  nextCallAt_ = now + kKeepAliveInterval + kMaxKeepAliveDelay + ownShareOf(window, jitter);
}

// The first call after a watch was closed comes within the poll interval of the settings. A local agent
// serves this instance alone, so its backoff does not grow.
Nanoseconds DiscoverySubscription::backoffAfter(CallEnd end) const {
  Nanoseconds first = isSharedByFleet_ ? std::max(kMinFirstBackoff, kFirstBackoffPerInstance * instanceCount_)
                                       : kLocalAgentBackoff;
  if (end == CallEnd::watchClosed && pollInterval_ > 0)
    first = std::min(first, std::max(kMinFirstBackoff, pollInterval_ / 4));
  if (!isSharedByFleet_) return first;
  const int doublings = std::min(consecutiveFailures_, kMaxBackoffDoublings);
  return std::min(first << doublings, std::max(first, kMaxBackoff));
}

// Guards against a fleet whose own polls keep discovery from answering any: the backoff grows with each
// failure and is jittered.
void DiscoverySubscription::onClosed(CallEnd end, OtherCalls others, Nanoseconds now, double jitter) {
  const bool isWatchedElsewhere = others == OtherCalls::watching && isReceiving(now);
  if (isWatchedElsewhere) return;
  // A watch that received messages up to its end has missed nothing, and while discovery is down nobody is
  // notified of anything.
  const bool hasMissedNothing = end == CallEnd::watchClosed && isReceiving(now);
  if (hasMissedNothing || end == CallEnd::connectionRefused) listCurrentAt_ = now;
  if (lastMessageAt_ == 0) hasFailedSinceStart_ = true;
  // The unanswered call will end in its turn, or be repeated when its time is up.
  if (others == OtherCalls::unanswered) return;
  const auto backoff = static_cast<double>(backoffAfter(end));
  ++consecutiveFailures_;
  nextCallAt_ = now + static_cast<Nanoseconds>((kMinBackoffJitter + kBackoffJitterRange * jitter) * backoff);
}

void DiscoverySubscription::onAddressChanged(Nanoseconds now, double jitter) {
  consecutiveFailures_ = 0;
  movedAt_ = now;
  nextCallAt_ = now + ownShareOf(isSharedByFleet_ ? kPollWindowAfterMove : 0, jitter);
}

Nanoseconds DiscoverySubscription::proofRequiredSince(Nanoseconds now, EndpointSources sources) const {
  if (sources == EndpointSources::discoveryAndDns && lastMessageAt_ == 0) return 0;
  if (movedAt_ != 0 && now >= movedAt_ + kListReliableAfterMove)
    return std::max(now - kListReliableAfterMove, kMinProofTime);
  // The list known at the start is of unknown age: an endpoint on it may have left and come back, and serve,
  // while this instance counts as notified of its departure but not of its return.
  if (hasFailedSinceStart_) return kNoProofAccepted;
  if (!hasSentCall() || now < listCurrentAt_ + kListReliableFor) return 0;
  return std::max(now - kProofLifetime, kMinProofTime);
}

} // namespace myrtlehead
