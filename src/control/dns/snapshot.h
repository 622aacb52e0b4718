// The snapshot of the endpoint merge as text (JSON), as the state file holds it. Times in it are Unix
// milliseconds; 0 stands for "long ago" or "never".
#pragma once

#include "policy/endpoint_merge.h"

#include <optional>
#include <string>

namespace myrtlehead::dns_discovery {

constexpr int kSnapshotFormat = 1;

// `unixAtZero`: Unix time, in ns, at which the instance's clock read 0. `now`: by the instance's clock.
std::string encodeSnapshot(const endpoint_merge::Snapshot &snapshot, Nanoseconds unixAtZero, Nanoseconds now);

struct DecodedSnapshot {
  endpoint_merge::Snapshot snapshot;
  Nanoseconds savedAt = 0; // by the instance's clock
};
// nullopt: not such a text, or a value out of bounds.
std::optional<DecodedSnapshot> decodeSnapshot(const std::string &text, Nanoseconds unixAtZero);

} // namespace myrtlehead::dns_discovery
