// One instance in service: wires the parts together and serves until SIGTERM or SIGINT.
#pragma once

#include "base/log/log.h"

#include <optional>
#include <string>

namespace myrtlehead::app {

struct Paths {
  std::string configuration;            // the platform's JSON
  std::string settings;                 // the installation's TOML; "": none
  std::optional<log::Levels> logLevels; // of the command line, before those of the settings
  std::optional<log::Format> logForm;
};

// Throws what keeps it from serving (SetupError, std::system_error), with a sentence for whoever started it.
void serve(const Paths &paths);

} // namespace myrtlehead::app
