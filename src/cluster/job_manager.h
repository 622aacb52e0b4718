// The jobs of the fleet, as this member sees and runs them: it takes submissions, looks for what may be
// claimed, runs it, and reports. Each step is a change of the job's register, so the members agree on every
// one of them.
#pragma once

#include "base/log/log.h"
#include "cluster/job_executor.h"
#include "cluster/replicated_registers.h"

#include <set>

namespace myrtlehead::cluster {

class JobManager {
public:
  // `unixAtZero`: the Unix time at which the instance's clock read nought.
  JobManager(net::Scheduler &sched, ReplicatedRegisters &registers, RegisterStore &ledger,
             JobExecutor &runner, log::Log &log, const Membership &membership, Routes routes,
             Nanoseconds unixAtZero, std::uint64_t seed);

  net::Task<HttpResponse> submit(std::string body); // 202 once a majority holds it; 200: known by its mark
  net::Task<HttpResponse> tell(std::string id);
  net::Task<> look(); // for as long as the instance lives
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
  net::Task<std::optional<JobRecord>> advance(std::string key, custody::State made, JobStep step);
  net::Task<> renew(std::string key, std::shared_ptr<sched::CancellationToken> stop, Nanoseconds until);
  std::vector<std::string> claimable();
  Nanoseconds now() const { return unixAtZero_ + sched_.now(); }
  bool own(const custody::Job &job) const;

  net::Scheduler &sched_;
  ReplicatedRegisters &registers_;
  RegisterStore &registerStore_;
  JobExecutor &jobExecutor_;
  log::Log &log_;
  const Membership &membership_;
  Routes routes_;
  Nanoseconds unixAtZero_;
  std::knuth_b chance_;
  // What this member's ledger holds of a job, read again only once another ballot has been accepted.
  struct Seen {
    custody::Ballot accepted;
    std::optional<custody::Job> job;
  };
  std::map<std::string, Seen> seen_;
  std::set<std::string> busy_;                   // keys that this member works on
  std::map<std::string, Nanoseconds> firstSeen_; // open ones, since when they might be claimed
  bool leaving_ = false;
  std::size_t open_ = 0;
  Figures figures_;
};

} // namespace myrtlehead::cluster
