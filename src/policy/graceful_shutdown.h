// What the clients' side still does at which time after it was asked to shut down. No I/O; time is an
// argument. The platform still sends new connections and requests for 0.4 s, and what arrives later than
// 0.7 s is not promised an answer before the process is killed.
#pragma once

#include <cstdint>
#include <limits>

namespace myrtlehead::graceful_shutdown {

using Nanoseconds = std::int64_t;
constexpr Nanoseconds kMillisecond = 1'000'000;

class GracefulShutdown {
public:
  // The first call counts.
  void begin(Nanoseconds now) {
    if (!isInProgress()) begunAt_ = now;
  }
  bool isInProgress() const { return begunAt_ != kNotBegun; }
  // Until then connections are accepted as before; after that the backlog is emptied, the listener closes,
  // and idle connections are closed. Only while it is in progress.
  Nanoseconds acceptsUntil() const { return begunAt_ + kAcceptTime; }
  // Until then the rest of a message is awaited of which a part has come. Only while it is in progress.
  Nanoseconds partialMessageDeadline() const { return begunAt_ + kPartialMessageTime; }
  // Whether a request that has been read may be started: one behind others on its connection may come up too
  // late to be answered, and its client is told that a retry is harmless.
  bool mayStartRequest(Nanoseconds now) const {
    return !isInProgress() || now < begunAt_ + kStartRequestTime;
  }

private:
  static constexpr Nanoseconds kNotBegun = std::numeric_limits<Nanoseconds>::max();
  static constexpr Nanoseconds kAcceptTime = 500 * kMillisecond;
  static constexpr Nanoseconds kPartialMessageTime = 650 * kMillisecond;
  static constexpr Nanoseconds kStartRequestTime = 700 * kMillisecond;
  Nanoseconds begunAt_ = kNotBegun;
};

} // namespace myrtlehead::graceful_shutdown
