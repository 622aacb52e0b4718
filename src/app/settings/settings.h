// An installation's own settings, in TOML: what the platform's configuration has no place for. Read whole and
// checked whole; each fault says where it stands, what was expected and what stood there.
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
  log::Levels levels;
  log::Format form = log::Format::text;
  std::optional<net::Address> metrics; // where they are asked for
  std::string stateFolder;             // "": nothing is kept
  dns_discovery::DnsSettings naming;
  std::optional<cluster::Membership> fleet; // none: no thread, socket or file of it exists
};

struct Fault {
  int line = 0;    // 1 is the first; 0: the file as a whole
  std::string key; // "names.set[0].release"
  std::string what;
};
std::string text(const std::string &file, const Fault &fault); // "FILE:LINE: KEY: WHAT"

struct SettingsResult {
  Settings installation; // of use only where there is no fault
  std::vector<Fault> faults;
};
// `zones`: the deployment's, which a set's zone must name; empty: any is taken for unknown.
SettingsResult readSettings(std::string_view text, const std::vector<std::string> &zones);

// The keys that differ and that a running instance can't take up; "" for none.
std::string needsRestart(const Settings &from, const Settings &to);

// "250ms", "1.5s", "10m", "1h", "3d" in ns; nullopt: not a duration, or one beyond 100 years.
std::optional<sched::Nanoseconds> parseDuration(std::string_view text);

} // namespace myrtlehead::settings
