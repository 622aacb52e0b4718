// Settings of DNS discovery; plain values, decoded once.
#pragma once

#include "base/net/socket.h"
#include "policy/dns_settings.h"
#include "policy/endpoint_merge.h"

#include <string>
#include <vector>

namespace myrtlehead::dns_discovery {

// One SRV name that is followed. Its release and zone hold for endpoints that have none of their own.
struct SrvNameSettings {
  std::string name; // "_pg._tcp.maps.example"
  int release = -1; // -1: unknown
  int zone = -1;    // -1: unknown
  bool operator==(const SrvNameSettings &) const = default;
};

struct DnsSettings {
  std::vector<net::Address> servers; // DNS servers; empty: no look-ups
  std::vector<SrvNameSettings> srvNames;
  dns_resolution::ResolutionSettings resolution;
  endpoint_merge::MergeSettings merge;
  // Nanoseconds. The first look-ups fall within this time, if there is something to serve from meanwhile.
  sched::Nanoseconds startSpread = 2'000'000'000;
  int subsetSize = 0; // endpoints that one instance uses, about; 0: all
};

} // namespace myrtlehead::dns_discovery
