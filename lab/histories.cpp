#include "lab/histories.h"

#include "cluster/job_manager.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sstream>

namespace myrtlehead::lab {

namespace {

using cluster::ConsensusPhase;
using cluster::HttpResponse;
using cluster::StorageError;
using job_lease::ExecutionOutcome;
using job_lease::ExecutionResult;
using net::Nanoseconds;

constexpr Nanoseconds kMillisecond = 1'000'000;
constexpr Nanoseconds kSecond = 1'000'000'000;
constexpr Nanoseconds kUnixAtZero = 1'700'000'000 * kSecond;
constexpr Nanoseconds kForever = 1'000'000 * kSecond;
constexpr Nanoseconds kMaxFaultDuration = 7 * kSecond; // longer than any injected fault

class Simulation;

// One incarnation of a member. The tasks of a killed incarnation stay suspended where they wait; the next
// incarnation starts with the last contents of the member's disk.
struct MemberRun {
  MemberRun(Simulation &simulation, std::uint32_t member, std::uint64_t incarnation);
  // Returns at once if the member is running and at the end of a pause if it is paused; never returns if the
  // member was killed.
  sched::Task<> waitWhileStopped();
  bool isUp() const;

  struct Store final : cluster::RegisterStore {
    Store(MemberRun &run, std::uint64_t incarnation);
    sched::Task<std::optional<StorageError>> persist(std::string key) override;
    MemberRun &run;
  };
  struct Client final : cluster::MemberClient {
    explicit Client(MemberRun &r) : run(r) {}
    net::Task<net::Result<HttpResponse>> call(std::uint32_t member, ConsensusPhase phase, std::string body,
                                              net::Deadline until) override;
    MemberRun &run;
  };
  struct Executor final : cluster::JobExecutor {
    explicit Executor(MemberRun &r) : run(r) {}
    net::Task<ExecutionResult> execute(cluster::JobRecord record,
                                       sched::CancellationToken &cancellation) override;
    MemberRun &run;
  };

  Simulation &simulation;
  std::uint32_t member;
  bool isKilled = false;
  Nanoseconds pausedUntil = 0;
  Store store;
  Client client;
  Executor executor;
  cluster::ReplicatedRegisters registers;
  cluster::JobManager jobs;
};

class Simulation {
public:
  Simulation(const HistoryOptions &historyOptions, std::uint64_t seed)
      : options(historyOptions), sched(sched::Clock::simulated) {
    random.seed(static_cast<std::knuth_b::result_type>(seed ^ seed >> 32));
    const auto n = static_cast<std::size_t>(options.members);
    disks.resize(n);
    current.resize(n);
    isLinkCut.assign(n, std::vector<bool>(n, false));
    membership.members.resize(n);
    membership.leaseSettings.leaseDuration = 2 * kSecond;
    membership.leaseSettings.maxClockSkew = 200 * kMillisecond;
    membership.leaseSettings.executionGrace = 500 * kMillisecond;
    membership.leaseSettings.baseBackoff = 50 * kMillisecond;
    for (std::size_t i = 0; i < n; ++i) clockOffsets.push_back(randomBetween(-100, 100) * kMillisecond);
    sched.onUncaughtException = [this](const char *what) {
      result.violations.push_back(std::string("uncaught exception: ") + what);
    };
  }
  Nanoseconds randomBetween(Nanoseconds from, Nanoseconds to) {
    return std::uniform_int_distribution<Nanoseconds>(from, to)(random);
  }
  bool oneChanceIn(int n) { return randomBetween(1, n) == 1; }
  std::uint32_t randomMember() { return static_cast<std::uint32_t>(randomBetween(0, options.members - 1)); }
  void start(std::uint32_t member) {
    runs.push_back(std::make_unique<MemberRun>(*this, member, ++lastIncarnation));
    current[member] = runs.back().get();
    sched.spawn(current[member]->jobs.run());
  }

