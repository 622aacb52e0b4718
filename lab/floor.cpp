#include "lab/floor.h"

#include "lab/fleet.h"
#include "lab/load.h"
#include "lab/process.h"
#include "lab/relay.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace myrtlehead::lab {

namespace {

using nlohmann::json;
constexpr int kServers = 8;

// A forked part of the measure, ended with it.
struct Part {
  pid_t pid = 0;
  ~Part() {
    if (pid <= 0) return;
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
};

// The fleet in a process of its own; tells its addresses.
json startFleet(Part &part) {
  int fds[2];
  if (pipe(fds) != 0) throw std::runtime_error("no pipe");
  part.pid = fork();
  if (part.pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    close(fds[0]);
    sched::Scheduler sched;
    net::Descriptors budget(100'000);
    const auto any = *net::parseAddress("127.0.0.1:0");
    Fleet::Beginning beginning{
        any, any, 1, {}, {0.3, 1}, {.cores = 10'000, .mean = 20 * kMs, .queue = 10'000}, 1};
    for (int i = 1; i <= kServers; ++i) beginning.nodes.emplace_back("s-" + std::to_string(i), any);
    Fleet fleet(sched, budget, beginning);
    json out{{"discovery", fleet.discovery()},
             {"platform", fleet.platform()},
             {"known", json::parse(fleet.list(true, 0))}};
    for (int i = 1; i <= kServers; ++i)
      out["servers"].push_back(net::text(fleet.find("s-" + std::to_string(i))->address()));
    const auto text = out.dump();
    if (write(fds[1], text.data(), text.size()) != static_cast<ssize_t>(text.size())) _exit(1);
    close(fds[1]);
    sched.run();
    _exit(0);
  }
  close(fds[1]);
  std::string text;
  char bytes[4096];
  for (ssize_t n = 0; (n = read(fds[0], bytes, sizeof bytes)) > 0;)
    text.append(bytes, static_cast<std::size_t>(n));
  close(fds[0]);
  return json::parse(text);
}

net::Address startRelay(Part &part, const json &fleet) {
  std::vector<net::Address> servers;
  for (const auto &s : fleet["servers"]) servers.push_back(*net::parseAddress(s.get<std::string>()));
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  net::Address at = *net::parseAddress("127.0.0.1:0");
  socklen_t size = at.size();
  if (bind(listener, at.raw(), at.size()) != 0 || listen(listener, 1024) != 0)
    throw std::runtime_error("no listener");
  getsockname(listener, at.raw(), &size);
  part.pid = fork();
  if (part.pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    relay(listener, servers);
  }
  close(listener);
  return at;
}

std::string configure(const json &fleet, const std::string &folder) {
  std::filesystem::create_directories(folder);
  const json settings{
      {"me", 0},
      {"peersTotal", 1},
      {"locality", 0},
      {"failureDomains", {"here"}},
      {"registryMode", "ask"},
      {"resolutionUs", 1000},
      {"services", {{{"name", "read"}, {"effect", "free"}, {"onTimeUs", 250'000}, {"worth", 1}}}},
      {"familyInfo", {{"control", "by_count"}, {"caps", {0.3, 1.0}}, {"free", 2}, {"votesToGo", 1}}},
      {"contract", {{"coldUs", 100'000}}},
      {"limits", {{"mostTries", 4}}},
      {"telemetry", {{"fields", {"waiting"}}}}};
  const auto path = folder + "/floor.json";
  std::ofstream(path) << json{
      {"name", "n0"},
      {"listen", "127.0.0.1:0"},
      {"discovery", fleet["discovery"]},
      {"seed", "1"},
      {"limits", {{"sockets", 8192}, {"memory_mb", 192}}},
      {"platform",
       {{"address", fleet["platform"]},
        {"news", {{"build", 1}, {"stage", 1}, {"phase", "Healthy"}, {"cap", 1}, {"age_ms", 0}}}}},
      {"known", fleet["known"]},
      {"settings", settings}}.dump();
  return path;
}

struct Measured {
  double cpu = 0, p50 = 0, p99 = 0, completed = 0; // us a req; ms; part
};

Measured loadOnce(sched::Scheduler &sched, net::Descriptors &budget, net::Address to, double perSecond,
                  int pid, std::uint64_t seed) {
  const Load load{.perSecond = perSecond,
                  .lasts = 4 * kSec,
                  .connections = std::clamp(static_cast<int>(perSecond / 20), 64, 1024),
                  .patience = kSec};
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
  net::Descriptors budget(100'000);
  auto out = loadOnce(sched, budget, to, perSecond, pid, seed);
  sched.endAll();
  return out;
}

} // namespace

int floorMeasure(const std::string &program, const std::string &folder, int runs) {
  Part fleet, bare;
  const auto addresses = startFleet(fleet);
  const auto relayAt = startRelay(bare, addresses);
  sched::Scheduler sched;
  net::Descriptors budget(100'000);
  Process marshal(sched, budget, program, {"serve", "--config", configure(addresses, folder)},
                  folder + "/floor.log");
  std::optional<net::Address> marshalAt;
  auto start = [&]() -> sched::Task<> {
    const net::Until until{sched.now() + 10 * kSec, nullptr};
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
  sched.endAll();
  return 0;
}

} // namespace myrtlehead::lab
