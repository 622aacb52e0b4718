// Points in time and durations in nanoseconds. Points in time are readings of the instance's own clock,
// unless a comment says that they are Unix times.
#pragma once

#include <cstdint>
#include <limits>

namespace myrtlehead {

using Nanoseconds = std::int64_t;

constexpr Nanoseconds kMicrosecond = 1'000;
constexpr Nanoseconds kMillisecond = 1'000'000;
constexpr Nanoseconds kSecond = 1'000'000'000;
// Later than any point in time.
constexpr Nanoseconds kNoDeadline = std::numeric_limits<Nanoseconds>::max();

constexpr double inSeconds(Nanoseconds time) { return static_cast<double>(time) / 1e9; }

} // namespace myrtlehead
