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
        queryErrors(BuildCounter()
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
  prometheus::Family<prometheus::Counter> &queries, &queryErrors, &lookups;
  prometheus::Family<prometheus::Gauge> &servers, &disagreements, &conditions;
  prometheus::Gauge &staleness;
};

DnsMetrics::DnsMetrics(prometheus::Registry &registry) : families_(std::make_unique<Families>(registry)) {}
DnsMetrics::~DnsMetrics() = default;

void DnsMetrics::onQuery(dns_resolution::Transport transport) {
  const bool isTcp = transport == dns_resolution::Transport::tcp;
  families_->queries.Add({{"transport", isTcp ? "tcp" : "udp"}}).Increment();
}

void DnsMetrics::onQueryError(dns_resolution::QueryError error) {
  constexpr const char *kLabels[] = {"timed_out", "unreachable", "unreadable", "broken"};
  families_->queryErrors.Add({{"kind", kLabels[static_cast<int>(error)]}}).Increment();
}

void DnsMetrics::onLookupFinished(dns_resolution::LookupResult result) {
  constexpr const char *kLabels[] = {"records", "denied", "empty", "failed"};
  families_->lookups.Add({{"result", kLabels[static_cast<int>(result)]}}).Increment();
}

void DnsMetrics::setStaleness(double seconds) { families_->staleness.Set(seconds); }

void DnsMetrics::setMergeStatistics(const endpoint_merge::MergeStatistics &s) {
  const auto put = [](auto &family, const char *label, const char *value, auto figure) {
    family.Add({{label, value}}).Set(static_cast<double>(figure));
  };
  put(families_->servers, "by", "set", s.endpoints);
  put(families_->servers, "by", "list", s.listed);
  put(families_->servers, "by", "names", s.inDns);
  put(families_->servers, "by", "unresolved", s.unresolvedTargets);
  put(families_->servers, "by", "unknown_build", s.unknownBuilds);
  put(families_->disagreements, "kind", "drained_but_named", s.drainingButInDns);
  put(families_->disagreements, "kind", "listed_not_named", s.listedNotInDns);
  put(families_->disagreements, "kind", "two_names", s.addressesWithTwoNames);
  put(families_->disagreements, "kind", "builds_differ", s.buildMismatches);
  put(families_->conditions, "kind", "damped", s.suppressedTargets);
  put(families_->conditions, "kind", "held", s.retainedTargets);
  put(families_->conditions, "kind", "stale_sets", s.staleSets);
  put(families_->conditions, "kind", "expired_sets", s.expiredSets);
  put(families_->conditions, "kind", "denied_sets", s.emptySets);
  put(families_->conditions, "kind", "last_resort", s.isLastResort);
  put(families_->conditions, "kind", "list_down", s.isListDown);
}

} // namespace myrtlehead::dns_discovery
