// The `serve` sub-command reads the configuration and settings and runs one instance until SIGTERM or SIGINT.
#pragma once

#include "base/log/log.h"

#include <optional>
#include <string>

namespace myrtlehead::app {

// The options of the `serve` sub-command.
struct ServeOptions {
  std::string configPath;               // the platform's configuration, in JSON
  std::string settingsPath;             // the installation's settings, in TOML; empty if there are none
  std::optional<log::Levels> logLevels; // override the levels in the settings
  std::optional<log::Format> logForm;   // overrides the format in the settings
};

// Returns after a graceful shutdown. Throws ConfigError or std::system_error, with a message for the
// operator, if the instance cannot start.
void serve(const ServeOptions &options);

} // namespace myrtlehead::app
