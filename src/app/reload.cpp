#include "app/reload.h"

#include <optional>

namespace myrtlehead::app {

namespace {

constexpr int kReadAttempts = 10;
constexpr Nanoseconds kReadRetryInterval = kSecond / 10;

// Reads the configuration file. If decoding fails, it retries for about a second, because the file may be
// read while it is being replaced. Returns nullopt, and logs the last error, if every attempt fails.
sched::Task<std::optional<bootstrap::BootstrapConfig>>
readConfigWithRetries(sched::Scheduler &sched, const std::string &path, log::Log &log) {
  std::string lastError;
  for (int attempt = 0; attempt < kReadAttempts; ++attempt) {
    if (attempt > 0) co_await sched.sleep(kReadRetryInterval);
    try {
      co_return bootstrap::readBootstrapConfig(bootstrap::readFile(path));
    } catch (const std::exception &e) {
      lastError = e.what();
    }
  }
  log.error("the new configuration is not applied", {{"why", lastError}});
  co_return std::nullopt;
}

void warnIfRestartNeeded(const std::string &fields, log::Log &log) {
  if (!fields.empty()) log.warning("some changed fields need a restart to take effect", {{"fields", fields}});
}

// Applies the settings file only if it has no errors. Throws ConfigError if the file cannot be read.
void applySettings(const ReloadableComponents &components, const bootstrap::BootstrapConfig &config,
                   log::Log &log) {
  const auto &path = components.options.settingsPath;
  if (path.empty()) return;
  const auto read = settings::readSettings(bootstrap::readFile(path), config.zoneNames);
  if (!read.errors.empty())
    return log.error("the new settings are not applied",
                     {{"why", settings::formatError(path, read.errors.front())}});
  warnIfRestartNeeded(settings::fieldsNeedingRestart(components.startedSettings, read.settings), log);
  if (!components.options.logLevels) components.logs.setLevels(read.settings.logLevels);
  if (components.dnsDiscovery != nullptr) components.dnsDiscovery->setServers(read.settings.dns.servers);
}

sched::Task<> applyReload(sched::Scheduler &sched, const ReloadableComponents &components, log::Log &log) {
  const auto config = co_await readConfigWithRetries(sched, components.options.configPath, log);
  if (!config) co_return;
  warnIfRestartNeeded(bootstrap::fieldsNeedingRestart(components.startedConfig, *config), log);
  components.endpointWatch.moveTo(config->discoveryAddress);
  components.rolloutClient.moveTo(config->platformAddress);
  try {
    applySettings(components, *config, log);
  } catch (const std::exception &e) {
    log.error("the new settings are not applied", {{"why", e.what()}});
  }
  log.info("configuration reloaded", {{"discovery", net::text(config->discoveryAddress)},
                                      {"platform", net::text(config->platformAddress)}});
}

} // namespace

sched::Task<> applyReloads(sched::Scheduler &sched, const ReloadableComponents &components,
                           ReloadRequest &request, log::Log &log) {
  for (;;) {
    while (!request.isPending) co_await sched.wait(request.requested);
    request.isPending = false;
    co_await applyReload(sched, components, log);
  }
}

} // namespace myrtlehead::app
