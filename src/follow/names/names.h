// Follows name records: carries out what the agenda and the look-ups ask for, tells the sources what came,
// and keeps their state on disk. Decides nothing.
#pragma once

#include "base/log/log.h"
#include "base/store/store.h"
#include "decide/resolver/agenda.h"
#include "decide/sources/sources.h"
#include "follow/names/asking.h"
#include "follow/names/counters.h"
#include "follow/names/naming.h"

#include <functional>

namespace myrtlehead::names {

class Names {
public:
  // `naming` and `sources` must live as long.
  Names(net::Scheduler &sched, net::Descriptors &budget, sources::Sources &sources, const Naming &naming,
        std::uint64_t seed, log::Log log, Counters &counters);

  // Called whenever the merged set may have changed; asks the sources for it.
  std::function<void()> changed;
  net::Task<>
  run(bool mayWait); // follows for as long as the program lives; mayWait: there is something to serve from
  void serversMoved(std::vector<net::Address> servers);

  // Keeps the state in this file from now on, as `kind`; takes up what stands there. False: nothing was taken
  // up.
  bool keepIn(const std::string &path, store::Kind kind, sched::Ns unixAtZero);
  void saveNow(); // at the program's end

  // For whoever asks once: whether every set and address has had an answer, or has failed once.
  bool settled() const;
  const resolver::Agenda &agenda() const { return agenda_; }
  const std::string &lastFailure(std::size_t set) const { return lastFailure_[set]; }

private:
  struct Server {
    net::Address at;
    std::shared_ptr<TcpLine> line;
  };
  net::Task<> flight(dns::Question question);
  net::Task<Asked> ask(const resolver::Ask &ask);
  void settle(const dns::Question &question, const resolver::Answer &answer);
  void settleSet(std::size_t set, const dns::Question &question, const resolver::Answer &answer);
  void settleHost(const dns::Question &question, const resolver::Answer &answer);
  void wantHosts();
  void takeAdditional(const resolver::Answer &answer);
  bool gathering();
  void publish();
  void tellMode(const sources::Figures &now);
  void keep();
  sched::Ns keepAt(bool whole) const;
  std::string sealed() const;

  net::Scheduler &sched_;
  net::Descriptors &budget_;
  sources::Sources &sources_;
  const Naming &naming_;
  log::Log log_;
  Counters &counters_;
  std::knuth_b chance_;
  resolver::Agenda agenda_;
  std::shared_ptr<std::vector<std::unique_ptr<Server>>> servers_; // a flight keeps those that it began with
  std::shared_ptr<resolver::NameServers> health_;
  std::vector<dns::Question> sets_; // by the sources' numbers
  std::vector<std::string> lastFailure_;
  std::vector<bool> heard_; // by set: answered or failed once
  std::map<std::string, bool> hosts_;
  sched::Signal touched_;
  bool changed_ = false, gathered_ = false;
  sched::Ns gatherUntil_ = 0; // of the first answer; 0: none yet
  sched::Ns publishedAt_ = 0;
  sources::Figures mode_;
  bool moded_ = false;

  std::unique_ptr<store::Writer> writer_;
  std::string path_;
  store::Kind kind_;
  sched::Ns unixAtZero_ = 0, keptAt_ = 0;
  bool unkept_ = false; // something good was told since the state was last kept
};

} // namespace myrtlehead::names
