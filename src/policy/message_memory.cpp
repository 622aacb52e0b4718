#include "policy/message_memory.h"

#include <algorithm>

namespace myrtlehead::message_memory {

namespace {

constexpr std::size_t kMinFreeBytes = kSmallMessageBytes / 2; // of the buffer, before each read
constexpr Nanoseconds kMaxWaitDivisor = 8;
constexpr Nanoseconds kMinHoldTime = 25'000'000; // 25 ms, many times what a client that sends on needs

} // namespace

std::size_t bufferBytes(std::size_t announcedBytes, std::size_t arrivedBytes) {
  if (arrivedBytes + kMinFreeBytes <= kSmallMessageBytes) return kSmallMessageBytes;
  return announcedBytes + kSmallMessageBytes;
}

bool isShort(std::size_t residentBytes, std::size_t limitBytes) { return residentBytes > limitBytes / 4 * 3; }

std::size_t clientBufferBytes(std::size_t announcedBytes, std::size_t arrivedBytes) {
  return arrivedBytes < kIdleBufferBytes ? kSmallMessageBytes : announcedBytes + kSmallMessageBytes;
}

Nanoseconds maxWait(std::span<const Nanoseconds> routeTimeouts) {
  const auto shortest = std::ranges::min_element(routeTimeouts);
  return shortest == routeTimeouts.end() ? 0 : *shortest / kMaxWaitDivisor;
}

Nanoseconds reclaimableAt(Nanoseconds heldSince) { return heldSince + kMinHoldTime; }

Nanoseconds answerReclaimableAt(Nanoseconds stalledSince, std::span<const Nanoseconds> routeTimeouts) {
  return stalledSince + maxWait(routeTimeouts);
}

} // namespace myrtlehead::message_memory
