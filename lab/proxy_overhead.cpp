#include "lab/proxy_overhead.h"

#include "lab/bench_fleet.h"
#include "lab/load.h"
#include "lab/process.h"
#include "lab/relay.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <unistd.h>

namespace myrtlehead::lab {

namespace {

using nlohmann::json;

constexpr int kBacklog = 1024;
constexpr int kMaxDescriptors = 100'000;
constexpr Nanoseconds kStartTimeout = 10 * kSecond;
constexpr Nanoseconds kLoadTime = 4 * kSecond;
constexpr double kRequestsPerConnection = 20; // a second
constexpr double kProbeRate = 1000;           // requests a second, for the processor time of one
constexpr std::uint64_t kProbeSeed = 99;
constexpr double kLoadShares[] = {0.1, 0.5, 0.9}; // of what a core can do

// Forks a relay to the fleet's servers; returns its address.
net::Address startRelay(ChildProcess &child, const json &fleet) {
  std::vector<net::Address> servers;
  for (const auto &server : fleet["servers"])
    servers.push_back(*net::parseAddress(server.get<std::string>()));
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  net::Address address = *net::parseAddress("127.0.0.1:0");
  socklen_t size = address.size();
  if (bind(listener, address.asSockaddr(), address.size()) != 0 || listen(listener, kBacklog) != 0)
    throw std::runtime_error("the relay can't listen");
  getsockname(listener, address.asSockaddr(), &size);
  child.pid = fork();
  if (child.pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    runRelay(listener, servers);
  }
  close(listener);
  return address;
}

// One load on one proxy.
struct Measurement {
  double cpuMicroseconds = 0; // a request
  double p50 = 0;             // ms
  double p99 = 0;             // ms
  double completedShare = 0;
};

// A proxy under load: the relay or the instance.
struct Proxy {
  const char *name;
  net::Address address;
  int pid;
};

void addLatencies(const LoadTool &tool, Measurement &out) {
  std::vector<double> latencies;
  for (const auto &request : tool.requests())
    if (request.outcome == RequestOutcome::succeeded)
      latencies.push_back(static_cast<double>(request.latency) / 1e6);
  std::sort(latencies.begin(), latencies.end());
  if (latencies.empty()) return;
  out.p50 = latencies[latencies.size() / 2];
  out.p99 = latencies[latencies.size() * 99 / 100];
  out.completedShare = static_cast<double>(latencies.size()) / static_cast<double>(tool.requests().size());
}

// With a scheduler of its own: its coroutines end with it.
Measurement measure(const Proxy &proxy, double perSecond, std::uint64_t seed) {
  sched::Scheduler sched;
  net::DescriptorBudget budget(kMaxDescriptors);
  Measurement out;
  const LoadSettings load{
      .requestsPerSecond = perSecond,
      .duration = kLoadTime,
      .connections = std::clamp(static_cast<int>(perSecond / kRequestsPerConnection), 64, 1024),
      .clientTimeout = kSecond};
  LoadTool tool(
      sched, budget, [&proxy] { return proxy.address; }, load, seed,
      "f" + std::to_string(seed) + "x" + std::to_string(static_cast<int>(perSecond)) + "r");
  auto body = [&]() -> sched::Task<> {
    const auto cpuBefore = resourceUsageOf(proxy.pid).cpuSeconds;
    co_await tool.run();
    co_await tool.finish();
    out.cpuMicroseconds = (resourceUsageOf(proxy.pid).cpuSeconds - cpuBefore) * 1e6 /
                          static_cast<double>(std::max<std::size_t>(tool.requests().size(), 1));
    sched.halt();
  };
  sched.spawn(body());
  sched.run();
  addLatencies(tool, out);
  sched.destroyAllTasks();
  return out;
}

// "MEDIAN (LEAST-MOST)"
std::string rangeText(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return fmt::format("{:.1f} ({:.1f}-{:.1f})", values[values.size() / 2], values.front(), values.back());
}

// The measurements of one proxy at one load.
struct Row {
  std::vector<double> cpuMicroseconds;
  std::vector<double> p50;
  std::vector<double> p99;
  double leastCompletedShare = 1;

  void add(const Measurement &measurement) {
    cpuMicroseconds.push_back(measurement.cpuMicroseconds);
    p50.push_back(measurement.p50);
    p99.push_back(measurement.p99);
    leastCompletedShare = std::min(leastCompletedShare, measurement.completedShare);
  }
};

void printRow(double share, double perSecond, const Proxy &proxy, const Row &row) {
  fmt::print("{:>4.0f}% {:>7.0f}  {:<8} {:>22} {:>20} {:>20} {:>10.4f}\n", 100 * share, perSecond, proxy.name,
             rangeText(row.cpuMicroseconds), rangeText(row.p50), rangeText(row.p99), row.leastCompletedShare);
}

// The proxies in turn, so that both meet the same state of the machine.
void compareAt(double share, double perSecond, const std::array<Proxy, 2> &proxies, int runs) {
  std::array<Row, 2> rows;
  for (int run = 0; run < runs; ++run)
    for (std::size_t i = 0; i < proxies.size(); ++i)
      rows[i].add(measure(proxies[i], perSecond, 2 * static_cast<std::uint64_t>(run) + i));
  for (std::size_t i = 0; i < proxies.size(); ++i) printRow(share, perSecond, proxies[i], rows[i]);
  std::fflush(stdout);
}

net::Address waitForStart(sched::Scheduler &sched, Process &instance) {
  std::optional<net::Address> address;
  auto body = [&]() -> sched::Task<> {
    const net::Deadline deadline{sched.now() + kStartTimeout, nullptr};
    const auto line = co_await instance.waitForLine("instance is serving requests", deadline);
    address = net::parseAddress(line.substr(line.find(" at=") + 4));
    sched.halt();
  };
  sched.spawn(body());
  sched.run();
  if (!address) throw std::runtime_error("the instance did not start");
  return *address;
}

} // namespace

int measureProxyOverhead(const std::string &program, const std::string &folder, int runs) {
  ChildProcess fleet;
  ChildProcess relay;
  const auto addresses = startBenchFleet(
      fleet, {.cores = 10'000, .meanServiceTime = 20 * kMillisecond, .maxQueueLength = 10'000});
  const auto relayAddress = startRelay(relay, addresses);
  sched::Scheduler sched;
  net::DescriptorBudget budget(kMaxDescriptors);
  Process instance(sched, budget, program, {"serve", "--config", writeBenchConfig(addresses, folder)},
                   folder + "/floor.log");
  const auto instanceAddress = waitForStart(sched, instance);
  const std::array<Proxy, 2> proxies{Proxy{"relay", relayAddress, relay.pid},
                                     Proxy{"marshal", instanceAddress, instance.pid()}};
  const auto probe = measure(proxies[1], kProbeRate, kProbeSeed);
  const double requestsPerCore = 1e6 / probe.cpuMicroseconds;
  fmt::print("a core takes about {:.0f} reqs a second of the marshal; {} runs each, median (least-most)\n",
             requestsPerCore, runs);
  fmt::print("{:>5} {:>7}  {:<8} {:>22} {:>20} {:>20} {:>10}\n", "load", "reqs/s", "", "us of CPU a req",
             "p50 ms", "p99 ms", "completed");
  for (const double share : kLoadShares) compareAt(share, share * requestsPerCore, proxies, runs);
  sched.destroyAllTasks();
  return 0;
}

} // namespace myrtlehead::lab
