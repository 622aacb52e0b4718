#include "cluster/job_manager.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace myrtlehead::cluster {

using custody::How;
using custody::Job;
using custody::May;
using custody::State;

namespace {

constexpr Nanoseconds kLook = 50 * kMillisecond; // so often open jobs are looked through
constexpr Nanoseconds kAnswer = 3 * kSecond;     // a submitter waits so long
constexpr Nanoseconds kStep = 2 * kSecond;       // for one change of a register
constexpr int kRenewals = 3;                     // in a claim's length
constexpr int kKept = 20;                        // records for each job that may be open

HttpResponse refused(int status, const std::string &error, const std::string &field = "",
                     int comeBackMs = 0) {
  nlohmann::json out{{"error", error}};
  if (!field.empty()) out["field"] = field;
  if (comeBackMs > 0) out["come_back_ms"] = comeBackMs;
  return {status, out.dump()};
}

HttpResponse answered(int status, std::string body) {
  HttpResponse out{status, std::move(body)};
  return out;
}

} // namespace

JobManager::JobManager(net::Scheduler &sched, ReplicatedRegisters &registers, RegisterStore &ledger,
                       JobExecutor &runner, log::Log &log, const Membership &membership, Routes routes,
                       Nanoseconds unixAtZero, std::uint64_t seed)
    : sched_(sched), registers_(registers), registerStore_(ledger), jobExecutor_(runner), log_(log),
      membership_(membership), routes_(std::move(routes)), unixAtZero_(unixAtZero) {
  chance_.seed(static_cast<std::knuth_b::result_type>(seed ^ seed >> 32));
}

bool JobManager::own(const Job &job) const {
  return job.holder == registers_.me() && job.life == registerStore_.life();
}

JobManager::Figures JobManager::figures() const {
  auto out = figures_;
  out.open = open_, out.running = busy_.size();
  return out;
}

net::Task<HttpResponse> JobManager::submit(std::string body) {
  auto read = readSubmission(body, routes_, now());
  if (const auto *fault = std::get_if<Refused>(&read)) {
    ++figures_.refused;
    co_return refused(400, "expected " + fault->expected, fault->field);
  }
  const auto record = std::get<JobRecord>(std::move(read));
  const auto key = keyOf(record.job.id);
  const auto most = static_cast<std::size_t>(membership_.queue);
  if (open_ >= most || registerStore_.all().size() >= kKept * most) {
    ++figures_.refused;
    co_return refused(503, "the queue is full", "",
                      static_cast<int>(membership_.terms.claimFor / kMillisecond));
  }
  const auto first = text(record);
  const net::Deadline until{sched_.now() + kAnswer, nullptr};
  const ReplicatedRegisters::Step put = [first](const std::string &is) {
    return is.empty() ? std::optional(first) : std::nullopt;
  };
  const auto changed = co_await registers_.change(key, put, until);
  if (changed.what == Changed::noMajority || changed.what == Changed::unknown) {
    ++figures_.refused;
    co_return refused(
        503,
        changed.what == Changed::unknown
            ? "no majority has confirmed it: it may have been taken; the same mark is safe to send again"
            : "no majority of the members answers",
        "", 1000);
  }
  const auto stands = readRecord(changed.value);
  if (!stands) co_return refused(500, "its register can't be read");
  if (!(stands->work == record.work)) co_return refused(409, "another job has this mark", "mark");
  const bool fresh = changed.value == first;
  figures_.taken += fresh;
  co_return answered(fresh ? 202 : 200, told(*stands));
}

net::Task<HttpResponse> JobManager::tell(std::string id) {
  const ReplicatedRegisters::Step read = [](const std::string &) -> std::optional<std::string> {
    return std::nullopt;
  };
  const net::Deadline until{sched_.now() + kAnswer, nullptr};
  const auto key = keyOf(id);
  const auto changed = co_await registers_.change(key, read, until);
  if (changed.what != Changed::unwanted)
    co_return refused(503, "no majority of the members answers", "", 1000);
  const auto record = readRecord(changed.value);
  if (!record) co_return refused(404, "no such job");
  co_return answered(200, told(*record));
}

// Open jobs, by their importance and due time, whose turn has come here. Records that nobody acts on any more
// go.
std::vector<std::string> JobManager::claimable() {
  std::vector<std::pair<Job, std::string>> found;
  std::vector<std::string> over;
  open_ = 0;
  for (const auto &[key, held] : registerStore_.all()) {
    auto &known = seen_[key];
    if (known.accepted != held.accepted) {
      const auto record = readRecord(held.value);
      known = {held.accepted, record ? std::optional(record->job) : std::nullopt};
    }
    if (!known.job) continue;
    const auto &job = *known.job;
    if (custody::forgotten(job, now(), membership_.terms)) over.push_back(key);
    if (custody::over(job.state) || busy_.contains(key)) {
      firstSeen_.erase(key);
      continue;
    }
    ++open_;
    const auto may = custody::mayClaim(job, now(), membership_.terms);
    if (may.what != May::claim && may.what != May::giveUp) {
      firstSeen_.erase(key);
      continue;
    }
    const auto seen = firstSeen_.emplace(key, now()).first->second;
    if (now() - seen >= custody::turnOf(job.id, registers_.me(), registers_.members()))
      found.emplace_back(job, key);
  }
  for (const auto &key : over) registerStore_.forget(key), firstSeen_.erase(key), seen_.erase(key);
  std::ranges::stable_sort(found, [](const auto &a, const auto &b) {
    return std::pair(-a.first.priorityWeight, a.first.due) < std::pair(-b.first.priorityWeight, b.first.due);
  });
  std::vector<std::string> out;
  for (auto &[_, key] : found) out.push_back(std::move(key));
  return out;
}

