// Values that the parts of the endpoint merge share: entries of the endpoint list, SRV targets, results of
// DNS look-ups, limits.
#pragma once

#include "policy/endpoint.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

namespace myrtlehead::endpoint_merge {

// Limit for the endpoints that DNS records may give, and for the departed addresses that are remembered.
constexpr std::size_t kMaxEndpoints = 20'000;

// How many addresses of one host are used.
constexpr std::size_t kMaxAddressesPerHost = 4;

// One endpoint as the endpoint list has it, or as the merge returns it.
struct Entry {
  std::string name;
  std::string address; // "host:port", the host an IP address
  EndpointInfo info;
};

// The target of one SRV record.
struct Target {
  std::string host;
  std::uint16_t port = 0;
  int priority = 0;
  int weight = 0;
};

// Identifies a target within a record set: host and port.
using TargetKey = std::pair<std::string, std::uint16_t>;

// Result of a DNS look-up, as far as the merge tells results apart.
enum class DnsRecordsResult {
  records,
  nxDomain,     // the name does not exist
  noData,       // the name has no records of the type
  notAvailable, // SRV target ".": the service is decidedly not available (RFC 2782)
  failed,       // no answer: says nothing about the endpoints
};

// When a name is to be looked up again.
enum class NextLookup {
  onSchedule, // by its TTL
  soon,       // earlier, to confirm that endpoints or addresses are gone
};

} // namespace myrtlehead::endpoint_merge
