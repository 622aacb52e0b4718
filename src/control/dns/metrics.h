// Metrics of DNS look-ups and of the merged set of endpoints (prometheus-cpp).
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
  void setStaleness(double seconds); // of the oldest answer served past its TTL; 0: there is none

private:
  struct Families;
  std::unique_ptr<Families> families_;
};

} // namespace myrtlehead::dns_discovery
