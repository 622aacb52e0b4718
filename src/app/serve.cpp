#include "app/serve.h"

#include "app/bootstrap/bootstrap_config.h"
#include "app/instance.h"
#include "app/settings/settings.h"
#include "app/signals.h"

namespace myrtlehead::app {

namespace {

// The settings with the command line's overrides; the defaults where no file is named. Throws ConfigError.
settings::Settings readSettings(const ServeOptions &options, const bootstrap::BootstrapConfig &config) {
  settings::Settings out;
  if (!options.settingsPath.empty()) {
    auto read = settings::readSettings(bootstrap::readFile(options.settingsPath), config.zoneNames);
    if (!read.faults.empty())
      throw bootstrap::ConfigError(settings::text(options.settingsPath, read.faults.front()));
    out = std::move(read.settings);
  }
  if (options.logLevels) out.logLevels = *options.logLevels;
  if (options.logForm) out.logForm = *options.logForm;
  return out;
}

} // namespace

void serve(const ServeOptions &options) {
  // Before the configuration is read, and before any thread starts.
  const int signalDescriptor = openSignalDescriptor();
  const auto config = bootstrap::readBootstrapConfig(bootstrap::readFile(options.configPath));
  const auto settings = readSettings(options, config);
  Instance instance(options, config, settings, signalDescriptor);
  instance.run();
}

} // namespace myrtlehead::app
