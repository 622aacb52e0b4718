// The settings of an installation, in TOML. They complement the platform's configuration, which has no place
// for them. The whole file is validated; each error gives its position, what was expected and what was found.
#pragma once

#include "base/log/log.h"
#include "cluster/membership.h"
#include "control/dns/settings.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace myrtlehead::settings {

struct Settings {
  log::Levels logLevels;
  log::Format logForm = log::Format::text;
  std::optional<net::Address> metricsAddress; // metrics are not served if there is no address
  std::string stateFolder;                    // empty if no state is stored
  dns_discovery::DnsSettings dns;
  // Without a membership, no thread, socket or file of a cluster member exists.
  std::optional<cluster::Membership> cluster;
};

struct SettingsError {
  int line = 0;    // counted from 1; 0 if the error concerns the whole file
  std::string key; // the full path, such as "names.set[0].release"; empty if no single key is wrong
  std::string message;
};

// Returns "FILE:LINE: KEY: MESSAGE", without the parts that the error does not have.
std::string formatError(const std::string &file, const SettingsError &error);

struct SettingsResult {
  Settings settings;                 // valid only if there are no errors
  std::vector<SettingsError> errors; // sorted by line
};

// Decodes the text of a settings file. Errors in the text are returned, never thrown. `zones` lists the zone
// names of the deployment; the zone of an SRV name must be in it. If `zones` is empty, any name is accepted
// as an unknown zone.
SettingsResult readSettings(std::string_view text, const std::vector<std::string> &zones);

// Returns the keys, joined by ", ", that differ and that a running instance cannot change; "" if there are
// none.
std::string fieldsNeedingRestart(const Settings &started, const Settings &reloaded);

// Parses a duration such as "250ms", "1.5s", "10m", "1h" or "3d". Returns nullopt if the text is not a
// duration or is longer than 100 years.
std::optional<sched::Nanoseconds> parseDuration(std::string_view text);

} // namespace myrtlehead::settings
