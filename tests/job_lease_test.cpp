// Tests the rules of job leases without I/O: which member may start a job, when, and how often.
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

// A job that is leased to kHolder until 5 s after kNow and due 100 s after kNow.
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

Job recordExecutionNow(const Job &job, ExecutionOutcome outcome, const std::string &reason, double jitter) {
  return recordExecution(job, {outcome, reason}, kNow, jitter, kSettings);
}

} // namespace

TEST_CASE("no other member acquires a lease before its expiry plus clock skew and execution grace") {
  CHECK(actionFor(jobOf(Idempotency::idempotent), kNow) == LeaseAction::acquire);
  const auto leasedJob = jobOf(Idempotency::notIdempotent, JobState::leased);
  const auto decision = decideLease(leasedJob, kNow, kSettings);
  CHECK(decision.action == LeaseAction::wait);
  CHECK(decision.waitUntil == leasedJob.leaseExpiresAt + kSettings.maxClockSkew);
  CHECK(actionFor(leasedJob, decision.waitUntil) == LeaseAction::acquire); // the job was never started
  const auto startedJob = jobOf(Idempotency::idempotent, JobState::started);
  const auto skewPassedAt = startedJob.leaseExpiresAt + kSettings.maxClockSkew;
  CHECK(actionFor(startedJob, skewPassedAt) == LeaseAction::wait);
  CHECK(actionFor(startedJob, skewPassedAt + kSettings.executionGrace) == LeaseAction::acquire);
}

TEST_CASE("a job that may have been executed is restarted only if its idempotency permits it") {
  const Nanoseconds late = kNow + 20 * kSecond;
  CHECK(actionFor(jobOf(Idempotency::notIdempotent, JobState::started), late) == LeaseAction::abandon);
  auto keyedJob = jobOf(Idempotency::idempotentWithKey, JobState::started);
  keyedJob.idempotencyWindow = 60 * kSecond;
  CHECK(actionFor(keyedJob, late) == LeaseAction::acquire);
  CHECK(actionFor(keyedJob, kNow + 60 * kSecond) == LeaseAction::abandon);
}

TEST_CASE("a job is abandoned after its last start or at its due time, and needs no action once finished") {
  const Nanoseconds late = kNow + 20 * kSecond;
  auto fullyStartedJob = jobOf(Idempotency::idempotent, JobState::started);
  fullyStartedJob.starts = kSettings.maxStarts;
  CHECK(actionFor(fullyStartedJob, late) == LeaseAction::abandon);
  CHECK(actionFor(jobOf(Idempotency::idempotent), kNow + 100 * kSecond) == LeaseAction::abandon);
  CHECK(actionFor(jobOf(Idempotency::idempotent, JobState::done), late) == LeaseAction::none);
  const Nanoseconds retentionExpiredAt = kNow + 200 * kSecond + kSettings.retention;
  CHECK(actionFor(jobOf(Idempotency::idempotent), retentionExpiredAt) == LeaseAction::none);
}

TEST_CASE("a holder may start a job only under its own lease and earlier than the clock skew before expiry") {
  const auto job = jobOf(Idempotency::notIdempotent, JobState::leased);
  CHECK(mayStart(job, kHolder, kNow, kSettings));
  CHECK(!mayStart(job, {1, 8}, kNow, kSettings)); // another incarnation of the same member
  CHECK(!mayStart(job, {2, 7}, kNow, kSettings));
  CHECK(!mayStart(job, kHolder, job.leaseExpiresAt - kSettings.maxClockSkew, kSettings));
}

TEST_CASE("a holder may start only while no other member may acquire, whatever the clock skew") {
  std::knuth_b random(7);
  for (int i = 0; i < 2000; ++i) {
    const Nanoseconds skew = std::uniform_int_distribution<Nanoseconds>(-kSettings.maxClockSkew,
                                                                        kSettings.maxClockSkew)(random);
    const auto job = jobOf(Idempotency::idempotent, i % 2 == 0 ? JobState::leased : JobState::started);
    const Nanoseconds lastMoment = job.leaseExpiresAt - kSettings.maxClockSkew - 1; // on the holder's clock
    CHECK(mayStart(job, kHolder, lastMoment, kSettings));
    CHECK(actionFor(job, lastMoment + skew) == LeaseAction::wait); // on another member's clock
  }
}

TEST_CASE("after an execution the job is either finished or queued again with a backoff") {
  const auto job = jobOf(Idempotency::notIdempotent, JobState::started);
  CHECK(recordExecutionNow(job, ExecutionOutcome::succeeded, "", 0.5).state == JobState::done);
  CHECK(recordExecutionNow(job, ExecutionOutcome::failed, "x", 0.5).state == JobState::failed);
  const auto requeuedJob = recordExecutionNow(job, ExecutionOutcome::neverExecuted, "shed", 0.999);
  CHECK(requeuedJob.state == JobState::queued);
  CHECK(requeuedJob.firstStartedAt == 0);
  CHECK(requeuedJob.notBefore > kNow);
  CHECK(requeuedJob.notBefore <= kNow + kSettings.maxBackoff);
  CHECK(actionFor(requeuedJob, kNow) == LeaseAction::wait);
  auto lastStartJob = job;
  lastStartJob.starts = kSettings.maxStarts;
  CHECK(recordExecutionNow(lastStartJob, ExecutionOutcome::neverExecuted, "shed", 0.5).state ==
        JobState::failed);
  const auto idempotentJob = jobOf(Idempotency::idempotent, JobState::started);
  CHECK(recordExecutionNow(idempotentJob, ExecutionOutcome::failed, "x", 0.5).state == JobState::queued);
}

TEST_CASE("the order in which members acquire a lease differs between jobs") {
  std::map<Nanoseconds, int> jobsByDelayOfMember0;
  for (int job = 0; job < 300; ++job)
    for (std::uint32_t member = 0; member < 3; ++member)
      jobsByDelayOfMember0[acquisitionDelay(std::to_string(job), member, 3)] += member == 0;
  CHECK(jobsByDelayOfMember0.size() == 3);
  for (const auto &[_, jobs] : jobsByDelayOfMember0) CHECK(jobs > 60);
}