  const HistoryOptions &options;
  sched::Scheduler sched;
  std::ostringstream logLines;
  log::Logs logs{logLines, log::Format::text, {log::Level::error, {}}};
  log::Log log = logs.forPackage("fleet");
  std::knuth_b random;
  cluster::Membership membership;
  cluster::Routes routes{{"read", "once"}, {Idempotency::idempotent, Idempotency::notIdempotent}};
  std::vector<Nanoseconds> clockOffsets;                // by member
  std::vector<cluster::RegisterStore::Registers> disks; // by member
  std::vector<MemberRun *> current;                     // by member, the latest incarnation
  std::vector<std::unique_ptr<MemberRun>> runs;         // all incarnations; tasks may refer to killed ones
  std::vector<std::vector<bool>> isLinkCut;             // [from][to]: messages in this direction are lost
  std::map<std::string, int> executions;                // by job
  std::map<std::string, std::string> finalStates;       // by job, the first reported final state, or empty
  std::uint64_t lastIncarnation = 0;
  bool areFaultsOver = false;
  HistoryResult result;
};

MemberRun::MemberRun(Simulation &s, std::uint32_t m, std::uint64_t incarnation)
    : simulation(s), member(m), store(*this, incarnation), client(*this), executor(*this),
      registers(s.sched, client, store, m, static_cast<std::uint32_t>(s.options.members), incarnation * 7919),
      jobs(s.sched, registers, store, executor, s.log, s.membership, s.routes,
           kUnixAtZero + s.clockOffsets[m], incarnation * 104729) {}

bool MemberRun::isUp() const { return !isKilled && simulation.sched.now() >= pausedUntil; }

sched::Task<> MemberRun::waitWhileStopped() {
  auto &sched = simulation.sched;
  while (isKilled) co_await sched.sleep(kForever);
  while (sched.now() < pausedUntil) co_await sched.sleep(pausedUntil - sched.now());
  while (isKilled) co_await sched.sleep(kForever);
}

MemberRun::Store::Store(MemberRun &r, std::uint64_t incarnation) : run(r) {
  registers_ = r.simulation.disks[r.member];
  incarnation_ = incarnation;
}

sched::Task<std::optional<StorageError>> MemberRun::Store::persist(std::string key) {
  auto &simulation = run.simulation;
  const auto state = registers_[key];
  const Nanoseconds duration = simulation.randomBetween(kMillisecond / 5, 4 * kMillisecond);
  co_await simulation.sched.sleep(duration);
  co_await run.waitWhileStopped();
  std::optional<StorageError> error;
  if (!simulation.areFaultsOver && simulation.oneChanceIn(200))
    error = StorageError{"no space left"};
  else
    simulation.disks[run.member][key] = state;
  co_return error;
}

net::Task<net::Result<HttpResponse>> MemberRun::Client::call(std::uint32_t to, ConsensusPhase phase,
                                                             std::string body, net::Deadline until) {
  auto &simulation = run.simulation;
  auto &sched = simulation.sched;
  co_await run.waitWhileStopped();
  const bool isSlow = simulation.oneChanceIn(20);
  const auto requestDelay = simulation.randomBetween(kMillisecond / 2, (isSlow ? 400 : 5) * kMillisecond);
  const auto responseDelay = simulation.randomBetween(kMillisecond / 2, 5 * kMillisecond);
  const int deliveries = simulation.oneChanceIn(50) ? 2 : 1;
  co_await sched.sleep(requestDelay);
  const bool isLost = simulation.isLinkCut[run.member][to] ||
                      (!simulation.areFaultsOver && simulation.oneChanceIn(40));
  const net::Failure noResponse{net::ErrorCode::timedOut, net::SendProgress::fullyWritten};
  HttpResponse response;
  if (!isLost && sched.now() < until.at) {
    auto *receiver = simulation.current[to];
    co_await receiver->waitWhileStopped(); // never returns if the receiver was killed
    for (int i = 0; i < deliveries; ++i) {
      if (phase == ConsensusPhase::prepare)
        response = co_await receiver->registers.onPrepare(body);
      else
        response = co_await receiver->registers.onAccept(body);
    }
    co_await sched.sleep(responseDelay);
  }
  co_await run.waitWhileStopped();
  if (isLost || simulation.isLinkCut[to][run.member] || sched.now() >= until.at) co_return noResponse;
  co_return response;
}

net::Task<ExecutionResult> MemberRun::Executor::execute(cluster::JobRecord record,
                                                        sched::CancellationToken &cancellation) {
  auto &simulation = run.simulation;
  ExecutionResult result;
  const bool isShed = simulation.oneChanceIn(8);
  const bool isLong = simulation.oneChanceIn(6);
  const auto duration = simulation.randomBetween(20 * kMillisecond,
                                                 isLong ? 6 * kSecond : 800 * kMillisecond);
  if (cancellation.isCancelled() || isShed) co_return result;
  ++simulation.executions[record.job.id];
  ++simulation.result.executions;
  const auto wakeReason = co_await simulation.sched.sleep(duration, &cancellation);
  co_await run.waitWhileStopped();
  const bool isFailed = wakeReason == sched::WakeReason::cancelled || simulation.oneChanceIn(10);
  result.outcome = isFailed ? ExecutionOutcome::failed : ExecutionOutcome::succeeded;
  result.reason = isFailed ? "drawn" : "";
  co_return result;
}

using Links = std::vector<std::pair<std::size_t, std::size_t>>; // from, to

sched::Task<> restartLater(Simulation &simulation, std::uint32_t member, Nanoseconds delay) {
  co_await simulation.sched.sleep(delay);
  if (simulation.current[member]->isKilled) simulation.start(member);
}

sched::Task<> healLater(Simulation &simulation, Links links, Nanoseconds delay) {
  co_await simulation.sched.sleep(delay);
  for (const auto &[from, to] : links) simulation.isLinkCut[from][to] = false;
}

void kill(Simulation &simulation, std::uint32_t member) {
  ++simulation.result.kills;
  simulation.current[member]->isKilled = true;
  const auto downtime = simulation.randomBetween(0, 3 * kSecond);
  simulation.sched.spawn(restartLater(simulation, member, downtime));
}

void pause(Simulation &simulation, std::uint32_t member) {
  ++simulation.result.pauses;
  const auto duration = simulation.randomBetween(100 * kMillisecond, 6 * kSecond);
  simulation.current[member]->pausedUntil = simulation.sched.now() + duration;
}

// Which links fail: all links from one member to others, or all links between two sides in both directions.
enum class PartitionKind { outgoingOfOneMember, betweenTwoSides };

void partition(Simulation &simulation, std::uint32_t member, PartitionKind kind) {
  ++simulation.result.partitions;
  const auto members = static_cast<std::size_t>(simulation.options.members);
  // One bit for each member: the members with the same bit are on the same side.
  const auto sideBits = simulation.randomBetween(1, (1 << simulation.options.members) - 2);
  Links links;
  for (std::size_t from = 0; from < members; ++from)
    for (std::size_t to = 0; to < members; ++to) {
      const bool areOnDifferentSides = ((sideBits >> from) & 1) != ((sideBits >> to) & 1);
      if (from != to && (kind == PartitionKind::outgoingOfOneMember ? from == member : areOnDifferentSides))
        links.emplace_back(from, to);
    }
  for (const auto &[from, to] : links) simulation.isLinkCut[from][to] = true;
  const auto duration = simulation.randomBetween(50 * kMillisecond, 5 * kSecond);
  simulation.sched.spawn(healLater(simulation, std::move(links), duration));
}

sched::Task<> injectFaults(Simulation &simulation) {
  for (int i = 0; i < simulation.options.faults; ++i) {
    const auto interval = simulation.randomBetween(10 * kMillisecond, 900 * kMillisecond);
    co_await simulation.sched.sleep(interval);
    const auto member = simulation.randomMember();
    switch (simulation.randomBetween(0, 3)) {
    case 0:
      kill(simulation, member);
      break;
    case 1:
      pause(simulation, member);
      break;
    case 2:
      partition(simulation, member, PartitionKind::outgoingOfOneMember);
      break;
    default:
      partition(simulation, member, PartitionKind::betweenTwoSides);
    }
  }
}

bool isNotIdempotent(int job) { return job % 2 == 0; }

// Submits the job as a client does: repeatedly with the same idempotency key, to random members that are
// running, until a member confirms the job. Returns the job's id.
sched::Task<std::string> submit(Simulation &simulation, int job) {
  const nlohmann::json body{{"mark", "j" + std::to_string(job)},
                            {"submitter", "s"},
                            {"route", isNotIdempotent(job) ? "once" : "read"},
                            {"key", "7f"},
                            {"due_ms", 120'000}};
  const auto text = body.dump();
  for (;;) {
    auto *run = simulation.current[simulation.randomMember()];
    const auto interval = simulation.randomBetween(5 * kMillisecond, 200 * kMillisecond);
    co_await simulation.sched.sleep(interval);
    if (!run->isUp()) continue;
    const auto response = co_await run->jobs.submit(text);
    if (run->isKilled || (response.status != 202 && response.status != 200)) continue;
    co_return nlohmann::json::parse(response.body)["id"].get<std::string>();
  }
}

// Compares a reported state with the earlier reports of the job and with its executions.
void checkReport(Simulation &simulation, int job, const std::string &id, const std::string &state) {
  auto &result = simulation.result;
  const bool isFinished = state == "done" || state == "failed" || state == "given up";
  const int executions = simulation.executions.contains(id) ? simulation.executions[id] : 0;
  auto &firstReported = simulation.finalStates[id];
  if (!firstReported.empty() && firstReported != state)
    result.violations.push_back(
        fmt::format("job {} was reported as {} first and as {} later", id, firstReported, state));
  if (!isFinished) return;
  if (firstReported.empty()) {
    firstReported = state;
    result.done += state == "done";
    result.failed += state == "failed";
    result.abandoned += state == "given up";
    if (state == "done" && executions == 0)
      result.violations.push_back("job " + id + " was reported as done but never executed");
  }
  if (isNotIdempotent(job) && executions > 1)
    result.violations.push_back(
        fmt::format("job {} is not idempotent but was executed {} times", id, executions));
}

// Submits the job and polls its state until the end of the history.
sched::Task<> submitAndPoll(Simulation &simulation, int job) {
  const auto id = co_await submit(simulation, job);
  ++simulation.result.accepted;
  for (;;) {
    const auto interval = simulation.randomBetween(50 * kMillisecond, 900 * kMillisecond);
    co_await simulation.sched.sleep(interval);
    auto *run = simulation.current[simulation.randomMember()];
    if (!run->isUp()) continue;
    const auto response = co_await run->jobs.status(id);
    if (run->isKilled) continue;
    if (response.status == 404)
      simulation.result.violations.push_back("job " + id + " was accepted but is unknown now");
    if (response.status != 200) continue;
    const auto state = nlohmann::json::parse(response.body)["state"].get<std::string>();
    checkReport(simulation, job, id, state);
  }
}

bool areAllFinished(const Simulation &simulation) {
  return static_cast<int>(simulation.finalStates.size()) == simulation.options.jobs &&
         std::ranges::none_of(simulation.finalStates, [](const auto &job) { return job.second.empty(); });
}

void checkFinalOutcome(Simulation &simulation) {
  auto &violations = simulation.result.violations;
  if (simulation.result.accepted != simulation.options.jobs)
    violations.push_back(fmt::format("only {} of {} jobs were accepted, although the faults were over",
                                     simulation.result.accepted, simulation.options.jobs));
  if (static_cast<int>(simulation.finalStates.size()) != simulation.options.jobs)
    violations.push_back(fmt::format("only {} of {} jobs were ever reported", simulation.finalStates.size(),
                                     simulation.options.jobs));
  for (const auto &[id, state] : simulation.finalStates)
    if (state.empty())
      violations.push_back("job " + id + " has not finished, although its due time has passed");
}

sched::Task<> runSimulation(Simulation &simulation) {
  auto &sched = simulation.sched;
  for (int member = 0; member < simulation.options.members; ++member)
    simulation.start(static_cast<std::uint32_t>(member));
  for (int job = 0; job < simulation.options.jobs; ++job) sched.spawn(submitAndPoll(simulation, job));
  co_await injectFaults(simulation);
  co_await sched.sleep(kMaxFaultDuration);
  simulation.areFaultsOver = true;
  constexpr Nanoseconds kPollInterval = kSecond / 2;
  constexpr int kMaxPolls = 300; // 150 s, which is later than the due time of every job
  for (int i = 0; i < kMaxPolls && !areAllFinished(simulation); ++i) co_await sched.sleep(kPollInterval);
  co_await sched.sleep(3 * kSecond); // each job is polled a few more times after it has finished
  checkFinalOutcome(simulation);
  sched.halt();
}

} // namespace

HistoryResult runHistory(const HistoryOptions &options, std::uint64_t seed) {
  Simulation simulation(options, seed);
  simulation.sched.spawn(runSimulation(simulation));
  simulation.sched.run();
  simulation.sched.destroyAllTasks();
  return simulation.result;
}

} // namespace myrtlehead::lab
