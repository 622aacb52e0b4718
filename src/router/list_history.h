// A bounded history of what happened to the endpoint list. It is kept in memory and costs no system call, so
// that it can be recorded all the time and written to the log when an endpoint turns an attempt away.
#pragma once

#include "policy/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace myrtlehead {

enum class ListEvent : std::uint8_t {
  none,
  message,           // a message from the current address
  previousMessage,   // a message from a previous address
  callSent,          // a poll was sent
  callRejected,      // see CallEnd
  callUnreachable,   // see CallEnd
  callRefused,       // see CallEnd::connectionRefused
  watchClosed,       // see CallEnd
  watchSilent,       // see CallEnd
  addressChanged,    // discovery has a new address
  proofRequired,     // from now on, only endpoints that answered recently are used
  forwardingStopped, // from now on, no endpoint is used
  listRelied         // from now on, the list is relied on
};
const char *nameOf(ListEvent event);

class ListHistory {
public:
  // Records the event. Of several equal events in a row, the first and the latest are kept.
  void add(ListEvent event, Nanoseconds at);
  // The events from the oldest to the newest, with their ages in milliseconds: "message -5210, callSent -12".
  std::string describe(Nanoseconds now) const;

private:
  static constexpr std::size_t kCapacity = 32;
  struct Entry {
    Nanoseconds at = 0;
    ListEvent event = ListEvent::none;
  };
  const Entry &newest(std::size_t age) const { return entries_[(next_ + kCapacity - 1 - age) % kCapacity]; }
  std::array<Entry, kCapacity> entries_{};
  std::size_t next_ = 0;
};

} // namespace myrtlehead
