// One instance's bootstrap configuration, in JSON: who it is, where it listens and whom it calls. Read and
// checked whole before anything else starts.
#pragma once

#include "app/bootstrap/deployment_decoder.h"
#include "base/net/socket.h"

namespace myrtlehead::bootstrap {

struct BootstrapConfig {
  std::string name;
  net::Address listenAddress;
  net::Address discoveryAddress;
  net::Address platformAddress;
  net::Address peerListenAddress;          // default where the deployment has no peers
  net::Address allPeersAddress;            // stands for all peers at once; default: none does
  std::vector<net::Address> peerAddresses; // by the instances' indices
  std::uint64_t seed = 0;                  // of all random draws
  int maxDescriptors = 0;
  std::size_t memoryBytes = 0;
  Deployment deployment;
  std::vector<std::string> routeNames;      // by the routes' indices
  std::vector<std::string> zoneNames;       // by the zones' indices
  std::vector<std::string> loadReportNames; // by the indices of the deployment's load report fields
  std::vector<Nanoseconds> routeTimeouts;   // by the routes' indices
  Nanoseconds connectTimeout = 0;           // to an endpoint
  Nanoseconds idleTimeout = 0;              // of a connection to an endpoint
  Nanoseconds controlCallTimeout = 0;       // of a call on the platform
  json::Value knownEndpoints;               // in discovery's form; null: none
  json::Value rolloutState;                 // in the platform's form; null: none
  json::Value document;                     // the whole configuration
};

// Throws ConfigError at the first field that is missing, of another type or out of range.
BootstrapConfig readBootstrapConfig(std::string_view text);

// The whole file. Throws ConfigError where it can't be read or is empty.
std::string readFile(const std::string &path);

// The fields, joined by ", ", that differ and that a running instance can't change; "" for none. Fields that
// only a start reads (seed, known, news) do not count.
std::string fieldsNeedingRestart(const BootstrapConfig &from, const BootstrapConfig &to);

} // namespace myrtlehead::bootstrap
