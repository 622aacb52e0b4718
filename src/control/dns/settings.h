// Settings of DNS discovery, decoded from the settings file.
#pragma once

#include "base/net/socket.h"
#include "policy/dns_settings.h"
#include "policy/endpoint_merge.h"

#include <string>
#include <vector>

namespace myrtlehead::dns_discovery {

// One SRV name to look up. The release and zone are defaults for endpoints without their own.
struct SrvNameSettings {
  std::string name; // such as "_pg._tcp.maps.example"
  int release = -1; // -1: unknown
  int zone = -1;    // -1: unknown
  bool operator==(const SrvNameSettings &) const = default;
};

struct DnsSettings {
  std::vector<net::Address> servers; // addresses of DNS servers; empty: no look-ups
  std::vector<SrvNameSettings> srvNames;
  dns_resolution::ResolutionSettings resolution;
  endpoint_merge::MergeSettings merge;
  // Nanoseconds. The first look-ups start at random times within this period if endpoints are already known.
  sched::Nanoseconds startSpread = 2'000'000'000;
  int subsetSize = 0; // approximate number of endpoints that one instance uses; 0: all
};

} // namespace myrtlehead::dns_discovery
