#include "lab/crowds.h"

#include "lab/fleet.h"
#include "lab/instance_config.h"
#include "lab/process.h"
#include "lab/usual_clients.h"

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace myrtlehead::lab {

namespace {

constexpr int kLabDescriptors = 8192;
constexpr Nanoseconds kQuietTime = 2 * kSecond;              // of usual clients alone, before the crowd
constexpr Nanoseconds kAfterCrowd = 5 * kSecond;             // until memory is measured again
constexpr Nanoseconds kSlowServiceTime = 300 * kMillisecond; // more than kMaxAfterClose
constexpr Nanoseconds kMaxAfterClose = 150 * kMillisecond;   // of the pages: 0.1 s, and 50 ms on sockets
constexpr Nanoseconds kEndTimeout = 20 * kSecond;            // for the crowd's last clients

struct PlayResult {
  UsualTally quiet, crowded;
  CrowdTally crowd;
  long idleKb = 0, peakKb = 0, afterKb = 0;
  bool isAlive = false;
  int sentAfterClose = 0;
  int ranTwice = 0;
  Nanoseconds fleetDelay = 0; // the longest by which the laboratory's own nodes have run late
};

// The value of a line of /proc/PID/status, in KB; 0 if the process has ended.
long statusKb(int pid, const std::string &name) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.starts_with(name + ":")) return std::stol(line.substr(name.size() + 1));
  return 0;
}

class CrowdPlay {
public:
  CrowdPlay(const CrowdOptions &options, CrowdKind kind, int clients, std::uint64_t seed);
  PlayResult run();

private:
  sched::Task<> play();
  sched::Task<> startInstance();
  sched::Task<> measureFleetDelay();
  void runCrowd(Nanoseconds endsAt);
  void checkDepartures();

  const CrowdOptions &options_;
  CrowdKind kind_;
  int clients_;
  std::uint64_t seed_;
  Scenario scenario_;
  sched::Scheduler sched_;
  net::DescriptorBudget budget_{kLabDescriptors};
  std::unique_ptr<Fleet> fleet_;
  std::unique_ptr<Process> process_;
  net::Address address_;
  PlayResult result_;
  std::string failure_;
};

CrowdPlay::CrowdPlay(const CrowdOptions &options, CrowdKind kind, int clients, std::uint64_t seed)
    : options_(options), kind_(kind), clients_(clients), seed_(seed) {
  scenario_.seed = seed;
  scenario_.memoryMb = options.memoryMb;
  scenario_.descriptors = options.descriptors;
  scenario_.work.maxQueueLength = 1024;
  if (kind == CrowdKind::orderlyLeavers) scenario_.work.meanServiceTime = kSlowServiceTime;
  std::filesystem::create_directories(options.folder);
  const auto any = *net::parseAddress("127.0.0.1:0");
  Fleet::Settings settings{any, any, 1, {}, {scenario_.cap, 1}, scenario_.work, seed};
  for (int i = 1; i <= scenario_.servers; ++i) settings.nodes.emplace_back("s-" + std::to_string(i), any);
  fleet_ = std::make_unique<Fleet>(sched_, budget_, settings);
  sched_.onUncaughtException = [this](const char *what) {
    failure_ = what;
    sched_.halt();
  };
}

sched::Task<> CrowdPlay::startInstance() {
  const InstanceFiles files(options_.folder, 0);
  writeInstanceConfig(files, 0, scenario_, *fleet_, "");
  const std::vector<std::string> arguments{"serve", "--config", files.config, "--settings", files.settings};
  process_ = std::make_unique<Process>(sched_, budget_, options_.program, arguments, files.log);
  const net::Deadline deadline{sched_.now() + 10 * kSecond, nullptr};
  const auto line = co_await process_->waitForLine("instance is serving requests", deadline);
  const auto at = line.find(" at=");
  const auto address = at == std::string::npos ? std::nullopt : net::parseAddress(line.substr(at + 4));
  if (!address) throw std::runtime_error("the instance did not start; see " + files.log);
  address_ = *address;
}

// In a thread of its own, so that the crowd's clients do not delay the fleet.
void CrowdPlay::runCrowd(Nanoseconds endsAt) {
  sched::Scheduler sched;
  net::DescriptorBudget budget(kLabDescriptors);
  Crowd crowd(sched, budget, {kind_, clients_, seed_, address_, endsAt});
  const auto body = [&]() -> sched::Task<> {
    co_await crowd.run();
    sched.halt();
  };
  const auto limit = [&]() -> sched::Task<> {
    co_await sched.sleep(endsAt - sched.now() + kEndTimeout);
    sched.halt();
  };
  sched.spawn(body());
  sched.spawn(limit());
  sched.run();
  result_.crowd = crowd.tally();
  sched.destroyAllTasks();
}

void CrowdPlay::checkDepartures() {
  const auto &ledger = fleet_->ledger;
  for (const auto &departure : result_.crowd.departures)
    for (int number = departure.firstId; number <= departure.lastId; ++number) {
      const auto id = leaverId(number);
      const auto effect = ledger.effects.find(id);
      const auto arrival = ledger.arrivals.find(id);
      result_.ranTwice += effect != ledger.effects.end() && effect->second.runs > 1;
      result_.sentAfterClose += arrival != ledger.arrivals.end() &&
                                arrival->second > departure.closedAt + kMaxAfterClose;
    }
}

