// When an instance polls discovery for the endpoint list, and how far it may rely on a list that is no longer
// updated. No I/O: time and jitter are arguments.
//
// Terms: a poll is a call for the list; once answered it becomes a watch, which sends watch events and, while
// nothing changes, keep-alives. Discovery is one service for the whole fleet, so polls that all instances
// would make at the same moment are spread over the time available, by the instances' numbers and jitter.
#pragma once

#include "policy/deployment.h"

#include <limits>

namespace myrtlehead {

// Values of nextCallAt() and proofRequiredSince().
constexpr Nanoseconds kNoCallDue = std::numeric_limits<Nanoseconds>::max();
constexpr Nanoseconds kNoProofAccepted = std::numeric_limits<Nanoseconds>::max();

// A poll without an answer, or a watch without a message, is given up after this time.
constexpr Nanoseconds kMaxWatchSilence = 5 * kSecond;

// How a poll or a watch ended.
enum class CallEnd {
  rejected,          // discovery answered with an error, broke the poll off, or kept it waiting too long
  unreachable,       // no connection came about
  connectionRefused, // the machine at discovery's address refused the connection: discovery is down
  watchClosed        // discovery closed a watch that had sent messages, as it does when it goes down
};

// What else is open at discovery's current address when a poll or a watch ends.
enum class OtherCalls {
  none,
  unanswered, // a poll that has received no message yet
  watching    // a watch that has sent messages
};

enum class MessageSource { currentAddress, previousAddress };

// Where the endpoint set comes from.
enum class EndpointSources { discovery, discoveryAndDns };

class DiscoverySubscription {
public:
  // The first call is due at once.
  explicit DiscoverySubscription(const Deployment &deployment)
      : ownIndex_(deployment.ownIndex), instanceCount_(deployment.instanceCount),
        isSharedByFleet_(deployment.pollsEndpointList), pollInterval_(deployment.pollInterval) {}

  // Notifications. `jitter` is drawn uniformly from [0, 1).
  void onCallSent(Nanoseconds now);
  void onAnswered(); // the watch is open: no call is due
  // A watch event or a keep-alive. Messages from a former address are ignored: that server may be out of
  // date.
  void onMessage(MessageSource source, Nanoseconds now, double jitter);
  void onClosed(CallEnd end, OtherCalls others, Nanoseconds now, double jitter);
  void onAddressChanged(Nanoseconds now, double jitter); // discovery has a new address

  // When the next call goes out; kNoCallDue: none is due.
  Nanoseconds nextCallAt() const { return nextCallAt_; }

  // 0: the list is up to date. Otherwise requests may go only to an endpoint that has answered an attempt
  // sent at this time or later; kNoProofAccepted: to none.
  //
  // Discovery counts this instance as notified of a change some time after making it, whether or not the
  // change arrived. From then on the list may still hold an endpoint whose departure it missed, whatever the
  // reason: the watch has fallen silent, was closed, or never came about. An endpoint that has just served
  // was not departing. DNS records stand in for a list that has never come.
  Nanoseconds proofRequiredSince(Nanoseconds now, EndpointSources sources = EndpointSources::discovery) const;

private:
  Nanoseconds ownShareOf(Nanoseconds window, double jitter) const;
  Nanoseconds backoffAfter(CallEnd end) const;
  bool hasSentCall() const { return listCurrentAt_ != kNoCallDue; }
  bool isReceiving(Nanoseconds now) const;

  int ownIndex_;
  int instanceCount_;
  bool isSharedByFleet_; // false: a local agent of this instance's own serves the list
  Nanoseconds pollInterval_;
  Nanoseconds nextCallAt_ = 0;
  Nanoseconds lastMessageAt_ = 0; // from the current address; 0: none yet
  Nanoseconds listCurrentAt_ =
      kNoCallDue;                    // when the list last held every change; kNoCallDue: no call sent yet
  Nanoseconds movedAt_ = 0;          // 0: a message has come since the latest move
  bool hasFailedSinceStart_ = false; // a call has failed, and no message has come since the start
  int consecutiveFailures_ = 0;
};

} // namespace myrtlehead
