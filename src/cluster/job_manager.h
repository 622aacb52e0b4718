// The cluster's jobs, as this member serves them: it takes submissions, answers for jobs, and runs those
// whose lease it can acquire.
#pragma once

#include "cluster/job_candidates.h"
#include "cluster/job_runner.h"

namespace myrtlehead::cluster {

// Counts since this instance began, and its jobs now.
struct JobCounters {
  std::uint64_t accepted = 0; // new jobs; a repeated submission does not count
  std::uint64_t rejected = 0;
  JobRunCounters runs;
  std::size_t open = 0;    // queued or with another member, as this member's store has them
  std::size_t running = 0; // that this member works on
};

class JobManager {
public:
  // `unixAtZero`: the Unix time, in ns, at which the scheduler's clock read 0.
  JobManager(net::Scheduler &sched, ReplicatedRegisters &registers, RegisterStore &store,
             JobExecutor &executor, log::Log &log, const Membership &membership, Routes routes,
             Nanoseconds unixAtZero, std::uint64_t seed);

  // Status 202: a quorum holds the new job; 200: it held it before; 400, 409, 503 with the reason.
  net::Task<HttpResponse> submit(std::string body);
  // The job's state, confirmed by a quorum.
  net::Task<HttpResponse> status(std::string jobId);
  // Acquires and runs jobs until shutdown().
  net::Task<> run();
  // Acquires no more jobs; returns once the running ones have ended, or after a lease's duration.
  net::Task<> shutdown();
  JobCounters counters() const;

private:
  net::Task<> runJob(std::string key);
  bool isFull() const;
  HttpResponse reject(HttpResponse response);

  net::Scheduler &sched_;
  ReplicatedRegisters &registers_;
  RegisterStore &store_;
  const Membership &membership_;
  Routes routes_;
  UnixClock clock_;
  JobRunner runner_;
  JobCandidates candidates_;
  std::set<std::string> busy_; // register keys of the jobs that this member works on
  bool isShuttingDown_ = false;
  std::uint64_t accepted_ = 0;
  std::uint64_t rejected_ = 0;
};

} // namespace myrtlehead::cluster
