// What an installation says about its name records; plain values, decoded once.
#pragma once

#include "base/net/socket.h"
#include "policy/dns_settings.h"
#include "policy/endpoint_merge.h"

#include <string>
#include <vector>

namespace myrtlehead::dns_discovery {

// One SRV name. Servers that it gives and that tell no build of their own have its `release`.
struct NamedSet {
  std::string name; // "_pg._tcp.maps.example"
  int release = -1; // -1: not told
  int zone = -1;    // -1: not told
  bool operator==(const NamedSet &) const = default;
};

struct DnsSettings {
  std::vector<net::Address> servers; // of names; empty: no look-ups
  std::vector<NamedSet> sets;
  dns_resolution::ResolutionSettings resolution;
  endpoint_merge::MergeSettings merge;
  sched::Nanoseconds startSpread =
      2'000'000'000; // ns; the first look-ups of a life fall within, if there is something to serve from
  int subset = 0;    // servers held by an instance, about; 0: all
};

} // namespace myrtlehead::dns_discovery
