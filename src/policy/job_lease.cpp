#include "policy/job_lease.h"

#include <algorithm>
#include <xxhash.h>

namespace myrtlehead::job_lease {

namespace {

// The delay for each member that comes earlier in the job's order; acquiring a lease takes about this long.
constexpr Nanoseconds kAcquisitionDelayStep = 150 * kMillisecond;
constexpr int kMaxBackoffDoublings = 20;

// Whether a job that may have been executed already may be started again.
bool mayRestart(const Job &job, Nanoseconds now, const LeaseSettings &settings) {
  if (job.starts >= settings.maxStarts) return false;
  if (job.idempotency == Idempotency::idempotent) return true;
  return job.idempotency == Idempotency::idempotentWithKey &&
         now + settings.maxClockSkew < job.firstStartedAt + job.idempotencyWindow;
}

// The texts are stored in the job's record and reported to clients.
const char *restartDeniedReason(const Job &job, const LeaseSettings &settings) {
  if (job.starts >= settings.maxStarts) return "started as often as may be, and its outcome is not known";
  return job.idempotency == Idempotency::idempotentWithKey
             ? "its outcome is not known, and the window of its mark is over"
             : "its outcome is not known, and it may not run twice";
}

Job finishJob(Job job, JobState state, const std::string &reason) {
  job.state = state;
  job.reason = reason;
  return job;
}

Job requeueJob(Job job, const std::string &reason, Nanoseconds now, double jitter,
               const LeaseSettings &settings) {
  const Nanoseconds backoff = std::min(settings.baseBackoff << std::min(job.starts, kMaxBackoffDoublings),
                                       settings.maxBackoff);
  job.state = JobState::queued;
  job.notBefore = now + static_cast<Nanoseconds>(jitter * static_cast<double>(backoff));
  job.reason = reason;
  return job;
}

} // namespace

LeaseDecision decideLease(const Job &job, Nanoseconds now, const LeaseSettings &settings) {
  if (isFinished(job.state) || isRetentionExpired(job, now, settings)) return {};
  const bool isHeld = job.state == JobState::leased || job.state == JobState::started;
  const Nanoseconds grace = job.state == JobState::started ? settings.executionGrace : 0;
  const Nanoseconds freeAt = job.leaseExpiresAt + settings.maxClockSkew + grace;
  if (isHeld && now < freeAt) return {LeaseAction::wait, freeAt, ""};
  if (now >= job.dueAt) return {LeaseAction::abandon, 0, "its due time has passed"};
  if (job.state == JobState::started && !mayRestart(job, now, settings))
    return {LeaseAction::abandon, 0, restartDeniedReason(job, settings)};
  if (now < job.notBefore) return {LeaseAction::wait, job.notBefore, ""};
  return {LeaseAction::acquire, 0, ""};
}

Nanoseconds acquisitionDelay(const std::string &id, std::uint32_t member, std::uint32_t memberCount) {
  const auto scoreOf = [&](std::uint32_t m) { return XXH64(id.data(), id.size(), m + 1); };
  std::uint32_t membersBefore = 0;
  for (std::uint32_t m = 0; m < memberCount; ++m) membersBefore += scoreOf(m) > scoreOf(member);
  return membersBefore * kAcquisitionDelayStep;
}

bool isRetentionExpired(const Job &job, Nanoseconds now, const LeaseSettings &settings) {
  return now >= job.dueAt + settings.retention;
}

bool mayStart(const Job &job, const LeaseHolder &holder, Nanoseconds now, const LeaseSettings &settings) {
  const bool isHeld = job.state == JobState::leased || job.state == JobState::started;
  return isHeld && job.holder == holder && now + settings.maxClockSkew < job.leaseExpiresAt;
}

Job acquireLease(Job job, const LeaseHolder &holder, Nanoseconds now, const LeaseSettings &settings) {
  job.state = JobState::leased;
  job.holder = holder;
  return renewLease(std::move(job), now, settings);
}

Job renewLease(Job job, Nanoseconds now, const LeaseSettings &settings) {
  job.leaseExpiresAt = now + settings.leaseDuration;
  return job;
}

Job recordStart(Job job, Nanoseconds now) {
  job.state = JobState::started;
  ++job.starts;
  if (job.firstStartedAt == 0) job.firstStartedAt = now;
  return job;
}

Job recordExecution(Job job, const ExecutionResult &result, Nanoseconds now, double jitter,
                    const LeaseSettings &settings) {
  if (result.outcome == ExecutionOutcome::succeeded)
    return finishJob(std::move(job), JobState::done, result.reason);
  bool mayRequeue = mayRestart(job, now, settings);
  if (result.outcome == ExecutionOutcome::neverExecuted) {
    // The job is treated as not started, so the idempotency window has not begun if this was its only start.
    // The start still counts towards `maxStarts`, which bounds the number of attempts.
    if (job.starts <= 1) job.firstStartedAt = 0;
    mayRequeue = job.starts < settings.maxStarts;
  }
  if (!mayRequeue) return finishJob(std::move(job), JobState::failed, result.reason);
  return requeueJob(std::move(job), result.reason, now, jitter, settings);
}

Job abandonJob(Job job, const std::string &reason) {
  return finishJob(std::move(job), JobState::abandoned, reason);
}

} // namespace myrtlehead::job_lease
