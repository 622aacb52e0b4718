// The rules that decide which member may start a job, and when. The rules work on the job's record, which is
// stored in a replicated register. Times are Unix times in nanoseconds, read from a member's own clock; the
// clocks of two members differ by at most `maxClockSkew`.
//
// A member acquires a lease before it starts a job, and the holder may start the job until the lease expires.
// The holder records the start (JobState::started) before it executes the job. A lease that expires without a
// recorded start can be acquired again without risk; a recorded start tells the next holder that the job may
// have been executed.
//
// Limitation: endpoints don't check leases. A holder that is suspended between its last check of the clock
// and the first byte that it sends may start the job late, by as long as it was suspended. The next holder
// waits for `executionGrace` before it acts, which covers delays up to about that length.
#pragma once

#include "policy/deployment.h"

#include <cstdint>
#include <string>

namespace myrtlehead::job_lease {

// The limits and durations of leases and retries, from [fleet] in the settings.
struct LeaseSettings {
  Nanoseconds leaseDuration = 5 * kSecond;
  Nanoseconds maxClockSkew = 500 * kMillisecond; // the largest difference between two members' clocks
  // The longest time for which an endpoint goes on with an attempt after the instance that sent it has ended.
  Nanoseconds executionGrace = kSecond;
  int maxStarts = 3;                      // the number of times that one job may be started
  Nanoseconds retention = 3600 * kSecond; // how long a record is kept after the job's due time
  // A job that is queued again waits for a random time of up to baseBackoff * 2^starts, at most `maxBackoff`.
  Nanoseconds baseBackoff = 500 * kMillisecond;
  Nanoseconds maxBackoff = 30 * kSecond;
  bool operator==(const LeaseSettings &) const = default;
};

// The numeric values are part of the stored records' format; a change of the order breaks stored records.
enum class JobState { queued, leased, started, done, failed, abandoned };
inline bool isFinished(JobState state) { return state >= JobState::done; }

// The member that holds a lease, and the run of that member in which it acquired the lease.
struct LeaseHolder {
  std::uint32_t member = 0;
  std::uint64_t incarnation = 0;
  bool operator==(const LeaseHolder &) const = default;
};

struct Job {
  std::string id; // derived from the submitter and the idempotency key: the same key means the same job
  Idempotency idempotency = Idempotency::notIdempotent;
  int priority = 1; // 1 to 100; jobs with a greater value come first
  Nanoseconds submittedAt = 0;
  // After this time an unfinished job is abandoned as soon as no member holds its lease. Every job has a due
  // time, so that its record can be erased some day.
  Nanoseconds dueAt = 0;
  // How long endpoints recognise the idempotency key after the first start; used for idempotentWithKey only.
  Nanoseconds idempotencyWindow = 0;
  JobState state = JobState::queued;
  LeaseHolder holder; // valid in the states leased and started only
  Nanoseconds leaseExpiresAt = 0;
  Nanoseconds firstStartedAt = 0; // 0 if the job was never started
  Nanoseconds notBefore = 0;      // the end of the backoff of a job that was queued again
  int starts = 0;
  std::string reason; // why the job, or its last execution, ended as it did
  bool operator==(const Job &) const = default;
};

enum class LeaseAction {
  none,    // nothing to do: the job is finished, or its record may be erased
  wait,    // no action is permitted before LeaseDecision::waitUntil
  acquire, // the lease is free and may be acquired
  abandon, // the job must not be started again; LeaseDecision::reason says why
};

struct LeaseDecision {
  LeaseAction action = LeaseAction::none;
  Nanoseconds waitUntil = 0;
  std::string reason;
};

// Returns what any member may do with the job now.
LeaseDecision decideLease(const Job &job, Nanoseconds now, const LeaseSettings &settings);
// Returns how long a member waits before it acquires a free lease. The order of the members differs from job
// to job, so that they don't all propose at the same moment. The delay of the first member is 0.
Nanoseconds acquisitionDelay(const std::string &id, std::uint32_t member, std::uint32_t memberCount);
// Whether the record may be erased, whatever its state; decideLease() returns LeaseAction::none from then on.
bool isRetentionExpired(const Job &job, Nanoseconds now, const LeaseSettings &settings);
// Whether `holder` may start the job or renew its lease: it holds the lease, and the lease lasts for longer
// than `maxClockSkew` from now. The holder checks this again immediately before it executes the job.
bool mayStart(const Job &job, const LeaseHolder &holder, Nanoseconds now, const LeaseSettings &settings);

// How an execution of a job ended. `neverExecuted` means that no endpoint can have executed the job, so even
// a job that is not idempotent may be queued again.
enum class ExecutionOutcome { succeeded, failed, neverExecuted };
struct ExecutionResult {
  ExecutionOutcome outcome = ExecutionOutcome::neverExecuted;
  std::string reason;
};

// Each of these functions returns the job after one transition. The caller checks first that the transition
// is permitted, and writes the record by compare-and-set.
Job acquireLease(Job job, const LeaseHolder &holder, Nanoseconds now, const LeaseSettings &settings);
Job renewLease(Job job, Nanoseconds now, const LeaseSettings &settings); // the new lease starts at `now`
Job recordStart(Job job, Nanoseconds now);
// Returns the job either finished, or queued again with a backoff. `jitter` is a random number in [0, 1) that
// scales the backoff.
Job recordExecution(Job job, const ExecutionResult &result, Nanoseconds now, double jitter,
                    const LeaseSettings &settings);
Job abandonJob(Job job, const std::string &reason);

} // namespace myrtlehead::job_lease
