// What the instance costs a request beside a bare relay of bytes: processor time and latency.
#pragma once

#include <string>

namespace myrtlehead::lab {

// Loads a relay and an instance of `program` in turn at three rates, `runs` times each, and prints medians
// and ranges. `folder`: for configuration and log. Returns the exit code, 0. Throws std::runtime_error where
// the instance does not start.
int measureProxyOverhead(const std::string &program, const std::string &folder, int runs);

} // namespace myrtlehead::lab
