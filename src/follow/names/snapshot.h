// The past of the sources as text, for the store: times as Unix milliseconds.
#pragma once

#include "decide/sources/sources.h"

#include <optional>
#include <string>

namespace myrtlehead::names {

constexpr int kSnapshotFormat = 1;

// `unixAtZero`: the Unix time, in ns, at which the marshal's clock read nought.
std::string writePast(const sources::Past &past, Ns unixAtZero, Ns now);
// nullopt: not such a text, or out of bounds. `savedAt`: when it was written, by the marshal's clock.
std::optional<sources::Past> readPast(const std::string &text, Ns unixAtZero, Ns &savedAt);

} // namespace myrtlehead::names
