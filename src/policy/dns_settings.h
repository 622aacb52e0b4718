// How long what was resolved is believed, and how often is asked. Plain values.
#pragma once

#include <cstdint>

namespace myrtlehead::dns_resolution {

using Nanoseconds = std::int64_t;

struct ResolutionSettings {
  Nanoseconds floor = 1'000'000'000, ceiling = 3'600'000'000'000; // of a lifetime, ns
  Nanoseconds staleMost = 3 * 86'400'000'000'000; // past its lifetime a good answer serves so long
  Nanoseconds denialDefault = 60'000'000'000;     // of a denial that tells no lifetime
  Nanoseconds firstWait = 400'000'000;            // for the first answer; doubled for each retry
  int tries = 5;                                  // of one look-up, over all servers
  Nanoseconds backOffLeast = 1'000'000'000, backOffMost = 30'000'000'000; // between look-ups that fail
  double refreshFrom = 0.75, refreshTo = 0.95; // of a lifetime, by chance between them
  bool operator==(const ResolutionSettings &) const = default;
};

} // namespace myrtlehead::dns_resolution
