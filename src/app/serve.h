// `myrtlehead serve`: reads the files, starts one instance and serves until SIGTERM or SIGINT.
#pragma once

#include "base/log/log.h"

#include <optional>
#include <string>

namespace myrtlehead::app {

// What the command line asks for.
struct ServeOptions {
  std::string configPath;               // the platform's configuration, in JSON
  std::string settingsPath;             // the installation's settings, in TOML; "": none
  std::optional<log::Levels> logLevels; // override those of the settings
  std::optional<log::Format> logForm;   // overrides that of the settings
};

// Returns after a graceful shutdown. Throws what keeps it from serving (ConfigError, std::system_error), with
// a sentence for whoever started it.
void serve(const ServeOptions &options);

} // namespace myrtlehead::app
