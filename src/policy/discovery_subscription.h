// Decides when an instance polls discovery for the endpoint list, and how far the instance may rely on a list
// that is no longer updated. No I/O: time and jitter are arguments.
//
// Terms: a poll is a request for the list. Once answered it becomes a watch, which sends watch events and,
// while nothing changes, keep-alives. A call is a poll or the watch that the poll has become. To send a call
// is therefore to send a poll. Discovery is one service for the whole fleet, so polls that all instances
// would make at the same moment are spread over the available time, by instance index and jitter.
#pragma once

#include "policy/deployment.h"

#include <limits>

namespace myrtlehead {

// Value of nextCallAt(): no poll is to be sent.
constexpr Nanoseconds kNoCallDue = std::numeric_limits<Nanoseconds>::max();
// Value of proofRequiredSince(): requests may not be forwarded to any endpoint.
constexpr Nanoseconds kNoProofAccepted = std::numeric_limits<Nanoseconds>::max();

// A poll without an answer is closed after this time.
constexpr Nanoseconds kPollTimeout = 5 * kSecond;
// An answered call without a message is closed after this time. Discovery sends a keep-alive every two
// seconds. While a silent watch stays open, what it misses counts as notified early, so nothing can prove an
// endpoint.
constexpr Nanoseconds kMaxWatchSilence = 3 * kSecond;

// How a poll or a watch ended.
enum class CallEnd {
  rejected,          // discovery returned an error, closed the poll, or did not answer in time
  unreachable,       // no connection could be established
  connectionRefused, // the host at discovery's address refused the connection: discovery is down
  watchClosed,       // discovery closed a watch that had sent messages, as it does when it shuts down
  watchSilent        // an answered call was closed after kMaxWatchSilence
};

struct CallEnding {
  // Implicit, because most kinds of end have no silence.
  CallEnding(CallEnd callEnd, Nanoseconds silentFor = 0) : end(callEnd), silence(silentFor) {}
  CallEnd end;
  Nanoseconds
      silence; // for how long an answered call had sent nothing before its end; 0: it was not answered
};

// Other calls open at discovery's current address when a poll or a watch ends.
enum class OtherCalls {
  none,
  unanswered, // there is a poll that has received no message yet
  watching    // there is a watch that has sent messages
};

enum class MessageSource { currentAddress, previousAddress };

// Sources of the endpoint set.
enum class EndpointSources { discovery, discoveryAndDns };

class DiscoverySubscription {
public:
  // The first call is due immediately.
  explicit DiscoverySubscription(const Deployment &deployment)
      : ownIndex_(deployment.ownIndex), instanceCount_(deployment.instanceCount),
        isSharedByFleet_(deployment.pollsEndpointList), pollInterval_(deployment.pollInterval) {}

  // Notifications. `jitter` is uniformly random in [0, 1).
  void onCallSent(Nanoseconds now);
  // The poll was answered and has become a watch. No call is due before the first message of the watch.
  void onAnswered();
  // A watch event or a keep-alive was received. The next call is due if no further message arrives in time.
  // Messages from a previous address are ignored, since that server may be out of date.
  void onMessage(MessageSource source, Nanoseconds now, double jitter);
  void onClosed(CallEnding ending, OtherCalls others, Nanoseconds now, double jitter);
  // Discovery has a new address.
  void onAddressChanged(Nanoseconds now, double jitter);

  // Returns when the next call is to be sent; kNoCallDue: no call is due.
  Nanoseconds nextCallAt() const { return nextCallAt_; }

  // Returns 0 if the list is up to date. Otherwise requests may be forwarded only to endpoints that have
  // answered an attempt sent at the returned time or later; kNoProofAccepted: to no endpoint.
  //
  // The operators' rules count this instance as notified of a change a fixed time after the change, whether
  // or not the notification arrived. From then on the list may contain an endpoint whose removal this
  // instance missed because the watch was silent, was closed or was never opened. An endpoint that has just
  // answered a request was not being removed. If the list has never been received, DNS records replace it.
  Nanoseconds proofRequiredSince(Nanoseconds now, EndpointSources sources = EndpointSources::discovery) const;
  // Whether the instance counts as notified of every change because of an address change, and has received no
  // message from the new address.
  bool hasMoveExpired(Nanoseconds now) const;

private:
  Nanoseconds offsetInWindow(Nanoseconds window, double jitter) const;
  Nanoseconds backoffAfter(CallEnd end) const;
  static constexpr Nanoseconds kNoCallSent = std::numeric_limits<Nanoseconds>::max();
  bool hasSentCall() const { return listUpToDateAt_ != kNoCallSent; }
  bool hasRecentMessage(Nanoseconds now) const;
  Nanoseconds oldestValidProof(Nanoseconds now) const;

  int ownIndex_;
  int instanceCount_;
  bool isSharedByFleet_; // false: a local agent that serves only this instance provides the list
  Nanoseconds pollInterval_;
  Nanoseconds nextCallAt_ = 0;
  Nanoseconds lastMessageAt_ = 0; // time of the latest message from the current address; 0: none yet
  // The latest time at which the list is known to have contained every change; kNoCallSent: no call sent yet.
  Nanoseconds listUpToDateAt_ = kNoCallSent;
  // The first address change since the latest message from a current address; 0: none.
  Nanoseconds addressChangedAt_ = 0;
  bool hasMissedChanges_ = false; // a watch fell silent, and no message was received since
  // The first and the latest of the refused connections since another kind of end or a message; 0: none.
  Nanoseconds downSince_ = 0;
  Nanoseconds lastRefusedAt_ = 0;
  bool hasFailedSinceStart_ = false; // a call has failed, and no message was received since the start
  int consecutiveFailures_ = 0;
};

} // namespace myrtlehead
