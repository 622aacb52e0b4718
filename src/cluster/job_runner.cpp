#include "cluster/job_runner.h"

namespace myrtlehead::cluster {

using job_lease::ExecutionResult;
using job_lease::Job;
using job_lease::JobState;
using job_lease::LeaseAction;

namespace {

constexpr Nanoseconds kTransitionTimeout = 2 * kSecond; // for one change of a job's register
constexpr int kRenewalsPerLease = 3;
constexpr int kMaxRecordAttempts = 5;

} // namespace

JobRunner::JobRunner(net::Scheduler &sched, ReplicatedRegisters &registers, RegisterStore &store,
                     JobExecutor &executor, log::Log &log, const job_lease::LeaseSettings &settings,
                     const UnixClock &clock, std::uint64_t seed)
    : sched_(sched), registers_(registers), executor_(executor), log_(log), settings_(settings),
      clock_(clock), self_{registers.ownIndex(), store.incarnation()} {
  random_.seed(static_cast<std::knuth_b::result_type>(seed ^ seed >> 32));
}

net::Task<> JobRunner::run(std::string key) {
  auto record = co_await acquire(key);
  if (!record) co_return;
  const int startsBefore = record->job.starts;
  record = co_await start(key, startsBefore);
  if (!record) co_return;
  ++counters_.started;
  log_.debug("starting a job", {{"job", record->job.id}, {"starts", record->job.starts}});
  const auto result = co_await executeUnderLease(key, *record);
  co_await recordResult(key, startsBefore + 1, result);
}

// Returns the record with this member's lease, or nullopt if another member holds the lease, the job was
// abandoned or no quorum has confirmed the lease.
net::Task<std::optional<JobRecord>> JobRunner::acquire(std::string key) {
  const JobTransition acquireOrAbandon = [this](const Job &job) -> std::optional<Job> {
    const auto decision = job_lease::decideLease(job, clock_.now(), settings_);
    if (decision.action == LeaseAction::abandon) return job_lease::abandonJob(job, decision.reason);
    if (decision.action != LeaseAction::acquire) return std::nullopt;
    return job_lease::acquireLease(job, self_, clock_.now(), settings_);
  };
  auto record = co_await applyTransition(key, JobState::leased, acquireOrAbandon);
  if (!record) co_return std::nullopt;
  if (record->job.state == JobState::abandoned) ++counters_.finished;
  if (record->job.state != JobState::leased || !isHeldBySelf(record->job)) co_return std::nullopt;
  co_return record;
}

// Returns the record with the recorded start, or nullopt if this member must not execute the job now.
net::Task<std::optional<JobRecord>> JobRunner::start(std::string key, int expectedStarts) {
  const JobTransition startOnce = [this, expectedStarts](const Job &job) -> std::optional<Job> {
    if (job.starts != expectedStarts || !mayStart(job)) return std::nullopt;
    return job_lease::recordStart(job, clock_.now());
  };
  auto record = co_await applyTransition(key, JobState::started, startOnce);
  if (!record) co_return std::nullopt;
  const bool isStarted = record->job.state == JobState::started && record->job.starts == expectedStarts + 1;
  // Checked once more, because the lease may have expired while the start was being recorded, for example if
  // this member was suspended.
  if (!isStarted || !mayStart(record->job)) co_return std::nullopt;
  co_return record;
}

net::Task<ExecutionResult> JobRunner::executeUnderLease(std::string key, const JobRecord &record) {
  const auto execution = std::make_shared<sched::CancellationToken>();
  sched_.spawn(keepLeaseRenewed(key, execution, record.job.leaseExpiresAt));
  auto result = co_await executor_.execute(record, *execution);
  execution->cancel(); // ends the renewals
  co_return result;
}

// Renews the lease until `execution` is cancelled. If the lease can't be renewed in time, cancels `execution`
// before another member may start the job.
net::Task<> JobRunner::keepLeaseRenewed(std::string key, std::shared_ptr<sched::CancellationToken> execution,
                                        Nanoseconds expiresAt) {
  for (;;) {
    const auto wakeReason = co_await sched_.sleep(settings_.leaseDuration / kRenewalsPerLease,
                                                  execution.get());
    if (wakeReason == sched::WakeReason::cancelled) co_return;
    const Nanoseconds renewedAt = clock_.now();
    const auto renewBy = clock_.toSchedulerTime(expiresAt) - settings_.maxClockSkew;
    const net::Deadline until{renewBy, execution.get()};
    const ReplicatedRegisters::Transition renew =
        [this, renewedAt](const std::string &current) -> std::optional<std::string> {
      auto record = parseStoredJson(current);
      if (!record || !job_lease::mayStart(record->job, self_, renewedAt, settings_)) return std::nullopt;
      record->job = job_lease::renewLease(record->job, renewedAt, settings_);
      return toStoredJson(*record);
    };
    const auto change = co_await registers_.change(key, renew, until);
    if (execution->isCancelled()) co_return;
    if (change.outcome == ChangeOutcome::applied) expiresAt = renewedAt + settings_.leaseDuration;
    const bool isExpiring = clock_.now() + settings_.maxClockSkew >= expiresAt;
    if (change.outcome == ChangeOutcome::unchanged || isExpiring) {
      ++counters_.leasesLost;
      log_.warning("the lease of a job could not be renewed; its execution is cancelled", {{"job", key}});
      execution->cancel();
      co_return;
    }
  }
}

// Records the result of an execution. If no quorum confirms it, the job stays in the state started, and the
// next holder of the lease decides whether the job may be started again.
net::Task<> JobRunner::recordResult(std::string key, int startNumber, const ExecutionResult &result) {
  const double jitter = std::uniform_real_distribution<double>(0, 1)(random_);
  const JobTransition finish = [&](const Job &job) -> std::optional<Job> {
    if (!isHeldBySelf(job) || job.state != JobState::started || job.starts != startNumber)
      return std::nullopt;
    return job_lease::recordExecution(job, result, clock_.now(), jitter, settings_);
  };
  for (int attempt = 0; attempt < kMaxRecordAttempts; ++attempt) {
    // With the target `queued`, a repeated attempt detects that an earlier attempt queued the job again. An
    // earlier attempt that finished the job needs no detection: a final state permits no transition.
    const auto record = co_await applyTransition(key, JobState::queued, finish);
    if (!record) continue;
    counters_.finished += job_lease::isFinished(record->job.state);
    log_.debug("the execution of a job has ended",
               {{"job", record->job.id}, {"state", static_cast<int>(record->job.state)}});
    break;
  }
}

// Whether this member has applied the transition to `target` already and lost the reply. An expired lease of
// this member does not count as applied: the lease must be acquired again, or the job would never run.
bool JobRunner::isAlreadyApplied(const Job &job, JobState target) const {
  if (job.state != target || !isHeldBySelf(job)) return false;
  return target != JobState::leased || mayStart(job);
}

// Returns the record after the transition, or the current record if `transition` does not permit a change.
// Returns nullopt if no quorum has confirmed the record, or if the record can't be parsed.
net::Task<std::optional<JobRecord>> JobRunner::applyTransition(std::string key, JobState target,
                                                               JobTransition transition) {
  const net::Deadline until{sched_.now() + kTransitionTimeout, nullptr};
  const ReplicatedRegisters::Transition apply =
      [this, target, transition](const std::string &current) -> std::optional<std::string> {
    auto record = parseStoredJson(current);
    if (!record || isAlreadyApplied(record->job, target)) return std::nullopt;
    auto job = transition(record->job);
    if (!job) return std::nullopt;
    record->job = std::move(*job);
    return toStoredJson(*record);
  };
  const auto change = co_await registers_.change(key, apply, until);
  if (change.outcome != ChangeOutcome::applied && change.outcome != ChangeOutcome::unchanged)
    co_return std::nullopt;
  auto record = parseStoredJson(change.value);
  co_return record;
}

} // namespace myrtlehead::cluster
