#include "app/serve.h"

#include "app/bootstrap/bootstrap_config.h"
#include "app/instance.h"
#include "app/settings/settings.h"
#include "app/signals.h"

#include <malloc.h>

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

// Has the allocator give large pieces back to the system as soon as they are freed. By default, the first
// large piece that is freed raises the threshold, and what is freed later stays with the process in
// fragments.
void configureAllocator() {
  constexpr int kSeparatePieceBytes = 32 * 1024; // pieces of this size and more are mapped on their own
  constexpr int kTrimBytes = 256 * 1024;         // free bytes at the end of the heap that are kept
  mallopt(M_MMAP_THRESHOLD, kSeparatePieceBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimBytes);
}

} // namespace

void serve(const ServeOptions &options) {
  // Signals are blocked before the configuration is read, so that a signal sent in the meantime is handled
  // later, and before any thread starts, because threads inherit the signal mask.
  configureAllocator();
  const int signalDescriptor = openSignalDescriptor();
  const auto config = bootstrap::readBootstrapConfig(bootstrap::readFile(options.configPath));
  const auto settings = readSettings(options, config);
  Instance instance(options, config, settings, signalDescriptor);
  instance.run();
}

} // namespace myrtlehead::app
