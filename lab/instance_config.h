// Writes the configuration and the settings of a run's instances.
#pragma once

#include "lab/fleet.h"
#include "lab/scenario.h"

#include <string>

namespace myrtlehead::lab {

// The name of the records that list the fleet's servers.
constexpr const char *kServiceName = "_pg._tcp.maps.example";

// The files of one instance of a run.
struct InstanceFiles {
  InstanceFiles(const std::string &folder, std::size_t index);
  std::string config;
  std::string settings;
  std::string log;
  std::string stateFolder;
};

// The configuration for the fleet as it is now. `dnsServer`: "ADDRESS:PORT"; "": the instance follows no
// names. Makes the state folder where it does.
void writeInstanceConfig(const InstanceFiles &files, std::size_t index, const Scenario &scenario,
                         const Fleet &fleet, const std::string &dnsServer);

} // namespace myrtlehead::lab
