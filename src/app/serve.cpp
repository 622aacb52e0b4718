#include "app/serve.h"

#include "app/bootstrap/bootstrap_config.h"
#include "app/instance.h"
#include "app/settings/settings.h"
#include "app/signals.h"

namespace myrtlehead::app {

namespace {

// Returns the settings with the overrides from the command line, or the default settings if no file is given.
// Throws ConfigError if the file has errors.
settings::Settings readSettings(const ServeOptions &options, const bootstrap::BootstrapConfig &config) {
  settings::Settings out;
  if (!options.settingsPath.empty()) {
    auto read = settings::readSettings(bootstrap::readFile(options.settingsPath), config.zoneNames);
    if (!read.errors.empty())
      throw bootstrap::ConfigError(settings::formatError(options.settingsPath, read.errors.front()));
    out = std::move(read.settings);
  }
  if (options.logLevels) out.logLevels = *options.logLevels;
  if (options.logForm) out.logForm = *options.logForm;
  return out;
}

} // namespace

void serve(const ServeOptions &options) {
  // Signals are blocked before the configuration is read, so that a signal sent in the meantime is handled
  // later, and before any thread starts, because threads inherit the signal mask.
  const int signalDescriptor = openSignalDescriptor();
  const auto config = bootstrap::readBootstrapConfig(bootstrap::readFile(options.configPath));
  const auto settings = readSettings(options, config);
  Instance instance(options, config, settings, signalDescriptor);
  instance.run();
}

} // namespace myrtlehead::app
