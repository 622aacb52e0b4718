// Types and limits shared by the parts of the endpoint merge: entries of the endpoint list, SRV targets and
// results of DNS look-ups.
#pragma once

#include "policy/endpoint.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

namespace myrtlehead::endpoint_merge {

// Maximum number of targets of one record set, and of addresses that are remembered.
constexpr std::size_t kMaxEndpoints = 20'000;

// Maximum number of addresses used for one host.
constexpr std::size_t kMaxAddressesPerHost = 4;

// One endpoint of the endpoint list or of the merged set.
struct Entry {
  std::string name;
  std::string address; // "host:port", where the host is an IP address
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

// Result of a DNS look-up, as the endpoint merge distinguishes results.
enum class DnsRecordsResult {
  records,
  nxDomain,     // the name does not exist
  noData,       // the name has no records of the type
  notAvailable, // the SRV target is ".": the zone states that the service is not available (RFC 2782)
  failed,       // there was no answer, so nothing is known about the endpoints
};

// When a name is to be looked up again.
enum class NextLookup {
  onSchedule, // before its TTL ends
  soon,       // earlier, to confirm that endpoints or addresses have been removed
};

} // namespace myrtlehead::endpoint_merge
