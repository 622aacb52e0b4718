// Prometheus metrics of DNS look-ups and of the merged set of endpoints.
#pragma once

#include "policy/dns_lookup.h"
#include "policy/endpoint_merge.h"

#include <memory>
#include <string>

namespace prometheus {
class Registry;
}

namespace myrtlehead::dns_discovery {

class DnsMetrics {
public:
  explicit DnsMetrics(prometheus::Registry &registry);
  ~DnsMetrics();
  void onQuery(dns_resolution::Transport transport);
  void onQueryError(dns_resolution::QueryError error);
  void onLookupFinished(dns_resolution::LookupResult result);
  void setMergeStatistics(const endpoint_merge::MergeStatistics &statistics);
  // Sets the time since the TTL of the oldest answer in use ended; 0: no answer is stale.
  void setStaleness(double seconds);

private:
  struct Families;
  std::unique_ptr<Families> families_;
};

} // namespace myrtlehead::dns_discovery
