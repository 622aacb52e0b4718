// When an instance asks discovery for the list, and what it may still believe of a list that has fallen
// silent. No I/O; time and chance are arguments. Three facts get three answers: a watch that says nothing
// more, a call that was refused, and a discovery that is down. Discovery is one for the whole fleet, so what
// all instances would ask in the same moment is spread over the time that there is, by their numbers and
// chance.
#pragma once

#include "policy/deployment.h"

#include <limits>

namespace myrtlehead::discovery_subscription {

constexpr Nanoseconds kNoCall = std::numeric_limits<Nanoseconds>::max();
constexpr Nanoseconds kNothingProven = std::numeric_limits<Nanoseconds>::max(); // no endpoint may be sent to
// A watch without a line for so long is over (a line comes every two seconds), as is a call without an
// answer.
constexpr Nanoseconds kOver = 5 * kSecond;

// How a call or a watch ended. refused: discovery says that it can't, breaks the call off or keeps it
// waiting. unreachable: no connection came about. down: its machine refused the connection, so nobody listens
// there. cut: discovery ended a watch that stood, as when it goes down.
enum class Ended { refused, unreachable, down, cut };

// What else is open at discovery's present place: nothing, a call that has not told anything yet, or a watch.
enum class Others { none, asked, stands };

class DiscoverySubscription {
public:
  // `chance` is from [0, 1) here and below. The first call is due at once.
  DiscoverySubscription(const Deployment &deployment)
      : ownIndex_(deployment.ownIndex), instanceCount_(deployment.instanceCount),
        asked_(deployment.pollsEndpointList), askEvery_(deployment.pollInterval) {}

  // Facts.
  void called(Nanoseconds now); // a call has gone out
  void answered();              // the subscription stands
  // Of any open watch, a sign of life too. Here: at the present place, where it is to go on telling; a line
  // of a former place says nothing of what the present one has to tell.
  void line(bool here, Nanoseconds now, double chance);
  void ended(Ended how, Others others, Nanoseconds now, double chance);
  void moved(Nanoseconds now, double chance); // discovery is somewhere else from now on

  Nanoseconds callAt() const { return callAt_; } // when the next call goes out; kNoCall: not as things stand
  // An endpoint may only be sent to if it has served an attempt that was sent to it since then; 0: the list
  // is to be believed. Past the time at which what discovery has to tell counts as told, a departure unheard
  // of would be held against this instance, whether its watch has fallen silent, was ended, or never came
  // about. An endpoint that has just served was no departing one. kNothingProven: of no endpoint is that
  // known. `namesFollowed`: name records list endpoints too; they stand in for a list that has never come.
  Nanoseconds provenSince(Nanoseconds now, bool namesFollowed = false) const;

private:
  Nanoseconds turn(Nanoseconds window,
                   double chance) const; // this instance's place among all, within the window
  int ownIndex_, instanceCount_;
  bool asked_;
  Nanoseconds askEvery_;
  Nanoseconds callAt_ = 0, lineAt_ = 0; // lineAt_: the last line here
  Nanoseconds currentAt_ = kNoCall; // when the list last held all that counts as told; kNoCall: never asked
  bool hasCalled() const { return currentAt_ != kNoCall; }
  bool startFailed_ = false; // a call has failed, and no line has come since the start
  Nanoseconds movedAt_ = 0;  // no line has come since the move; 0: one has
  bool lively(Nanoseconds now) const;
  int failures_ = 0; // calls in a row
};

} // namespace myrtlehead::discovery_subscription
