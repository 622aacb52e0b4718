#include "lab/bench_fleet.h"

#include "lab/fleet.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace myrtlehead::lab {

namespace {
using nlohmann::json;
constexpr int kNodes = 8;
} // namespace

ChildProcess::~ChildProcess() {
  if (pid <= 0) return;
  kill(pid, SIGKILL);
  waitpid(pid, nullptr, 0);
}

json startBenchFleet(ChildProcess &child, const ServiceModel &work) {
  int fds[2];
  if (pipe(fds) != 0) throw std::runtime_error("can't create a pipe to the fleet process");
  child.pid = fork();
  if (child.pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    close(fds[0]);
    sched::Scheduler sched;
    net::DescriptorBudget budget(100'000);
    const auto anyPort = *net::parseAddress("127.0.0.1:0");
    Fleet::Settings fleetSettings{anyPort, anyPort, 1, {}, {0.3, 1}, work, 1};
    for (int i = 1; i <= kNodes; ++i) fleetSettings.nodes.emplace_back("s-" + std::to_string(i), anyPort);
    Fleet fleet(sched, budget, fleetSettings);
    json out{{"discovery", fleet.discoveryAddress()},
             {"platform", fleet.platformAddress()},
             {"known", json::parse(fleet.endpointListJson(true, 0))}};
    for (int i = 1; i <= kNodes; ++i)
      out["servers"].push_back(net::formatAddress(fleet.findNode("s-" + std::to_string(i))->address()));
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

std::string writeBenchConfig(const json &fleet, const std::string &folder) {
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
  auto path = folder + "/marshal.json";
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

} // namespace myrtlehead::lab
