// The `check` sub-command validates configuration and settings files without serving.
#pragma once

#include "app/output_format.h"

#include <string>
#include <vector>

namespace myrtlehead::app {

// Checks each file, which is a configuration in JSON or settings in TOML, and writes the errors to standard
// output: one line for each error, or one JSON object for all. Returns the exit code: 0 if no file has an
// error, otherwise 1.
int check(const std::vector<std::string> &files, OutputFormat format);

} // namespace myrtlehead::app
