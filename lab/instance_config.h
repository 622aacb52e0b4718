// Writes the configuration and the settings files of a run's instances.
#pragma once

#include "lab/fleet.h"
#include "lab/scenario.h"

#include <string>

namespace myrtlehead::lab {

// The name of the SRV records that list the fleet's nodes.
constexpr const char *kServiceName = "_pg._tcp.maps.example";

// The files of one instance of a run.
struct InstanceFiles {
  InstanceFiles(const std::string &folder, std::size_t index);
  std::string config;
  std::string settings;
  std::string log;
  std::string stateFolder;
};

// Writes the configuration for the current state of the fleet, and the settings. `dnsServer` is
// "ADDRESS:PORT"; if it is empty, the instance uses no DNS discovery. Otherwise creates the state folder.
void writeInstanceConfig(const InstanceFiles &files, std::size_t index, const Scenario &scenario,
                         const Fleet &fleet, const std::string &dnsServer);

} // namespace myrtlehead::lab
