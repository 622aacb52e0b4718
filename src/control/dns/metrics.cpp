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
                    .Help("DNS queries sent, by transport")
                    .Register(r)),
        queryErrors(BuildCounter()
                        .Name("myrtlehead_names_mishaps_total")
                        .Help("DNS queries without a usable response, by kind of error")
                        .Register(r)),
        lookups(BuildCounter()
                    .Name("myrtlehead_names_lookups_total")
                    .Help("Finished DNS look-ups, by result")
                    .Register(r)),
        servers(BuildGauge()
                    .Name("myrtlehead_names_servers")
                    .Help("Endpoints in the merged set, the endpoint list and DNS records; unresolved SRV "
                          "targets; endpoints of unknown build")
                    .Register(r)),
        disagreements(
            BuildGauge()
                .Name("myrtlehead_names_disagreements")
                .Help(
                    "Endpoints on which the endpoint list and DNS records disagree, by kind of disagreement")
                .Register(r)),
        conditions(
            BuildGauge()
                .Name("myrtlehead_names_condition")
                .Help(
                    "Conditions of the merged endpoint set, by kind: a count, or 1 while the condition holds")
                .Register(r)),
        staleness(
            BuildGauge()
                .Name("myrtlehead_names_stale_seconds")
                .Help("Seconds since the TTL of the oldest DNS answer in use ended; 0 if no answer is stale")
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
  const auto setGauge = [](auto &family, const char *label, const char *labelValue, auto value) {
    family.Add({{label, labelValue}}).Set(static_cast<double>(value));
  };
  setGauge(families_->servers, "by", "set", s.endpoints);
  setGauge(families_->servers, "by", "list", s.listed);
  setGauge(families_->servers, "by", "names", s.inDns);
  setGauge(families_->servers, "by", "unresolved", s.unresolvedTargets);
  setGauge(families_->servers, "by", "unknown_build", s.unknownBuilds);
  setGauge(families_->disagreements, "kind", "drained_but_named", s.drainingButInDns);
  setGauge(families_->disagreements, "kind", "listed_not_named", s.listedNotInDns);
  setGauge(families_->disagreements, "kind", "two_names", s.addressesWithTwoNames);
  setGauge(families_->disagreements, "kind", "builds_differ", s.buildMismatches);
  setGauge(families_->conditions, "kind", "damped", s.suppressedTargets);
  setGauge(families_->conditions, "kind", "held", s.retainedTargets);
  setGauge(families_->conditions, "kind", "stale_sets", s.staleSets);
  setGauge(families_->conditions, "kind", "expired_sets", s.expiredSets);
  setGauge(families_->conditions, "kind", "denied_sets", s.emptySets);
  setGauge(families_->conditions, "kind", "last_resort", s.isLastResort);
  setGauge(families_->conditions, "kind", "list_down", s.isListDown);
}

} // namespace myrtlehead::dns_discovery
