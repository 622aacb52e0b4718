// Settings of DNS look-ups: TTL bounds, timeouts and backoff. All times are in nanoseconds.
#pragma once

#include <cstdint>

namespace myrtlehead::dns_resolution {

using Nanoseconds = std::int64_t;

struct ResolutionSettings {
  // A TTL outside this range is clamped to it.
  Nanoseconds minTtl = 1'000'000'000;
  Nanoseconds maxTtl = 3'600'000'000'000;
  Nanoseconds staleTime = 3 * 86'400'000'000'000;  // how long an answer is used after its TTL has ended
  Nanoseconds defaultNegativeTtl = 60'000'000'000; // TTL of an answer that gives none
  // Timeout of the first query. It doubles with each of the first three retries.
  Nanoseconds firstTimeout = 400'000'000;
  // Queries over UDP for one name, over all DNS servers. They are counted anew if an alias leads to a name
  // that needs a query of its own.
  int maxAttempts = 5;
  // Limits of the delay before the next look-up after a failed one.
  Nanoseconds minBackoff = 1'000'000'000;
  Nanoseconds maxBackoff = 30'000'000'000;
  // A name is looked up again after a random fraction of its TTL between these two limits.
  double minRefreshFraction = 0.75;
  double maxRefreshFraction = 0.95;
  bool operator==(const ResolutionSettings &) const = default;
};

} // namespace myrtlehead::dns_resolution
