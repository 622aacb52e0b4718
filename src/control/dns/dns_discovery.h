// Follows name records: carries out what the agenda and the look-ups ask for, tells the sources what came,
// and keeps their state on disk. Decides nothing.
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

class DnsDiscovery {
public:
  // `naming` and `sources` must live as long.
  DnsDiscovery(net::Scheduler &sched, net::DescriptorBudget &budget, endpoint_merge::EndpointMerge &sources,
               const DnsSettings &naming, std::uint64_t seed, log::Log log, DnsMetrics &counters);

  // Called whenever the merged set may have changed; asks the sources for it.
  std::function<void()> changed;
  net::Task<>
  run(bool mayWait); // follows for as long as the program lives; mayWait: there is something to serve from
  void serversMoved(std::vector<net::Address> servers);

  // Keeps the state in this file from now on, as `kind`; takes up what stands there. False: nothing was taken
  // up.
  bool keepIn(const std::string &path, storage::Kind kind, sched::Nanoseconds unixAtZero);
  void saveNow(); // at the program's end

  // For whoever asks once: whether every set and address has had an answer, or has failed once.
  bool settled() const;
  const dns_resolution::RefreshSchedule &agenda() const { return agenda_; }
  const std::string &lastFailure(std::size_t set) const { return lastFailure_[set]; }

private:
  struct Server {
    net::Address at;
    std::shared_ptr<TcpLine> line;
  };
  net::Task<> flight(dns::Question question);
  net::Task<Asked> ask(const dns_resolution::Ask &ask);
  void settle(const dns::Question &question, const dns_resolution::Answer &answer);
  void settleSet(std::size_t set, const dns::Question &question, const dns_resolution::Answer &answer);
  void settleHost(const dns::Question &question, const dns_resolution::Answer &answer);
  void wantHosts();
  void takeAdditional(const dns_resolution::Answer &answer);
  bool gathering();
  void publish();
  void tellMode(const endpoint_merge::MergeStatistics &now);
  void keep();
  sched::Nanoseconds keepAt(bool whole) const;
  std::string sealed() const;

  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  endpoint_merge::EndpointMerge &sources_;
  const DnsSettings &naming_;
  log::Log log_;
  DnsMetrics &counters_;
  std::knuth_b chance_;
  dns_resolution::RefreshSchedule agenda_;
  std::shared_ptr<std::vector<std::unique_ptr<Server>>> servers_; // a flight keeps those that it began with
  std::shared_ptr<dns_resolution::NameServers> health_;
  std::vector<dns::Question> sets_; // by the sources' numbers
  std::vector<std::string> lastFailure_;
  std::vector<bool> heard_; // by set: answered or failed once
  std::map<std::string, bool> hosts_;
  sched::Event touched_;
  bool changed_ = false, gathered_ = false;
  sched::Nanoseconds gatherUntil_ = 0; // of the first answer; 0: none yet
  sched::Nanoseconds publishedAt_ = 0;
  endpoint_merge::MergeStatistics mode_;
  bool moded_ = false;

  std::unique_ptr<storage::Writer> writer_;
  std::string path_;
  storage::Kind kind_;
  sched::Nanoseconds unixAtZero_ = 0, keptAt_ = 0;
  bool unkept_ = false; // something good was told since the state was last kept
};

} // namespace myrtlehead::dns_discovery
