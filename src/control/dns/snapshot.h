// Encodes the snapshot of the endpoint merge as JSON, the content of the state file. Times in the JSON are
// Unix milliseconds; 0 means "long ago" or "never".
#pragma once

#include "policy/endpoint_merge.h"

#include <optional>
#include <string>

namespace myrtlehead::dns_discovery {

constexpr int kSnapshotFormat = 1; // version number in the head of the state file

// `unixAtZero`: Unix time, in nanoseconds, at which the instance's clock read 0. `now`: time of the
// instance's clock.
std::string encodeSnapshot(const endpoint_merge::Snapshot &snapshot, Nanoseconds unixAtZero, Nanoseconds now);

struct DecodedSnapshot {
  endpoint_merge::Snapshot snapshot;
  Nanoseconds savedAt = 0; // time of the instance's clock
};
// Returns nullopt if the text is not an encoded snapshot or a value in it is out of range.
std::optional<DecodedSnapshot> decodeSnapshot(const std::string &text, Nanoseconds unixAtZero);

} // namespace myrtlehead::dns_discovery
