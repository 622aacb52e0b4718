// Follows SRV names: carries out the look-ups that the refresh schedule asks for, passes their outcomes to
// the endpoint merge, and saves the merge's state on disk. Decides nothing about endpoints.
#pragma once

#include "base/log/log.h"
#include "base/storage/atomic_file.h"
#include "control/dns/metrics.h"
#include "control/dns/query_client.h"
#include "control/dns/settings.h"
#include "policy/dns_refresh_schedule.h"
#include "policy/endpoint_merge.h"

#include <functional>

namespace myrtlehead::dns_discovery {

// When the first look-ups are made.
enum class FirstLookups {
  immediate, // there is nothing to serve from yet
  spread,    // at random within DnsSettings::startSpread: there is something to serve from
};

class DnsDiscovery {
public:
  // `merge` and `settings` must outlive it; the names of `settings` are added to `merge`.
  DnsDiscovery(net::Scheduler &sched, net::DescriptorBudget &budget, endpoint_merge::EndpointMerge &merge,
               const DnsSettings &settings, std::uint64_t seed, log::Log log, DnsMetrics &metrics);

  // Called whenever the merged set may have changed; must have it merged anew.
  std::function<void()> onChange;
  // Runs for as long as the program does.
  net::Task<> run(FirstLookups first);
  // Queries these DNS servers from now on; an empty list leaves those in use.
  void setServers(std::vector<net::Address> servers);

  // Saves the state in this file from now on, and restores what it holds. `unixAtZero`: Unix time, in ns, at
  // which the clock read 0. False: nothing was restored; the reason is logged.
  bool openStateFile(const std::string &path, storage::FileIdentity identity, sched::Nanoseconds unixAtZero);
  void saveAtExit();

  // Whether each name and address has been looked up at least once, successfully or not.
  bool hasCompletedFirstLookups() const;
  const dns_resolution::RefreshSchedule &schedule() const { return schedule_; }
  // Why the latest look-up of an SRV name gave no targets, in words; "": it gave some, or none has finished.
  const std::string &lastFailure(std::size_t set) const { return lastFailures_[set]; }

private:
  struct Server {
    net::Address address;
    std::shared_ptr<TcpQueryClient> tcpClient;
  };
  using Servers = std::vector<std::unique_ptr<Server>>;

  net::Task<> lookUp(dns::Question question);
  net::Task<QueryResult> send(const dns_resolution::Query &query);
  void onOutcome(const dns::Question &question, const dns_resolution::LookupOutcome &outcome);
  void onSrvOutcome(std::size_t set, const dns::Question &question,
                    const dns_resolution::LookupOutcome &outcome);
  void onHostOutcome(const dns::Question &question, const dns_resolution::LookupOutcome &outcome);
  void onTxtOutcome(const std::string &host, const dns_resolution::LookupOutcome &outcome);
  void useAdditionalAddresses(const dns_resolution::LookupOutcome &outcome);
  void scheduleHosts();
  bool isGathering();
  void publish();
  void logCondition(const endpoint_merge::MergeStatistics &statistics);
  void saveIfDue();
  std::string encodedState() const;

  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  endpoint_merge::EndpointMerge &merge_;
  const DnsSettings &settings_;
  log::Log log_;
  DnsMetrics &metrics_;
  std::knuth_b random_;
  dns_resolution::RefreshSchedule schedule_;
  std::shared_ptr<Servers> servers_; // a look-up in flight keeps those that it began with
  std::shared_ptr<dns_resolution::DnsServers> serverStates_;
  std::vector<dns::Question> sets_;       // by the merge's index
  std::vector<std::string> lastFailures_; // by set
  std::vector<bool> hasOutcome_;          // by set
  std::map<std::string, bool> hosts_;     // scheduled; whether with their TXT records
  sched::Event lookupFinished_;
  bool needsPublishing_ = false;
  bool hasGathered_ = false;
  sched::Nanoseconds gatherUntil_ = 0; // set by the first outcome; 0: none yet
  sched::Nanoseconds publishedAt_ = 0;
  endpoint_merge::MergeStatistics loggedStatistics_;
  bool hasLoggedCondition_ = false;

  std::unique_ptr<storage::AtomicFileWriter> stateWriter_;
  std::string statePath_;
  storage::FileIdentity stateIdentity_;
  sched::Nanoseconds unixAtZero_ = 0;
  sched::Nanoseconds savedAt_ = 0;
  bool hasUnsavedState_ = false; // there was a successful outcome since the state was last saved
};

} // namespace myrtlehead::dns_discovery
