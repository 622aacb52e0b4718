#include "control/dns/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

namespace myrtlehead::dns_discovery {

using prometheus::BuildCounter;
using prometheus::BuildGauge;

struct DnsMetrics::Families {
  explicit Families(prometheus::Registry &r)
      : queries(BuildCounter()
                    .Name("myrtlehead_names_queries_total")
                    .Help("Queries sent to servers of names")
                    .Register(r)),
        mishaps(BuildCounter()
                    .Name("myrtlehead_names_mishaps_total")
                    .Help("Queries without a usable answer")
                    .Register(r)),
        lookups(BuildCounter()
                    .Name("myrtlehead_names_lookups_total")
                    .Help("Look-ups by what they came to")
                    .Register(r)),
        servers(BuildGauge().Name("myrtlehead_names_servers").Help("Servers by who names them").Register(r)),
        disagreements(BuildGauge()
                          .Name("myrtlehead_names_disagreements")
                          .Help("Servers on which list and names disagree")
                          .Register(r)),
        conditions(BuildGauge()
                       .Name("myrtlehead_names_condition")
                       .Help("Of the set: 1 while it lasts, or a count")
                       .Register(r)),
        staleness(BuildGauge()
                      .Name("myrtlehead_names_stale_seconds")
                      .Help("Time since the end of the oldest lifetime that is served on")
                      .Register(r)
                      .Add({})) {}
  prometheus::Family<prometheus::Counter> &queries, &mishaps, &lookups;
  prometheus::Family<prometheus::Gauge> &servers, &disagreements, &conditions;
  prometheus::Gauge &staleness;
};

DnsMetrics::DnsMetrics(prometheus::Registry &registry) : f_(std::make_unique<Families>(registry)) {}
DnsMetrics::~DnsMetrics() = default;

void DnsMetrics::query(bool tcp) { f_->queries.Add({{"transport", tcp ? "tcp" : "udp"}}).Increment(); }

void DnsMetrics::mishap(dns_resolution::Mishap what) {
  constexpr const char *kWords[] = {"timed_out", "unreachable", "unreadable", "broken"};
  f_->mishaps.Add({{"kind", kWords[static_cast<int>(what)]}}).Increment();
}

void DnsMetrics::lookup(dns_resolution::Said said) { f_->lookups.Add({{"result", word(said)}}).Increment(); }

void DnsMetrics::staleness(double seconds) { f_->staleness.Set(seconds); }

void DnsMetrics::set(const endpoint_merge::MergeStatistics &f) {
  const auto put = [](auto &family, const char *label, const char *value, auto figure) {
    family.Add({{label, value}}).Set(static_cast<double>(figure));
  };
  put(f_->servers, "by", "set", f.endpoints);
  put(f_->servers, "by", "list", f.listed);
  put(f_->servers, "by", "names", f.inDns);
  put(f_->servers, "by", "unresolved", f.unresolvedTargets);
  put(f_->servers, "by", "unknown_build", f.unknownBuilds);
  put(f_->disagreements, "kind", "drained_but_named", f.drainingButInDns);
  put(f_->disagreements, "kind", "listed_not_named", f.listedNotInDns);
  put(f_->disagreements, "kind", "two_names", f.addressesWithTwoNames);
  put(f_->disagreements, "kind", "builds_differ", f.buildMismatches);
  put(f_->conditions, "kind", "damped", f.suppressedTargets);
  put(f_->conditions, "kind", "held", f.retainedTargets);
  put(f_->conditions, "kind", "stale_sets", f.staleSets);
  put(f_->conditions, "kind", "expired_sets", f.expiredSets);
  put(f_->conditions, "kind", "denied_sets", f.emptySets);
  put(f_->conditions, "kind", "last_resort", f.isLastResort);
  put(f_->conditions, "kind", "list_down", f.isListDown);
}

} // namespace myrtlehead::dns_discovery
