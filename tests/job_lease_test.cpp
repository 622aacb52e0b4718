// Job leases, without I/O: who may start a job, when, and how often.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy/job_lease.h"

#include <map>
#include <random>

using namespace myrtlehead;
using namespace myrtlehead::job_lease;

namespace {

constexpr Nanoseconds kNow = 1000 * kSecond;
constexpr LeaseHolder kHolder{1, 7};
const LeaseSettings kSettings;

// A job with a lease of kHolder until five seconds after kNow, due 100 s after it.
Job jobOf(Idempotency idempotency, JobState state = JobState::queued) {
  Job job;
  job.id = "1";
  job.idempotency = idempotency;
  job.state = state;
  job.submittedAt = kNow;
  job.dueAt = kNow + 100 * kSecond;
  job.holder = kHolder;
  job.leaseExpiresAt = kNow + 5 * kSecond;
  if (state == JobState::started) {
    job.starts = 1;
    job.firstStartedAt = kNow;
  }
  return job;
}

LeaseAction actionFor(const Job &job, Nanoseconds now) { return decideLease(job, now, kSettings).action; }

Job executedNow(const Job &job, ExecutionOutcome outcome, const std::string &reason, double jitter) {
  return executed(job, {outcome, reason}, kNow, jitter, kSettings);
}

} // namespace

TEST_CASE("a lease binds others until its end, the clock skew and the execution grace are over") {
  CHECK(actionFor(jobOf(Idempotency::idempotent), kNow) == LeaseAction::acquire);
  const auto leasedJob = jobOf(Idempotency::notIdempotent, JobState::leased);
  const auto decision = decideLease(leasedJob, kNow, kSettings);
  CHECK(decision.action == LeaseAction::wait);
  CHECK(decision.waitUntil == leasedJob.leaseExpiresAt + kSettings.maxClockSkew);
  CHECK(actionFor(leasedJob, decision.waitUntil) == LeaseAction::acquire); // it was never started
  const auto startedJob = jobOf(Idempotency::idempotent, JobState::started);
  const auto skewOver = startedJob.leaseExpiresAt + kSettings.maxClockSkew;
  CHECK(actionFor(startedJob, skewOver) == LeaseAction::wait);
  CHECK(actionFor(startedJob, skewOver + kSettings.executionGrace) == LeaseAction::acquire);
}

TEST_CASE("whether a job that may have run is started again depends on its idempotency alone") {
  const Nanoseconds late = kNow + 20 * kSecond;
  CHECK(actionFor(jobOf(Idempotency::notIdempotent, JobState::started), late) == LeaseAction::abandon);
  auto withKey = jobOf(Idempotency::idempotentWithKey, JobState::started);
  withKey.idempotencyWindow = 60 * kSecond;
  CHECK(actionFor(withKey, late) == LeaseAction::acquire);
  CHECK(actionFor(withKey, kNow + 60 * kSecond) == LeaseAction::abandon);
}

TEST_CASE("a job is abandoned after its last start or at its due time, and left alone once it is finished") {
  const Nanoseconds late = kNow + 20 * kSecond;
  auto startedOften = jobOf(Idempotency::idempotent, JobState::started);
  startedOften.starts = kSettings.maxStarts;
  CHECK(actionFor(startedOften, late) == LeaseAction::abandon);
  CHECK(actionFor(jobOf(Idempotency::idempotent), kNow + 100 * kSecond) == LeaseAction::abandon);
  CHECK(actionFor(jobOf(Idempotency::idempotent, JobState::done), late) == LeaseAction::none);
  const Nanoseconds retentionOver = kNow + 200 * kSecond + kSettings.retention;
  CHECK(actionFor(jobOf(Idempotency::idempotent), retentionOver) == LeaseAction::none);
}

TEST_CASE("a holder starts only under its own lease, with the clock skew to spare") {
  const auto job = jobOf(Idempotency::notIdempotent, JobState::leased);
  CHECK(mayStart(job, kHolder, kNow, kSettings));
  CHECK(!mayStart(job, {1, 8}, kNow, kSettings)); // another incarnation of the same member
  CHECK(!mayStart(job, {2, 7}, kNow, kSettings));
  CHECK(!mayStart(job, kHolder, job.leaseExpiresAt - kSettings.maxClockSkew, kSettings));
}

TEST_CASE("the last moment at which a holder may start is before the first at which another may acquire") {
  std::knuth_b random(7);
  for (int i = 0; i < 2000; ++i) {
    const Nanoseconds skew = std::uniform_int_distribution<Nanoseconds>(-kSettings.maxClockSkew,
                                                                        kSettings.maxClockSkew)(random);
    const auto job = jobOf(Idempotency::idempotent, i % 2 == 0 ? JobState::leased : JobState::started);
    const Nanoseconds lastMoment = job.leaseExpiresAt - kSettings.maxClockSkew - 1; // by the holder's clock
    CHECK(mayStart(job, kHolder, lastMoment, kSettings));
    CHECK(actionFor(job, lastMoment + skew) == LeaseAction::wait); // by another member's clock
  }
}

TEST_CASE("an execution's end is the job's, or the job is queued again with a backoff") {
  const auto job = jobOf(Idempotency::notIdempotent, JobState::started);
  CHECK(executedNow(job, ExecutionOutcome::succeeded, "", 0.5).state == JobState::done);
  CHECK(executedNow(job, ExecutionOutcome::failed, "x", 0.5).state == JobState::failed);
  const auto queuedAgain = executedNow(job, ExecutionOutcome::neverExecuted, "shed", 0.999);
  CHECK(queuedAgain.state == JobState::queued);
  CHECK(queuedAgain.firstStartedAt == 0);
  CHECK(queuedAgain.notBefore > kNow);
  CHECK(queuedAgain.notBefore <= kNow + kSettings.maxBackoff);
  CHECK(actionFor(queuedAgain, kNow) == LeaseAction::wait);
  auto lastStart = job;
  lastStart.starts = kSettings.maxStarts;
  CHECK(executedNow(lastStart, ExecutionOutcome::neverExecuted, "shed", 0.5).state == JobState::failed);
  const auto idempotentJob = jobOf(Idempotency::idempotent, JobState::started);
  CHECK(executedNow(idempotentJob, ExecutionOutcome::failed, "x", 0.5).state == JobState::queued);
}

TEST_CASE("each job has another order of the members that may acquire it") {
  std::map<Nanoseconds, int> delaysOfFirst;
  for (int job = 0; job < 300; ++job)
    for (std::uint32_t member = 0; member < 3; ++member)
      delaysOfFirst[claimDelay(std::to_string(job), member, 3)] += member == 0;
  CHECK(delaysOfFirst.size() == 3);
  for (const auto &[_, jobs] : delaysOfFirst) CHECK(jobs > 60);
}
