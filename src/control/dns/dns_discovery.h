// Discovers endpoints through SRV names: performs the look-ups of the refresh schedule, passes their outcomes
// to the endpoint merge, and saves the merge's state on disk. The merge decides which endpoints are in
// service.
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

// When the first look-ups are started.
enum class FirstLookups {
  immediate, // within a short time, because no endpoint is known yet
  spread,    // at random times within DnsSettings::startSpread, because endpoints are already known
};

class DnsDiscovery {
public:
  // `merge` and `settings` must outlive this object. The SRV names of `settings` are added to `merge`.
  DnsDiscovery(net::Scheduler &sched, net::DescriptorBudget &budget, endpoint_merge::EndpointMerge &merge,
               const DnsSettings &settings, std::uint64_t seed, log::Log log, DnsMetrics &metrics);

  // Called whenever the merged set may have changed. The callback must call EndpointMerge::mergedEndpoints().
  std::function<void()> onChange;
  // Performs look-ups. Does not return.
  net::Task<> run(FirstLookups first);
  // Replaces the DNS servers for later look-ups. An empty list has no effect.
  void setServers(std::vector<net::Address> servers);

  // Restores the state from the file, if it exists, and saves the state there from now on. `unixAtZero`: Unix
  // time, in nanoseconds, at which the scheduler's clock read 0. Returns false if no state was restored; a
  // file that cannot be used is logged.
  bool openStateFile(const std::string &path, storage::FileIdentity identity, sched::Nanoseconds unixAtZero);
  // Saves the state before the program exits, if a state file is open and an endpoint is known.
  void saveAtExit();

  // Returns whether each name and address has been looked up at least once, successfully or not.
  bool hasCompletedFirstLookups() const;
  const dns_resolution::RefreshSchedule &schedule() const { return schedule_; }
  // Returns why the latest look-up of an SRV name gave no targets; "" if it gave targets or no look-up has
  // finished. `set`: index of the name in DnsSettings::srvNames.
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
  bool isInitialWait();
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
  // Shared with look-ups in flight, which keep the servers that they started with.
  std::shared_ptr<Servers> servers_;
  std::shared_ptr<dns_resolution::DnsServers> serverStates_;
  std::vector<dns::Question> srvQuestions_; // by index of the record set in merge_
  std::vector<std::string> lastFailures_;   // by record set
  std::vector<bool> hasOutcome_;            // by record set
  std::map<std::string, bool> hosts_;       // scheduled hosts; true: their TXT records are looked up too
  sched::Event lookupFinished_;
  bool needsPublishing_ = false;
  bool isInitialWaitOver_ = false;
  sched::Nanoseconds initialWaitEnd_ = 0; // set by the first outcome; 0: no outcome yet
  sched::Nanoseconds publishedAt_ = 0;
  endpoint_merge::MergeStatistics loggedStatistics_;
  bool hasLoggedCondition_ = false;

  std::unique_ptr<storage::AtomicFileWriter> stateWriter_;
  std::string statePath_;
  storage::FileIdentity stateIdentity_;
  sched::Nanoseconds unixAtZero_ = 0;
  sched::Nanoseconds savedAt_ = 0;
  bool hasUnsavedState_ = false; // whether a look-up has succeeded since the state was last saved
};

} // namespace myrtlehead::dns_discovery
