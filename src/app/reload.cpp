#include "app/reload.h"

#include <optional>

namespace myrtlehead::app {

namespace {

constexpr int kReadAttempts = 10;
constexpr Nanoseconds kReadRetryInterval = kSecond / 10;

// Guards against a file that is read while it is replaced: what can't be decoded is read again for a second.
sched::Task<std::optional<bootstrap::BootstrapConfig>>
readConfigWithRetries(sched::Scheduler &sched, const std::string &path, log::Log &log) {
  std::string why;
  for (int attempt = 0; attempt < kReadAttempts; ++attempt) {
    if (attempt > 0) co_await sched.sleep(kReadRetryInterval);
    try {
      co_return bootstrap::readBootstrapConfig(bootstrap::readFile(path));
    } catch (const std::exception &e) {
      why = e.what();
    }
  }
  log.error("the new configuration is not applied", {{"why", why}});
  co_return std::nullopt;
}

void warnOfRestart(const std::string &fields, log::Log &log) {
  if (!fields.empty()) log.warning("needs a restart to apply", {{"fields", fields}});
}

// Applies the settings file only if it has no fault. Throws where it can't be read.
void applySettings(const ReloadableParts &parts, const bootstrap::BootstrapConfig &config, log::Log &log) {
  const auto &path = parts.options.settingsPath;
  if (path.empty()) return;
  const auto read = settings::readSettings(bootstrap::readFile(path), config.zoneNames);
  if (!read.faults.empty())
    return log.error("the new settings are not applied",
                     {{"why", settings::text(path, read.faults.front())}});
  warnOfRestart(settings::needsRestart(parts.startedSettings, read.settings), log);
  if (!parts.options.logLevels) parts.logs.setLevels(read.settings.logLevels);
  if (parts.dnsDiscovery != nullptr) parts.dnsDiscovery->setServers(read.settings.dns.servers);
}

sched::Task<> applyReload(sched::Scheduler &sched, const ReloadableParts &parts, log::Log &log) {
  const auto config = co_await readConfigWithRetries(sched, parts.options.configPath, log);
  if (!config) co_return;
  warnOfRestart(bootstrap::needsRestart(parts.startedWith, *config), log);
  parts.endpointWatch.moveTo(config->discoveryAddress);
  parts.rolloutClient.moveTo(config->platformAddress);
  try {
    applySettings(parts, *config, log);
  } catch (const std::exception &e) {
    log.error("the new settings are not applied", {{"why", e.what()}});
  }
  log.info("configuration reloaded", {{"discovery", net::formatAddress(config->discoveryAddress)},
                                      {"platform", net::formatAddress(config->platformAddress)}});
}

} // namespace

sched::Task<> applyReloads(sched::Scheduler &sched, const ReloadableParts &parts, ReloadRequest &request,
                           log::Log &log) {
  for (;;) {
    while (!request.isPending) co_await sched.wait(request.requested);
    request.isPending = false;
    co_await applyReload(sched, parts, log);
  }
}

} // namespace myrtlehead::app
