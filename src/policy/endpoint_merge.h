// Merges the endpoint list of discovery and DNS records into one set of endpoints, by the rule that
// docs/dns-srv.md tabulates. The parts: endpoint_list (the list and what it removed), srv_record_set with
// loss_retention and flap_damping (targets of SRV names), host_addresses (their addresses), address_memory.
// No I/O, no clock of its own: times are the instance's, in nanoseconds.
#pragma once

#include "policy/endpoint_list.h"
#include "policy/endpoint_merge_snapshot.h"
#include "policy/host_addresses.h"
#include "policy/rollout_types.h"
#include "policy/srv_record_set.h"
#include "policy/subsetting.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace myrtlehead::endpoint_merge {

struct MergeSettings {
  LossRetentionSettings lossRetention;
  FlapDampingSettings flapDamping;
  // For how long an address that the list has removed stays out after DNS records last had it.
  Nanoseconds departedMemoryTime = 3600 * kSecond;
  bool operator==(const MergeSettings &) const = default;
};

// Counts of the latest merge: its size, on what list and DNS records disagree, its condition.
struct MergeStatistics {
  std::size_t endpoints = 0;        // in service
  std::size_t listed = 0;           // in service by the list
  std::size_t inDns = 0;            // addresses by DNS records
  std::size_t drainingButInDns = 0; // draining or removed by the list, still in DNS records
  std::size_t listedNotInDns = 0;   // in service by the list, missing from DNS records
  std::size_t addressesWithTwoNames = 0;
  std::size_t buildMismatches = 0;   // list and DNS records give different builds
  std::size_t unresolvedTargets = 0; // targets without an address
  std::size_t suppressedTargets = 0; // by flap damping
  std::size_t retainedTargets = 0;   // of a sudden loss that is not confirmed
  std::size_t unknownBuilds = 0;
  std::size_t priorityGroups = 0;
  int staleSets = 0;         // SRV record sets past their TTL
  int expiredSets = 0;       // past their TTL and the stale time
  int emptySets = 0;         // confirmed to be empty
  bool isLastResort = false; // endpoints are served from expired or empty sets
  bool isListDown = false;
};

class EndpointMerge {
public:
  // `staleTime`: how long past its TTL an answer serves. `homeZone`: of endpoints without a known zone.
  // `subset`: which targets this instance uses.
  EndpointMerge(MergeSettings settings, Nanoseconds staleTime, int homeZone, subsetting::Subset subset)
      : settings_(settings), staleTime_(staleTime), homeZone_(homeZone), targetSubset_(subset),
        listSubset_(std::move(subset)) {}

  // Adds an SRV name and returns its index. `release`, `zone`: of endpoints that have none of their own; -1:
  // unknown.
  std::size_t addSrvName(std::string name, int release, int zone);

  // The result of a look-up of an SRV name, valid until `validUntil`.
  NextLookup onSrvAnswer(std::size_t set, DnsRecordsResult result, const std::vector<Target> &targets,
                         Nanoseconds validUntil, Nanoseconds now);
  // The result of a look-up of a target's addresses.
  NextLookup onAddressAnswer(const std::string &host, DnsRecordsResult result,
                             std::vector<std::string> addresses);
  // The release that a host's TXT record gives; -1: none.
  void onReleaseAnswer(const std::string &host, int release) { hosts_.setRelease(host, release); }

  void onEndpointList(const std::vector<Entry> &entries, ListUpdate kind, Nanoseconds now);
  void onEndpointListFailed() { list_.onFailed(); }

  // The merged set: endpoints in service and draining ones, each address once, ordered by name.
  std::vector<Entry> mergedEndpoints(Nanoseconds now);
  // When mergedEndpoints() changes without a new answer or update, at the earliest; always after `now`.
  Nanoseconds nextChange(Nanoseconds now) const;
  struct HostLookup {
    std::string host;
    bool needsRelease = false; // its TXT record is wanted too
  };
  std::vector<HostLookup> hostsToResolve();                         // ordered by host
  const MergeStatistics &statistics() const { return statistics_; } // of the latest mergedEndpoints()

  Snapshot snapshot() const;
  // Only sets whose names were added are restored; the list counts as down until its first update.
  void restore(const Snapshot &snapshot, Nanoseconds now);

private:
  struct DnsEndpoint { // one address by DNS records
    const SrvRecordSet *set;
    const TargetState *target;
    std::string name;
    int release; // -1: unknown
    bool isLater;
  };
  using DnsEndpoints = std::map<std::string, DnsEndpoint>; // by "address:port"
  // Which targets are served: those that are present; or, where nothing else serves, also those of expired
  // and empty sets.
  enum class Eligibility { usual, lastResort };

  void expireRetention(Nanoseconds now);
  void mentionDeparted(Nanoseconds now);
  void forgetRemoved(Nanoseconds now);
  void selectSubset();
  bool isInSubset(const TargetKey &key) const { return usesAllTargets_ || subsetTargets_.contains(key); }
  void addAddressesOf(const SrvRecordSet &set, const TargetKey &key, const TargetState &target,
                      DnsEndpoints &out);
  DnsEndpoints eligibleDnsEndpoints(Eligibility eligibility, Nanoseconds now);
  EndpointInfo infoFor(const std::string &address, const DnsEndpoint &endpoint, Nanoseconds now);
  void addListed(const DnsEndpoints &inDns, std::vector<Entry> &out);
  void addDnsOnly(const DnsEndpoints &inDns, std::vector<Entry> &out, Nanoseconds now);
  void assignPriorityGroups(std::vector<Entry> &out, const DnsEndpoints &inDns) const;
  void summarize(const std::vector<Entry> &out, const DnsEndpoints &inDns, Nanoseconds now);

  MergeSettings settings_;
  Nanoseconds staleTime_;
  int homeZone_;
  subsetting::Subset targetSubset_; // of SRV targets
  subsetting::Subset listSubset_;   // of entries that only the list has
  std::vector<SrvRecordSet> sets_;
  HostAddresses hosts_;
  EndpointList list_;
  FirstSightings firstSightings_;
  std::set<TargetKey> subsetTargets_; // where not all targets are used
  bool isSubsetCurrent_ = false;
  bool usesAllTargets_ = true;
  MergeStatistics statistics_;
};

} // namespace myrtlehead::endpoint_merge
