// Merges the endpoint list of discovery and DNS records into one set of endpoints, by the table in
// docs/dns-srv.md. Its parts are endpoint_list (entries and removed addresses of the list), srv_record_set
// with loss_retention and flap_damping (targets of SRV names), host_addresses (addresses of the targets'
// hosts) and address_memory. It does no I/O and reads no clock: times are those of the instance's clock, in
// nanoseconds.
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
  // How long an address that the list has removed stays out of service after DNS records last contained it.
  Nanoseconds departedMemoryTime = 3600 * kSecond;
  bool operator==(const MergeSettings &) const = default;
};

// Statistics of the latest merge: its size, disagreements between the endpoint list and DNS records, and
// whether its sources are up to date.
struct MergeStatistics {
  std::size_t endpoints = 0;        // endpoints in service
  std::size_t listed = 0;           // endpoints that the list has in service
  std::size_t inDns = 0;            // addresses that DNS records contain
  std::size_t drainingButInDns = 0; // draining or removed by the list, but still in DNS records
  std::size_t listedNotInDns = 0;   // in service according to the list, but missing from DNS records
  std::size_t addressesWithTwoNames = 0;
  std::size_t buildMismatches = 0;   // endpoints whose list entry and DNS records give different builds
  std::size_t unresolvedTargets = 0; // SRV targets without an address
  std::size_t suppressedTargets = 0; // SRV targets suppressed by flap damping
  std::size_t retainedTargets = 0;   // SRV targets retained until their loss is confirmed
  std::size_t unknownBuilds = 0;     // endpoints whose build is not known
  std::size_t priorityGroups = 0;
  int staleSets = 0;         // SRV record sets whose TTL has ended
  int expiredSets = 0;       // SRV record sets whose TTL and stale time have ended
  int emptySets = 0;         // SRV record sets that are confirmed to be empty
  bool isLastResort = false; // whether endpoints come from expired or empty record sets
  bool isListDown = false;
};

class EndpointMerge {
public:
  // `staleTime`: how long an answer is used after its TTL has ended. `homeZone`: the zone of endpoints
  // without a known zone. `subset`: selects the targets that this instance uses.
  EndpointMerge(MergeSettings settings, Nanoseconds staleTime, int homeZone, subsetting::Subset subset)
      : settings_(settings), staleTime_(staleTime), homeZone_(homeZone), targetSubset_(subset),
        listSubset_(std::move(subset)) {}

  // Adds an SRV name and returns the index of its record set. `release`, `zone`: defaults for endpoints
  // without a release or zone of their own; -1: unknown.
  std::size_t addSrvName(std::string name, int release, int zone);

  // Applies the result of a look-up of an SRV name. `validUntil`: the end of the answer's TTL.
  NextLookup onSrvAnswer(std::size_t set, DnsRecordsResult result, const std::vector<Target> &targets,
                         Nanoseconds validUntil, Nanoseconds now);
  // Applies the result of a look-up of a host's addresses.
  NextLookup onAddressAnswer(const std::string &host, DnsRecordsResult result,
                             std::vector<std::string> addresses);
  // Applies the release given by a host's TXT record; -1: the record gives none.
  void onReleaseAnswer(const std::string &host, int release) { hosts_.setRelease(host, release); }

  void onEndpointList(const std::vector<Entry> &entries, ListUpdate kind, Nanoseconds now);
  void onEndpointListFailed() { list_.onFailed(); }

  // Returns the merged set: endpoints that are in service or draining. Each address occurs once.
  std::vector<Entry> mergedEndpoints(Nanoseconds now);
  // Returns the earliest time after `now` at which mergedEndpoints() may change without a new answer or
  // update; kNever if there is none.
  Nanoseconds nextChange(Nanoseconds now) const;
  struct HostLookup {
    std::string host;
    bool needsRelease = false; // whether its TXT record is to be looked up too
  };
  // Returns the hosts whose addresses are needed, ordered by host name.
  std::vector<HostLookup> hostsToResolve();
  // Returns the statistics of the latest mergedEndpoints().
  const MergeStatistics &statistics() const { return statistics_; }

  Snapshot snapshot() const;
  // Restores the state from a snapshot, except for record sets whose names were not added. The endpoint list
  // counts as down until its first update.
  void restore(const Snapshot &snapshot, Nanoseconds now);

private:
  // The endpoint at one address that DNS records contain.
  struct DnsEndpoint {
    const SrvRecordSet *set;
    const TargetState *target;
    std::string name;
    int release;        // -1: unknown
    bool appearedLater; // not in the host's first answer
  };
  using DnsEndpoints = std::map<std::string, DnsEndpoint>; // by "address:port"
  // Which targets are eligible. `usual`: present targets of sets that have not expired. `lastResort`: also
  // the targets of expired and empty sets; used only if no other endpoint is in service.
  enum class Eligibility { usual, lastResort };

  void expireRetention(Nanoseconds now);
  void refreshDeparted(Nanoseconds now);
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
  subsetting::Subset listSubset_;   // of entries that are in the list only
  std::vector<SrvRecordSet> sets_;
  HostAddresses hosts_;
  EndpointList list_;
  EndpointStartTimes startTimes_;
  std::set<TargetKey> subsetTargets_; // valid if usesAllTargets_ is false
  bool isSubsetCurrent_ = false;
  bool usesAllTargets_ = true;
  MergeStatistics statistics_;
};

} // namespace myrtlehead::endpoint_merge