// What an overloaded fleet records as an arrival may have arrived earlier, by up to this delay.
sched::Task<> CrowdPlay::measureFleetDelay() {
  constexpr Nanoseconds kTick = 5 * kMillisecond;
  for (;;) {
    const auto due = sched_.now() + kTick;
    co_await sched_.sleep(kTick);
    result_.fleetDelay = std::max(result_.fleetDelay, sched_.now() - due);
  }
}

sched::Task<> CrowdPlay::play() {
  co_await startInstance();
  sched_.spawn(measureFleetDelay());
  co_await sched_.sleep(kSecond);
  result_.idleKb = statusKb(process_->pid(), "VmRSS");
  std::atomic<bool> hasCrowdEnded = false;
  UsualClients usual(address_, sched_.now() + kQuietTime, hasCrowdEnded);
  std::thread usualThread([&] { usual.run(); });
  co_await sched_.sleep(kQuietTime);
  const auto endsAt = sched_.now() + options_.seconds * kSecond;
  std::atomic<bool> hasCrowdLeft = false;
  std::thread crowd([&, endsAt] {
    runCrowd(endsAt);
    hasCrowdLeft = true;
  });
  while (!hasCrowdLeft) co_await sched_.sleep(50 * kMillisecond);
  crowd.join();
  co_await sched_.sleep(kAfterCrowd);
  result_.peakKb = statusKb(process_->pid(), "VmHWM");
  result_.afterKb = statusKb(process_->pid(), "VmRSS");
  result_.isAlive = process_->isRunning();
  hasCrowdEnded = true;
  while (!usual.hasEnded()) co_await sched_.sleep(50 * kMillisecond);
  usualThread.join();
  result_.quiet = usual.quiet();
  result_.crowded = usual.crowded();
  const int exitCode = co_await process_->terminate({sched_.now() + 5 * kSecond, nullptr});
  result_.isAlive &= exitCode == 0;
  checkDepartures();
  sched_.halt();
}

PlayResult CrowdPlay::run() {
  sched_.spawn(play());
  sched_.run();
  sched_.destroyAllTasks();
  if (!failure_.empty()) throw std::runtime_error(failure_);
  return result_;
}

// Prints the result of a play and returns whether everything held.
bool report(const PlayResult &r, CrowdKind kind, int clients, std::uint64_t seed,
            const CrowdOptions &options) {
  const bool isWithinLimit = options.ignoresMemory || (r.peakKb > 0 && r.peakKb < options.memoryMb * 1024L);
  const bool isKept = r.isAlive && isWithinLimit && r.quiet.lost + r.crowded.lost == 0 &&
                      r.crowd.overstayed == 0 && r.sentAfterClose == 0 && r.ranTwice == 0;
  fmt::print("seed {} {} {}: {}; memory idle {:.1f}, peak {:.1f}, after {:.1f} MB; usual {} asked, {} rows, "
             "{} lost, p99 {:.0f} ms (alone {:.0f}); {} connections, {} overstayed, {} sent after a close, "
             "{} ran twice; the fleet up to {} ms late{}{}\n",
             seed, kCrowdKindNames[static_cast<std::size_t>(kind)], clients, isKept ? "kept" : "BROKEN",
             static_cast<double>(r.idleKb) / 1024, static_cast<double>(r.peakKb) / 1024,
             static_cast<double>(r.afterKb) / 1024, r.crowded.asked, r.crowded.rows, r.crowded.lost,
             static_cast<double>(r.crowded.percentile99()) / 1e6,
             static_cast<double>(r.quiet.percentile99()) / 1e6, r.crowd.connections, r.crowd.overstayed,
             r.sentAfterClose, r.ranTwice, r.fleetDelay / kMillisecond, r.crowded.latestLoss,
             r.isAlive ? "" : "; the process ended");
  std::fflush(stdout);
  return isKept;
}

CrowdKind kindOf(const std::string &name) {
  const auto at = std::find(kCrowdKindNames.begin(), kCrowdKindNames.end(), name);
  if (at == kCrowdKindNames.end()) throw std::runtime_error("'" + name + "' is no kind of crowd");
  return static_cast<CrowdKind>(at - kCrowdKindNames.begin());
}

} // namespace

int playCrowds(const CrowdOptions &options) {
  constexpr int kMaxClients = 900;
  int broken = 0;
  for (int i = 0; i < options.plays; ++i) {
    const auto seed = options.seed + static_cast<std::uint64_t>(i);
    std::mt19937_64 random(seed);
    const int drawnClients = std::uniform_int_distribution<int>(1, kMaxClients)(random);
    const int drawnKind = std::uniform_int_distribution<int>(0, kCrowdKindNames.size() - 1)(random);
    const auto kind = options.kind.empty() ? static_cast<CrowdKind>(drawnKind) : kindOf(options.kind);
    const int clients = options.clients > 0 ? options.clients : drawnClients;
    const auto result = CrowdPlay(options, kind, clients, seed).run();
    broken += !report(result, kind, clients, seed, options);
  }
  fmt::print("{} of {} plays broken\n", broken, options.plays);
  return broken == 0 ? 0 : 1;
}

} // namespace myrtlehead::lab
