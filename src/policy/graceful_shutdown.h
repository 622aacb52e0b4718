// Deadlines of a graceful shutdown of the connections to clients. The platform keeps sending new connections
// and requests for 0.4 s after it has asked for the shutdown. A request that arrives more than 0.7 s after
// the platform has asked is not guaranteed an answer before the process is killed. No I/O; time is an
// argument.
#pragma once

#include <cstdint>
#include <limits>

namespace myrtlehead::graceful_shutdown {

using Nanoseconds = std::int64_t;
constexpr Nanoseconds kMillisecond = 1'000'000;

class GracefulShutdown {
public:
  // Starts the shutdown at `now`. Further calls have no effect.
  void begin(Nanoseconds now) {
    if (!isInProgress()) startedAt_ = now;
  }
  bool isInProgress() const { return startedAt_ != kNotStarted; }
  // Connections are accepted as usual until this time. After it, the connections in the backlog are accepted,
  // the listening socket is closed, and idle connections are closed. Valid only during a shutdown.
  Nanoseconds acceptDeadline() const { return startedAt_ + kAcceptDuration; }
  // The rest of a partly received message is awaited until this time. Valid only during a shutdown.
  Nanoseconds partialMessageDeadline() const { return startedAt_ + kPartialMessageDuration; }
  // Whether a request that has been read may be started. A request that waited behind others on its
  // connection may start too late to be answered; it is rejected with an error that allows a retry.
  bool mayStartRequest(Nanoseconds now) const {
    return !isInProgress() || now < startedAt_ + kStartRequestDuration;
  }

private:
  static constexpr Nanoseconds kNotStarted = std::numeric_limits<Nanoseconds>::max();
  static constexpr Nanoseconds kAcceptDuration = 500 * kMillisecond;
  static constexpr Nanoseconds kPartialMessageDuration = 650 * kMillisecond;
  static constexpr Nanoseconds kStartRequestDuration = 700 * kMillisecond;
  Nanoseconds startedAt_ = kNotStarted;
};

} // namespace myrtlehead::graceful_shutdown
