// Settings of DNS look-ups: bounds of TTLs, timeouts, backoff. Plain values; times in nanoseconds.
#pragma once

#include <cstdint>

namespace myrtlehead::dns_resolution {

using Nanoseconds = std::int64_t;

struct ResolutionSettings {
  Nanoseconds minTtl = 1'000'000'000;              // shorter TTLs count as this
  Nanoseconds maxTtl = 3'600'000'000'000;          // longer TTLs count as this
  Nanoseconds staleTime = 3 * 86'400'000'000'000;  // past its TTL an answer serves for so long
  Nanoseconds defaultNegativeTtl = 60'000'000'000; // of an answer that gives no TTL
  Nanoseconds firstTimeout = 400'000'000;          // of the first query; doubled for each retry
  int maxAttempts = 5;                             // of one look-up, over all servers
  Nanoseconds minBackoff = 1'000'000'000;          // between look-ups that fail
  Nanoseconds maxBackoff = 30'000'000'000;
  // A name is looked up again after a random fraction of its TTL between these two.
  double minRefreshFraction = 0.75;
  double maxRefreshFraction = 0.95;
  bool operator==(const ResolutionSettings &) const = default;
};

} // namespace myrtlehead::dns_resolution
