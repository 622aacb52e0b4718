// The snapshot of the sources as text, for the store: times as Unix milliseconds.
#pragma once

#include "policy/endpoint_merge.h"

#include <optional>
#include <string>

namespace myrtlehead::dns_discovery {

constexpr int kSnapshotFormat = 1;

// `unixAtZero`: the Unix time, in ns, at which the instance's clock read nought.
std::string encodeSnapshot(const endpoint_merge::Snapshot &snapshot, Nanoseconds unixAtZero, Nanoseconds now);
// nullopt: not such a text, or out of bounds. `savedAt`: when it was written, by the instance's clock.
std::optional<endpoint_merge::Snapshot> decodeSnapshot(const std::string &text, Nanoseconds unixAtZero,
                                                       Nanoseconds &savedAt);

} // namespace myrtlehead::dns_discovery
