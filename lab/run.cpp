#include "lab/run.h"

#include "lab/event_player.h"
#include "lab/instance_config.h"
#include "lab/process.h"
#include "lab/report.h"
#include "lab/rule_checker.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace myrtlehead::lab {

namespace {

constexpr int kMaxDescriptors = 100'000;
constexpr Nanoseconds kStartTimeout = 10 * kSecond;
constexpr Nanoseconds kStopTimeout = 5 * kSecond;
constexpr Nanoseconds kSettlingTime = 1200 * kMillisecond; // until instances have the list and the names
constexpr Nanoseconds kLoadGrace = 100 * kMillisecond;     // beyond the load's end

// One run: the fleet, names and load in this process, the instances in theirs.
class ScenarioRun {
public:
  ScenarioRun(const Scenario &scenario, const RunOptions &options);
  nlohmann::json run();

private:
  struct Instance {
    std::unique_ptr<Process> process;
    net::Address address;
    int starts = 0;
    double cpuBeforeLoad = 0; // seconds
  };

  sched::Task<> runAll();
  sched::Task<> startInstance(std::size_t index);
  sched::Task<> restartInstances();
  sched::Task<> stopInstances();
  sched::Task<> printProgress();
  void startLoad();
  std::string dnsServer() const;

  const Scenario &scenario_;
  RunOptions options_;
  sched::Scheduler sched_;
  net::DescriptorBudget budget_{kMaxDescriptors};
  std::unique_ptr<Fleet> fleet_;
  std::unique_ptr<DnsServer> dns_; // none: the scenario names no servers
  std::vector<Instance> instances_;
  std::vector<std::unique_ptr<LoadTool>> loads_; // one for each instance
  std::unique_ptr<EventPlayer> events_;
  std::unique_ptr<RuleChecker> rules_;
  Nanoseconds startedAt_ = 0; // the load
  std::string failure_;       // what a coroutine threw; "": nothing
  double cpuSeconds_ = 0;
  long residentKb_ = 0;
};

ScenarioRun::ScenarioRun(const Scenario &scenario, const RunOptions &options)
    : scenario_(scenario), options_(options) {
  namespace fs = std::filesystem;
  fs::create_directories(options_.folder);
  for (int i = 0; i < scenario.marshals; ++i) // of an earlier run
    fs::remove_all(InstanceFiles(options_.folder, static_cast<std::size_t>(i)).stateFolder);
  const auto any = *net::parseAddress("127.0.0.1:0");
  Fleet::Settings fleetSettings{any, any, 1, {}, {scenario.cap, 1}, scenario.work, scenario.seed};
  for (int i = 1; i <= scenario.servers; ++i) fleetSettings.nodes.emplace_back("s-" + std::to_string(i), any);
  fleet_ = std::make_unique<Fleet>(sched_, budget_, fleetSettings);
  fleet_->listsNoEndpoints = !scenario.listed;
  if (scenario.named) dns_ = std::make_unique<DnsServer>(sched_, budget_);
  instances_.resize(static_cast<std::size_t>(scenario.marshals));
  events_ = std::make_unique<EventPlayer>(sched_, scenario_, *fleet_, dns_.get(),
                                          [this] { return restartInstances(); });
  rules_ = std::make_unique<RuleChecker>(sched_, scenario_, *fleet_, loads_);
  sched_.onUncaughtException = [this](const char *what) {
    failure_ = what;
    sched_.halt();
  };
}

std::string ScenarioRun::dnsServer() const { return dns_ ? net::formatAddress(dns_->address()) : ""; }

sched::Task<> ScenarioRun::startInstance(std::size_t index) {
  const InstanceFiles files(options_.folder, index);
  writeInstanceConfig(files, index, scenario_, *fleet_, dnsServer());
  auto &instance = instances_[index];
  ++instance.starts;
  const std::vector<std::string> arguments{"serve", "--config", files.config, "--settings", files.settings};
  instance.process = std::make_unique<Process>(sched_, budget_, options_.program, arguments, files.log);
  const net::Deadline deadline{sched_.now() + kStartTimeout, nullptr};
  const auto line = co_await instance.process->waitForLine("instance is serving requests", deadline);
  const auto at = line.find(" at=");
  const auto address = at == std::string::npos ? std::nullopt : net::parseAddress(line.substr(at + 4));
  if (!address)
    throw std::runtime_error("instance " + std::to_string(index) + " did not start; see " + files.log);
  instance.address = *address;
}

// One after the other; each successor is up first, as behind any front that swaps instances.
sched::Task<> ScenarioRun::restartInstances() {
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    auto former = std::move(instances_[i].process);
    if (former == nullptr) continue;
    cpuSeconds_ += former->resourceUsage().cpuSeconds;
    const net::Deadline deadline{sched_.now() + kStopTimeout, nullptr};
    co_await startInstance(i);
    const int exitCode = co_await former->terminate(deadline);
    rules_->onInstanceExit(exitCode);
  }
}

