// What look-ups and the merged set came to, as metrics (prometheus-cpp).
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
  void query(bool tcp);
  void mishap(dns_resolution::Mishap what);
  void lookup(dns_resolution::Said said);
  void set(const endpoint_merge::MergeStatistics &figures);
  void staleness(double seconds); // of the oldest answer served past its lifetime; 0: none is

private:
  struct Families;
  std::unique_ptr<Families> f_;
};

} // namespace myrtlehead::dns_discovery
