// Manages the cluster's jobs on this member: accepts submissions, reports the state of jobs, and runs the
// jobs whose leases it acquires.
#pragma once

#include "cluster/job_candidates.h"
#include "cluster/job_runner.h"

namespace myrtlehead::cluster {

// Event counts since this instance started, and the current number of jobs.
struct JobCounters {
  std::uint64_t accepted = 0; // new jobs; repeated submissions are not counted
  std::uint64_t rejected = 0; // submissions answered with status 400 or 503
  JobRunCounters runs;
  std::size_t open = 0;    // unfinished jobs in this member's store, without those in `running`
  std::size_t running = 0; // jobs on which this member works
};

class JobManager {
public:
  // `unixAtZero` is the Unix time, in ns, at which the scheduler's clock read 0.
  JobManager(net::Scheduler &sched, ReplicatedRegisters &registers, RegisterStore &store,
             JobExecutor &executor, log::Log &log, const Membership &membership, Routes routes,
             Nanoseconds unixAtZero, std::uint64_t seed);

  // Handles a submission. The response has status 202 if a quorum has stored the new job, and 200 if the same
  // job was submitted before. Errors: 400 if the submission is invalid, 409 if the idempotency key belongs to
  // a different job, 503 if the queue is full or no quorum has confirmed the job, 500 if the stored record
  // can't be parsed.
  net::Task<HttpResponse> submit(std::string body);
  // Returns the job's state, confirmed by a quorum: status 200, 404 if there is no such job, or 503 without a
  // quorum.
  net::Task<HttpResponse> status(std::string jobId);
  // Acquires and runs jobs until shutdown().
  net::Task<> run();
  // Stops acquiring jobs. Returns once the running jobs have ended, or after the duration of one lease.
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
  std::set<std::string> runningKeys_; // register keys of the jobs on which this member works
  bool isShuttingDown_ = false;
  std::uint64_t accepted_ = 0;
  std::uint64_t rejected_ = 0;
};

} // namespace myrtlehead::cluster