sched::Task<> ScenarioRun::stopInstances() {
  for (auto &instance : instances_) {
    if (instance.process == nullptr) continue;
    const auto costs = instance.process->resourceUsage();
    cpuSeconds_ += costs.cpuSeconds - (instance.starts == 1 ? instance.cpuBeforeLoad : 0);
    residentKb_ = std::max(residentKb_, costs.residentKb);
    const net::Deadline deadline{sched_.now() + kStopTimeout, nullptr};
    const int exitCode = co_await instance.process->terminate(deadline);
    rules_->onInstanceExit(exitCode);
  }
}

void ScenarioRun::startLoad() {
  auto load = scenario_.load;
  load.requestsPerSecond /= scenario_.marshals;
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    loads_.push_back(std::make_unique<LoadTool>(
        sched_, budget_, [this, i] { return instances_[i].address; }, load, scenario_.seed + i,
        "m" + std::to_string(i) + "r"));
    sched_.spawn(loads_.back()->run());
  }
}

// One line a second, of the first instance's load.
sched::Task<> ScenarioRun::printProgress() {
  for (std::size_t printed = 0;;) {
    co_await sched_.sleep(kSecond);
    std::array<std::size_t, kRequestOutcomes> counts{};
    std::size_t newestBuild = 0;
    const auto &requests = loads_[0]->requests();
    for (std::size_t i = printed; i < requests.size(); ++i) {
      ++counts[static_cast<std::size_t>(requests[i].outcome)];
      newestBuild += requests[i].build == fleet_->newestBuild();
    }
    printed = requests.size();
    const auto of = [&](RequestOutcome outcome) { return counts[static_cast<std::size_t>(outcome)]; };
    fmt::print("{:>3} s  build {} {:<12} cap {:<5} completed {:>5} (newest build {:>5})  shed {:>4}  errored "
               "{:>4}\n",
               (sched_.now() - startedAt_) / kSecond, fleet_->newestBuild(), fleet_->phase(),
               fleet_->exposureCap(), of(RequestOutcome::succeeded), newestBuild, of(RequestOutcome::shed),
               of(RequestOutcome::failed));
    std::fflush(stdout);
  }
}

sched::Task<> ScenarioRun::runAll() {
  if (dns_) sched_.spawn(events_->followZone());
  for (std::size_t i = 0; i < instances_.size(); ++i) co_await startInstance(i);
  co_await sched_.sleep(kSettlingTime);
  for (auto &instance : instances_) instance.cpuBeforeLoad = instance.process->resourceUsage().cpuSeconds;
  startedAt_ = sched_.now();
  startLoad();
  for (const auto &event : scenario_.events) sched_.spawn(events_->play(event));
  sched_.spawn(rules_->watchExposure());
  if (options_.printsEverySecond) sched_.spawn(printProgress());
  co_await sched_.sleep(scenario_.load.duration + kLoadGrace);
  for (auto &load : loads_) co_await load->finish();
  co_await stopInstances();
  sched_.halt();
}

nlohmann::json ScenarioRun::run() {
  sched_.spawn(runAll());
  sched_.run();
  if (!failure_.empty()) throw std::runtime_error(failure_);
  auto out = makeReport(
      {scenario_, *fleet_, dns_.get(), loads_, *rules_, startedAt_, cpuSeconds_, residentKb_});
  sched_.destroyAllTasks();
  return out;
}

} // namespace

nlohmann::json runScenario(const Scenario &scenario, const RunOptions &options) {
  return ScenarioRun(scenario, options).run();
}

} // namespace myrtlehead::lab
