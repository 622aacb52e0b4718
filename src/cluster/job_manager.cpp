#include "cluster/job_manager.h"

#include <nlohmann/json.hpp>

namespace myrtlehead::cluster {

namespace {

constexpr Nanoseconds kScanInterval = 50 * kMillisecond; // between two scans for jobs to acquire
constexpr Nanoseconds kClientTimeout = 3 * kSecond;      // how long a client's request waits for a quorum
constexpr int kRetryAfterNoQuorumMs = 1000;
// The store may hold this many records for each permitted open job, because finished jobs are retained.
constexpr std::size_t kMaxRecordsPerOpenJob = 20;

struct ErrorDetails {
  std::string field;    // the field that caused the error; empty if no single field did
  int retryAfterMs = 0; // 0: the response suggests no time for a retry
};

HttpResponse errorResponse(int status, const std::string &error, const ErrorDetails &details = {}) {
  nlohmann::json out{{"error", error}};
  if (!details.field.empty()) out["field"] = details.field;
  if (details.retryAfterMs > 0) out["come_back_ms"] = details.retryAfterMs;
  return {status, out.dump()};
}

HttpResponse noQuorumResponse(ChangeOutcome outcome) {
  const char *error =
      outcome == ChangeOutcome::unknown
          ? "no quorum has confirmed the job, which may have been accepted; it is safe to submit it again "
            "with the same mark"
          : "no quorum of the members has answered";
  return errorResponse(503, error, {.field = "", .retryAfterMs = kRetryAfterNoQuorumMs});
}

HttpResponse statusResponse(int status, const JobRecord &record) { return {status, toStatusJson(record)}; }

} // namespace

JobManager::JobManager(net::Scheduler &sched, ReplicatedRegisters &registers, RegisterStore &store,
                       JobExecutor &executor, log::Log &log, const Membership &membership, Routes routes,
                       Nanoseconds unixAtZero, std::uint64_t seed)
    : sched_(sched), registers_(registers), store_(store), membership_(membership),
      routes_(std::move(routes)), clock_(sched, unixAtZero),
      runner_(sched, registers, store, executor, log, membership.leaseSettings, clock_, seed),
      candidates_(store, membership.leaseSettings, registers.ownIndex(), registers.memberCount()) {}

JobCounters JobManager::counters() const {
  return {accepted_, rejected_, runner_.counters(), candidates_.openCount(), runningKeys_.size()};
}

bool JobManager::isFull() const {
  const auto maxOpen = static_cast<std::size_t>(membership_.maxOpenJobs);
  return candidates_.openCount() >= maxOpen || store_.all().size() >= kMaxRecordsPerOpenJob * maxOpen;
}

HttpResponse JobManager::reject(HttpResponse response) {
  ++rejected_;
  return response;
}

net::Task<HttpResponse> JobManager::submit(std::string body) {
  auto submission = parseSubmission(body, routes_, clock_.now());
  if (const auto *error = std::get_if<SubmissionError>(&submission))
    co_return reject(errorResponse(400, "expected " + error->expected, {.field = error->field}));
  if (isFull()) {
    const auto retryAfterMs = static_cast<int>(membership_.leaseSettings.leaseDuration / kMillisecond);
    co_return reject(
        errorResponse(503, "the job queue is full", {.field = "", .retryAfterMs = retryAfterMs}));
  }
  const auto record = std::get<JobRecord>(std::move(submission));
  const auto key = registerKeyOf(record.job.id);
  const auto stored = toStoredJson(record);
  const net::Deadline until{sched_.now() + kClientTimeout, nullptr};
  const ReplicatedRegisters::Transition createOnce = [stored](const std::string &current) {
    return current.empty() ? std::optional(stored) : std::nullopt;
  };
  const auto change = co_await registers_.change(key, createOnce, until);
  if (change.outcome == ChangeOutcome::noQuorum || change.outcome == ChangeOutcome::unknown)
    co_return reject(noQuorumResponse(change.outcome));
  const auto current = parseStoredJson(change.value);
  if (!current) co_return errorResponse(500, "the stored record of the job can't be parsed");
  if (!(current->statement == record.statement))
    co_return errorResponse(409, "the mark belongs to another job of this submitter", {.field = "mark"});
  const bool isNew = change.value == stored;
  accepted_ += isNew;
  co_return statusResponse(isNew ? 202 : 200, *current);
}

net::Task<HttpResponse> JobManager::status(std::string jobId) {
  const net::Deadline until{sched_.now() + kClientTimeout, nullptr};
  const auto key = registerKeyOf(jobId);
  const auto read = co_await registers_.read(key, until);
  if (read.outcome != ChangeOutcome::unchanged) co_return noQuorumResponse(ChangeOutcome::noQuorum);
  const auto record = parseStoredJson(read.value);
  if (!record) co_return errorResponse(404, "no such job");
  co_return statusResponse(200, *record);
}

net::Task<> JobManager::run() {
  while (!isShuttingDown_) {
    for (auto &key : candidates_.find(clock_.now(), runningKeys_)) {
      if (runningKeys_.size() >= static_cast<std::size_t>(membership_.maxRunningJobs)) break;
      runningKeys_.insert(key);
      sched_.spawn(runJob(std::move(key)));
    }
    co_await sched_.sleep(kScanInterval);
  }
}

net::Task<> JobManager::runJob(std::string key) {
  struct RunningKeyGuard {
    std::set<std::string> &keys;
    const std::string &key;
    ~RunningKeyGuard() { keys.erase(key); }
  } guard{runningKeys_, key};
  co_await runner_.run(key);
}

net::Task<> JobManager::shutdown() {
  isShuttingDown_ = true;
  const Nanoseconds until = sched_.now() + membership_.leaseSettings.leaseDuration;
  while (!runningKeys_.empty() && sched_.now() < until) co_await sched_.sleep(kScanInterval);
}

} // namespace myrtlehead::cluster
