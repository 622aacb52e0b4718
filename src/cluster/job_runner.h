// Runs one job on this member, from the acquisition of the lease to the recording of the result. Each step is
// a change of the job's register, so a quorum of the members agrees on every step.
#pragma once

#include "base/log/log.h"
#include "cluster/job_executor.h"
#include "cluster/replicated_registers.h"
#include "cluster/unix_clock.h"

namespace myrtlehead::cluster {

// Event counts since this instance started.
struct JobRunCounters {
  std::uint64_t started = 0;
  // Jobs found in a final state after this member recorded a result, or found abandoned when it tried to
  // acquire the lease.
  std::uint64_t finished = 0;
  std::uint64_t leasesLost = 0; // executions cancelled because their lease could not be renewed
};

class JobRunner {
public:
  JobRunner(net::Scheduler &sched, ReplicatedRegisters &registers, RegisterStore &store,
            JobExecutor &executor, log::Log &log, const job_lease::LeaseSettings &settings,
            const UnixClock &clock, std::uint64_t seed);

  // Acquires the lease of the job in the register `key`, starts and executes the job and records the result,
  // or abandons the job if it must not be started again. Returns early if another member holds the lease or
  // no quorum confirms a step.
  net::Task<> run(std::string key);
  const JobRunCounters &counters() const { return counters_; }

private:
  using Job = job_lease::Job;
  using JobTransition = std::function<std::optional<Job>(const Job &)>; // returns nullopt if not permitted
  using MaybeRecord = std::optional<JobRecord>;

  net::Task<MaybeRecord> acquire(std::string key);
  net::Task<MaybeRecord> start(std::string key, int expectedStarts);
  net::Task<job_lease::ExecutionResult> executeUnderLease(std::string key, const JobRecord &record);
  net::Task<> keepLeaseRenewed(std::string key, std::shared_ptr<sched::CancellationToken> execution,
                               Nanoseconds expiresAt);
  net::Task<> recordResult(std::string key, int startNumber, const job_lease::ExecutionResult &result);
  net::Task<MaybeRecord> applyTransition(std::string key, job_lease::JobState target,
                                         JobTransition transition);
  bool isAlreadyApplied(const Job &job, job_lease::JobState target) const;
  bool isHeldBySelf(const Job &job) const { return job.holder == self_; }
  bool mayStart(const Job &job) const { return job_lease::mayStart(job, self_, clock_.now(), settings_); }

  net::Scheduler &sched_;
  ReplicatedRegisters &registers_;
  JobExecutor &executor_;
  log::Log &log_;
  const job_lease::LeaseSettings &settings_;
  const UnixClock &clock_;
  job_lease::LeaseHolder self_;
  std::knuth_b random_;
  JobRunCounters counters_;
};

} // namespace myrtlehead::cluster
