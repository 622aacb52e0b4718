// An installation's own settings, in TOML: what the platform's configuration has no place for. Read and
// checked whole; each fault says where it is, what was expected and what was found.
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
  std::optional<net::Address> metricsAddress; // where metrics are served; none: nowhere
  std::string stateFolder;                    // "": no state is stored
  dns_discovery::DnsSettings dns;
  std::optional<cluster::Membership> cluster; // none: no thread, socket or file of it exists
};

struct SettingsFault {
  int line = 0;    // from 1; 0: the file as a whole
  std::string key; // with its path, such as "names.set[0].release"; "": none in particular
  std::string what;
};
std::string text(const std::string &file, const SettingsFault &fault); // "FILE:LINE: KEY: WHAT"

struct SettingsResult {
  Settings settings;                 // of use only where there is no fault
  std::vector<SettingsFault> faults; // by line
};

// Reads the text of a settings file; never throws for what stands in it. `zones`: the deployment's zone
// names, one of which a set's zone must be; empty: any name passes as an unknown zone.
SettingsResult readSettings(std::string_view text, const std::vector<std::string> &zones);

// The keys, joined by ", ", that differ and that a running instance can't change; "" for none.
std::string fieldsNeedingRestart(const Settings &from, const Settings &to);

// "250ms", "1.5s", "10m", "1h", "3d" in ns; nullopt: not a duration, or one beyond 100 years.
std::optional<sched::Nanoseconds> parseDuration(std::string_view text);

} // namespace myrtlehead::settings
