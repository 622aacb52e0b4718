// The jobs of the fleet, as this member sees and runs them: it takes submissions, looks for what may be
// claimed, runs it, and reports. Each step is a change of the job's register, so the members agree on every
// one of them.
#pragma once

#include "base/log/log.h"
#include "fleet/registers.h"
#include "fleet/runner.h"

#include <set>

namespace myrtlehead::fleet {

class Jobs {
public:
  // `unixAtZero`: the Unix time at which the marshal's clock read nought.
  Jobs(net::Scheduler &sched, Registers &registers, Ledger &ledger, Runner &runner, log::Log &log,
       const Membership &membership, Routes routes, Ns unixAtZero, std::uint64_t seed);

  net::Task<Answered> submit(std::string body); // 202 once a majority holds it; 200: known by its mark
  net::Task<Answered> tell(std::string id);
  net::Task<> look(); // for as long as the marshal lives
  net::Task<>
  close(); // takes no more jobs; returns once those that run are reported, or a claim's time is over

  struct Figures {
    std::uint64_t taken = 0, refused = 0, begun = 0, reported = 0, stopped = 0;
    std::size_t open = 0, running = 0;
  };
  Figures figures() const;

private:
  net::Task<> take(std::string key);
  using JobStep = std::function<std::optional<custody::Job>(const custody::Job &)>;
  net::Task<std::optional<Record>> advance(std::string key, custody::State made, JobStep step);
  net::Task<> renew(std::string key, std::shared_ptr<sched::Stop> stop, Ns until);
  std::vector<std::string> claimable();
  Ns now() const { return unixAtZero_ + sched_.now(); }
  bool own(const custody::Job &job) const;

  net::Scheduler &sched_;
  Registers &registers_;
  Ledger &ledger_;
  Runner &runner_;
  log::Log &log_;
  const Membership &membership_;
  Routes routes_;
  Ns unixAtZero_;
  std::knuth_b chance_;
  // What this member's ledger holds of a job, read again only once another ballot has been accepted.
  struct Seen {
    custody::Ballot accepted;
    std::optional<custody::Job> job;
  };
  std::map<std::string, Seen> seen_;
  std::set<std::string> busy_;          // keys that this member works on
  std::map<std::string, Ns> firstSeen_; // open ones, since when they might be claimed
  bool leaving_ = false;
  std::size_t open_ = 0;
  Figures figures_;
};

} // namespace myrtlehead::fleet
