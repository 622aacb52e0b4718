#include "policy/connection_limits.h"

namespace myrtlehead::connection_limits {

namespace {

constexpr Nanoseconds kMillisecond = 1'000'000;
constexpr Nanoseconds kSecond = 1000 * kMillisecond;

// Fractions of the descriptor limit, as divisors.
constexpr int kReserveDivisor = 4;
constexpr int kShortageEndDivisor = 3;
constexpr int kRequestCapacityDivisor = 3;
constexpr int kMinReserveDivisor = 12;

constexpr Nanoseconds kMinClosingTime = kSecond / 10;      // lets the client see the end of the connection
constexpr Nanoseconds kMinIdleTime = 2 * kSecond;          // required by the service's protocol
constexpr Nanoseconds kMinTimeUnderShortage = kSecond / 4; // if a new connection would be rejected otherwise
constexpr Nanoseconds kMaxIdleTime = 10 * kSecond;
constexpr Nanoseconds kMaxUnusedIdleTime = 2 * kSecond;

constexpr Nanoseconds kMessageTimeout = 2 * kSecond;
constexpr Nanoseconds kFirstMessageTimeout = 5 * kSecond / 2; // from when the connection was opened

} // namespace

bool hasReserve(Descriptors descriptors) {
  return descriptors.available > descriptors.limit / kReserveDivisor;
}

bool mayAccept(Descriptors descriptors) {
  return descriptors.available > descriptors.limit / kMinReserveDivisor;
}

bool isShort(bool wasShort, Descriptors descriptors) {
  return descriptors.available <= descriptors.limit / (wasShort ? kShortageEndDivisor : kReserveDivisor);
}

int requestCapacity(int descriptorLimit) { return descriptorLimit / kRequestCapacityDivisor; }

bool hasManyClients(std::size_t connections, int descriptorLimit) {
  return static_cast<int>(connections) > requestCapacity(descriptorLimit);
}

const std::array<ReclaimStep, 5> &reclaimOrder() {
  static constexpr std::array<ReclaimStep, 5> kOrder{{{ReclaimGroup::closing, kMinClosingTime},
                                                      {ReclaimGroup::idle, kMinIdleTime},
                                                      {ReclaimGroup::unused, kMinTimeUnderShortage},
                                                      {ReclaimGroup::receiving, kMinTimeUnderShortage},
                                                      {ReclaimGroup::idle, kMinTimeUnderShortage}}};
  return kOrder;
}

Nanoseconds maxIdleTime(ConnectionUse use) {
  return use == ConnectionUse::used ? kMaxIdleTime : kMaxUnusedIdleTime;
}

Nanoseconds messageDeadline(ConnectionUse use, Nanoseconds openedAt, Nanoseconds begunAt) {
  return use == ConnectionUse::used ? begunAt + kMessageTimeout : openedAt + kFirstMessageTimeout;
}

Nanoseconds finalMessageDeadline(Nanoseconds begunAt) { return begunAt + kMinTimeUnderShortage; }

} // namespace myrtlehead::connection_limits
