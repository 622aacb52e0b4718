// `myrtlehead check`: whether files could be used, without serving.
#pragma once

#include <string>
#include <vector>

namespace myrtlehead::app {

enum class OutputForm { text, json };

// Checks each file, a configuration in JSON or settings in TOML, and writes its faults to standard output: a
// line each, or one JSON object for all. Returns the exit code: 0 where no file has a fault, otherwise 1.
int check(const std::vector<std::string> &files, OutputForm form);

} // namespace myrtlehead::app
