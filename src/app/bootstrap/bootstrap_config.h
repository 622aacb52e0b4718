// One instance's place: its configuration, read and checked before anything else starts.
#pragma once

#include "app/bootstrap/deployment_decoder.h"
#include "base/net/socket.h"

namespace myrtlehead::bootstrap {

struct BootstrapConfig {
  std::string name;
  net::Address listen, discovery, platform, peerListen, peersAll;
  std::vector<net::Address> peers; // by their numbers
  std::uint64_t seed = 0;
  int descriptors = 0;
  std::size_t memory = 0; // bytes
  Deployment deployment;
  std::vector<std::string> routes, zones, loadNames; // by their numbers
  std::vector<Nanoseconds> routeTimeouts;
  Nanoseconds connectWithin = 0, idleAtMost = 0, callWithin = 0;
  json::Value known, news; // in the forms of discovery and of the platform
  json::Value text;        // all of it
};

// Throws SetupError.
BootstrapConfig readStation(std::string_view text);
std::string readFile(const std::string &path);

// The fields of `to` that differ from `from` and that a running instance can't take up; "" for none. What a
// start alone reads (seed, known, news) does not count.
std::string needsRestart(const BootstrapConfig &from, const BootstrapConfig &to);

} // namespace myrtlehead::bootstrap
