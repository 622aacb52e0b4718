// Decides how many client connections an instance keeps, which one is closed for a new one, and how long it
// waits for a message. No I/O; time is an argument.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace myrtlehead::connection_limits {

using Nanoseconds = std::int64_t;

// The file descriptors of the process that may be used.
struct Descriptors {
  int available = 0; // negative if more than the limit are in use
  int limit = 0;
};

// Whether enough are free for endpoint and control connections beside a new client connection.
bool hasReserve(Descriptors descriptors);
// Whether a client connection may be accepted, at least to be rejected.
bool mayAccept(Descriptors descriptors);
// Whether descriptors are short. The thresholds for the start and the end of a shortage differ, so that the
// state does not change back and forth.
bool isShort(bool wasShort, Descriptors descriptors);
// How many client requests may be attempted concurrently. Their upstream attempts need as many descriptors
// again.
int requestCapacity(int descriptorLimit);
// Whether some of so many client connections must be idle, because fewer can have requests in flight.
bool hasManyClients(std::size_t connections, int descriptorLimit);

// The connections that may be closed for a new one, by what they are doing.
enum class ReclaimGroup {
  closing,   // shut down for writing; the client has not closed its end yet
  unused,    // no valid statement has been received yet
  receiving, // no request is in flight, and a part of a message has arrived
  idle       // no request is in flight
};
// The longest member of a group may be closed once it has been in the group for `minTime`.
struct ReclaimStep {
  ReclaimGroup group;
  Nanoseconds minTime;
};
// Returns the steps in the order in which they are tried.
const std::array<ReclaimStep, 5> &reclaimOrder();

// Whether a connection has been used, that is, has carried a valid statement.
enum class ConnectionUse { unused, used };
// Returns the time after which an idle connection is closed, whether or not its descriptor is needed.
Nanoseconds maxIdleTime(ConnectionUse use);

// How often a client of which bytes are left unread is probed. The end of its stream may wait behind them,
// and no attempt may begin later than 0.1 s after a client has closed its connection.
constexpr Nanoseconds kProbeInterval = 40'000'000;

// Returns until when the rest of a message may arrive whose first part arrived at `begunAt`, on a connection
// that was opened at `openedAt`.
Nanoseconds messageDeadline(ConnectionUse use, Nanoseconds openedAt, Nanoseconds begunAt);
// The same if the connection is to be closed for its descriptor.
Nanoseconds finalMessageDeadline(Nanoseconds begunAt);

} // namespace myrtlehead::connection_limits