net::Task<> JobManager::close() {
  leaving_ = true;
  const Nanoseconds until = sched_.now() + membership_.terms.claimFor;
  while (!busy_.empty() && sched_.now() < until) co_await sched_.sleep(kLook);
}

net::Task<> JobManager::look() {
  while (!leaving_) {
    for (auto &key : claimable()) {
      if (busy_.size() >= static_cast<std::size_t>(membership_.slots)) break;
      busy_.insert(key);
      sched_.spawn(take(std::move(key)));
    }
    co_await sched_.sleep(kLook);
  }
}

// One step of a job's record that this member makes, or finds made by an earlier answer of its own that was
// lost.
net::Task<std::optional<JobRecord>> JobManager::advance(std::string key, State made, JobStep step) {
  const net::Deadline until{sched_.now() + kStep, nullptr};
  const ReplicatedRegisters::Step next = [this, made,
                                          step](const std::string &is) -> std::optional<std::string> {
    auto record = readRecord(is);
    if (!record) return std::nullopt;
    // An own claim that has run out unused is no answer that was lost: it is made anew, or it would stand for
    // ever.
    const bool spent = made == State::claimed &&
                       !custody::mayBegin(record->job, registers_.me(), registerStore_.life(), now(),
                                          membership_.terms);
    if (record->job.state == made && own(record->job) && !spent) return std::nullopt;
    auto job = step(record->job);
    if (!job) return std::nullopt;
    record->job = std::move(*job);
    return text(*record);
  };
  const auto changed = co_await registers_.change(key, next, until);
  if (changed.what != Changed::made && changed.what != Changed::unwanted) co_return std::nullopt;
  auto out = readRecord(changed.value);
  co_return out;
}

// Keeps the claim while its job runs; where no majority lets it, the job is stopped before others may start
// it.
net::Task<> JobManager::renew(std::string key, std::shared_ptr<sched::CancellationToken> stop,
                              Nanoseconds until) {
  const auto &terms = membership_.terms;
  for (;;) {
    const auto woken = co_await sched_.sleep(terms.claimFor / kRenewals, stop.get());
    if (woken == sched::WakeReason::cancelled) co_return;
    const Nanoseconds asked = now();
    const net::Deadline within{until - unixAtZero_ - terms.drift, stop.get()};
    const ReplicatedRegisters::Step step = [this, asked,
                                            &terms](const std::string &is) -> std::optional<std::string> {
      auto record = readRecord(is);
      if (!record || !custody::mayBegin(record->job, registers_.me(), registerStore_.life(), asked, terms))
        return std::nullopt;
      record->job = custody::renewed(record->job, asked, terms);
      return text(*record);
    };
    const auto changed = co_await registers_.change(key, step, within);
    if (stop->isCancelled()) co_return;
    if (changed.what == Changed::made) until = asked + terms.claimFor;
    if (changed.what == Changed::unwanted || now() + terms.drift >= until) {
      ++figures_.stopped;
      log_.warning("a job's claim could not be kept: it is stopped", {{"job", key}});
      stop->cancel();
      co_return;
    }
  }
}

net::Task<> JobManager::take(std::string key) {
  struct Busy {
    std::set<std::string> &keys;
    const std::string &key;
    ~Busy() { keys.erase(key); }
  } busy{busy_, key};
  const auto &terms = membership_.terms;
  const auto me = registers_.me();
  const JobStep claim = [&](const Job &job) -> std::optional<Job> {
    const auto may = custody::mayClaim(job, now(), terms);
    if (may.what == May::giveUp) return custody::givenUp(job, may.reason);
    if (may.what != May::claim) return std::nullopt;
    return custody::claimed(job, me, registerStore_.life(), now(), terms);
  };
  auto record = co_await advance(key, State::claimed, claim);
  if (record && record->job.state == State::givenUp) ++figures_.reported;
  if (!record || record->job.state != State::claimed || !own(record->job)) co_return;
  const auto starts = record->job.starts;
  const JobStep begin = [&](const Job &job) -> std::optional<Job> {
    if (job.starts != starts || !custody::mayBegin(job, me, registerStore_.life(), now(), terms))
      return std::nullopt;
    return custody::begun(job, now());
  };
  record = co_await advance(key, State::begun, begin);
  // A member that has slept wakes here, with its claim written down and its time perhaps up.
  if (!record || record->job.state != State::begun || record->job.starts != starts + 1 ||
      !custody::mayBegin(record->job, me, registerStore_.life(), now(), terms))
    co_return;
  ++figures_.begun;
  log_.debug("a job begins", {{"job", record->job.id}, {"starts", record->job.starts}});
  const auto stop = std::make_shared<sched::CancellationToken>();
  sched_.spawn(renew(key, stop, record->job.until));
  const auto ran = co_await jobExecutor_.run(*record, *stop);
  stop->cancel();
  const double draw = std::uniform_real_distribution<double>(0, 1)(chance_);
  for (int tries = 0; tries < 5; ++tries) { // what nobody hears in the end is found out by who takes it next
    const JobStep end = [&](const Job &job) -> std::optional<Job> {
      if (!own(job) || job.state != State::begun || job.starts != starts + 1) return std::nullopt;
      return custody::ended(job, ran.how, ran.reason, now(), draw, terms);
    };
    const auto told = co_await advance(key, State::queued, end);
    if (!told) continue;
    figures_.reported += custody::over(told->job.state);
    log_.debug("a job has ended", {{"job", told->job.id}, {"state", static_cast<int>(told->job.state)}});
    break;
  }
}

} // namespace myrtlehead::cluster
