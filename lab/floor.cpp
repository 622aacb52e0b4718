#include "lab/floor.h"

#include "lab/bench_fleet.h"
#include "lab/load.h"
#include "lab/process.h"
#include "lab/relay.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <unistd.h>

namespace myrtlehead::lab {

namespace {

using nlohmann::json;

net::Address startRelay(ChildProcess &part, const json &fleet) {
  std::vector<net::Address> servers;
  for (const auto &s : fleet["servers"]) servers.push_back(*net::parseAddress(s.get<std::string>()));
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  net::Address at = *net::parseAddress("127.0.0.1:0");
  socklen_t size = at.size();
  if (bind(listener, at.asSockaddr(), at.size()) != 0 || listen(listener, 1024) != 0)
    throw std::runtime_error("no listener");
  getsockname(listener, at.asSockaddr(), &size);
  part.pid = fork();
  if (part.pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    relay(listener, servers);
  }
  close(listener);
  return at;
}

struct Measured {
  double cpu = 0, p50 = 0, p99 = 0, completed = 0; // us a request; ms; part
};

Measured loadOnce(sched::Scheduler &sched, net::DescriptorBudget &budget, net::Address to, double perSecond,
                  int pid, std::uint64_t seed) {
  const Load load{.perSecond = perSecond,
                  .lasts = 4 * kSecond,
                  .connections = std::clamp(static_cast<int>(perSecond / 20), 64, 1024),
                  .patience = kSecond};
  LoadTool tool(
      sched, budget, [to] { return to; }, load, seed,
      "f" + std::to_string(seed) + "x" + std::to_string(static_cast<int>(perSecond)) + "r");
  Measured out;
  auto body = [&]() -> sched::Task<> {
    const auto before = costsOf(pid).cpuSeconds;
    co_await tool.run();
    co_await tool.finish();
    out.cpu = (costsOf(pid).cpuSeconds - before) * 1e6 /
              static_cast<double>(std::max<std::size_t>(tool.reqs().size(), 1));
    sched.halt();
  };
  sched.spawn(body());
  sched.run();
  std::vector<double> took;
  for (const auto &r : tool.reqs())
    if (r.ended == Ended::completed) took.push_back(static_cast<double>(r.took) / 1e6);
  std::sort(took.begin(), took.end());
  if (took.empty()) return out;
  out.p50 = took[took.size() / 2];
  out.p99 = took[took.size() * 99 / 100];
  out.completed = static_cast<double>(took.size()) / static_cast<double>(tool.reqs().size());
  return out;
}

struct Spread {
  std::vector<double> values;
  std::string text() {
    std::sort(values.begin(), values.end());
    return fmt::format("{:.1f} ({:.1f}-{:.1f})", values[values.size() / 2], values.front(), values.back());
  }
};

// A fresh scheduler for each load: its coroutines end with it.
Measured fresh(net::Address to, double perSecond, int pid, std::uint64_t seed) {
  sched::Scheduler sched;
  net::DescriptorBudget budget(100'000);
  auto out = loadOnce(sched, budget, to, perSecond, pid, seed);
  sched.destroyAllTasks();
  return out;
}

} // namespace

int floorMeasure(const std::string &program, const std::string &folder, int runs) {
  ChildProcess fleet, bare;
  const auto addresses = startFleet(fleet, {.cores = 10'000, .mean = 20 * kMillisecond, .queue = 10'000});
  const auto relayAt = startRelay(bare, addresses);
  sched::Scheduler sched;
  net::DescriptorBudget budget(100'000);
  Process marshal(sched, budget, program, {"serve", "--config", writeConfiguration(addresses, folder)},
                  folder + "/floor.log");
  std::optional<net::Address> marshalAt;
  auto start = [&]() -> sched::Task<> {
    const net::Deadline until{sched.now() + 10 * kSecond, nullptr};
    const auto line = co_await marshal.line("marshal serves", until);
    marshalAt = net::parseAddress(line.substr(line.find(" at=") + 4));
    sched.halt();
  };
  sched.spawn(start());
  sched.run();
  if (!marshalAt) throw std::runtime_error("the marshal did not start");
  const auto probe = fresh(*marshalAt, 1000, marshal.pid(), 99);
  const double core = 1e6 / probe.cpu;
  fmt::print("a core takes about {:.0f} reqs a second of the marshal; {} runs each, median (least-most)\n",
             core, runs);
  fmt::print("{:>5} {:>7}  {:<8} {:>22} {:>20} {:>20} {:>10}\n", "load", "reqs/s", "", "us of CPU a req",
             "p50 ms", "p99 ms", "completed");
  for (const double part : {0.1, 0.5, 0.9}) {
    struct Row {
      Spread cpu, p50, p99;
      double completed = 1;
    } rows[2];
    for (int i = 0; i < runs; ++i)
      for (const int which : {0, 1}) {
        const auto m = fresh(which == 0 ? relayAt : *marshalAt, part * core,
                             which == 0 ? bare.pid : marshal.pid(),
                             static_cast<std::uint64_t>(2 * i + which));
        rows[which].cpu.values.push_back(m.cpu), rows[which].p50.values.push_back(m.p50),
            rows[which].p99.values.push_back(m.p99);
        rows[which].completed = std::min(rows[which].completed, m.completed);
      }
    for (const int which : {0, 1})
      fmt::print("{:>4.0f}% {:>7.0f}  {:<8} {:>22} {:>20} {:>20} {:>10.4f}\n", 100 * part, part * core,
                 which == 0 ? "relay" : "marshal", rows[which].cpu.text(), rows[which].p50.text(),
                 rows[which].p99.text(), rows[which].completed);
    std::fflush(stdout);
  }
  sched.destroyAllTasks();
  return 0;
}

} // namespace myrtlehead::lab
