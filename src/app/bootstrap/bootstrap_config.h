// The bootstrap configuration of one instance, in JSON: its identity, the addresses that it listens at and
// the addresses that it connects to. The whole configuration is validated before anything else starts.
#pragma once

#include "app/bootstrap/deployment_decoder.h"
#include "base/net/socket.h"

namespace myrtlehead::bootstrap {

struct BootstrapConfig {
  std::string name;
  net::Address listenAddress;
  net::Address discoveryAddress;
  net::Address platformAddress;
  net::Address peerListenAddress;          // default-constructed if the deployment has no peers
  net::Address allPeersAddress;            // reaches all peers at once; default-constructed if there is none
  std::vector<net::Address> peerAddresses; // indexed by instance
  std::uint64_t seed = 0;                  // seeds all random number generators
  int maxDescriptors = 0;
  std::size_t memoryBytes = 0;
  Deployment deployment;
  std::vector<std::string> routeNames;      // indexed by route
  std::vector<std::string> zoneNames;       // indexed by zone
  std::vector<std::string> loadReportNames; // indexed as Deployment::loadReportFields
  std::vector<Nanoseconds> routeTimeouts;   // indexed by route
  Nanoseconds connectTimeout = 0;           // timeout of connecting to an endpoint
  Nanoseconds idleTimeout = 0;              // after which an idle connection to an endpoint is closed
  Nanoseconds controlCallTimeout = 0;       // timeout of a call to the platform
  json::Value knownEndpoints; // initial endpoint list in discovery's format; null if none is given
  json::Value rolloutState;   // initial rollout state in the platform's format; null if none is given
  json::Value document;       // the whole configuration as parsed
};

// Decodes and validates a configuration. Throws ConfigError at the first field that is missing, has the wrong
// type or is out of range.
BootstrapConfig readBootstrapConfig(std::string_view text);

// Returns the content of the file. Throws ConfigError if the file cannot be read or is empty.
std::string readFile(const std::string &path);

// Returns the names, joined by ", ", of the fields that differ and that a running instance cannot change; ""
// if there are none. Fields that are read only at startup and never again (seed, known, news) are not
// included.
std::string fieldsNeedingRestart(const BootstrapConfig &started, const BootstrapConfig &reloaded);

} // namespace myrtlehead::bootstrap
