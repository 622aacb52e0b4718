// Works out from a history of discovery and of one instance from when the instance counts as notified of a
// change of the endpoint list, according to the operators' pages. It shares no code with the instance.
//
// Each clause cites its sentence: [P] the protocol page, [L] the page on new configurations, [S] the standing
// test. The clauses for lists that a local agent pushes are not covered.
#pragma once

#include "policy/time.h"

#include <cstdint>
#include <vector>

namespace myrtlehead::lab {

constexpr Nanoseconds kNeverNotified = INT64_MAX;
// Requests may be sent to a draining endpoint for this long after the notification: the deployment's grace of
// 250 ms, and the 50 ms that every limit on sockets is longer.
constexpr Nanoseconds kDrainGrace = 300 * kMillisecond;

class NotificationOracle {
public:
  using ChangeNumber = std::size_t;

  // The history, in the order of time. Discovery can be reached at first.
  ChangeNumber onChange(Nanoseconds at); // discovery has the change
  void onReachable(bool isReachable, Nanoseconds at);
  void onReloadSignal(Nanoseconds at); // SIGHUP with another address of discovery
  // `at`: when the watch, which stays open, was last written to.
  void onWatchSilent(Nanoseconds at);
  // Discovery has written every change so far on a watch.
  void onWritten(Nanoseconds at, bool isAtNewestAddress); // newest: as the latest configuration names it

  // When the instance counts as notified of the change, as far as the history tells.
  Nanoseconds notifiedAt(ChangeNumber change) const;

private:
  struct Interval {
    Nanoseconds from = 0;
    Nanoseconds to = kNeverNotified;
  };
  Nanoseconds reachableFrom(Nanoseconds at) const;
  static Nanoseconds writtenAfter(const std::vector<Nanoseconds> &writes, Nanoseconds at);
  Nanoseconds notifiedBySilence(Nanoseconds at) const;
  Nanoseconds notifiedByReload(Nanoseconds at) const;

  std::vector<Nanoseconds> changes_;
  std::vector<Nanoseconds> writes_;
  std::vector<Nanoseconds> writesAtNewestAddress_;
  std::vector<Nanoseconds> reloads_;
  std::vector<Interval> unreachable_;
  std::vector<Interval> silences_; // of a watch, until another one was written to
};

} // namespace myrtlehead::lab
