// A route is added by a new configuration, member by member. Jobs that a member with the new configuration
// accepts meanwhile run, and none ends without having been tried.
#include "world.h"

using namespace review;

namespace {

constexpr int kMembers = 3, kNodes = 4, kJobs = 30;

std::mutex mutex;
std::map<std::string, int> runsByKey; // by the field k, which is the job's id

} // namespace

int main(int argc, char **argv) {
  const auto setting = begin(argc, argv);
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<Discovery::Entry> entries;
  for (int i = 1; i <= kNodes; ++i) {
    const auto name = "s-" + std::to_string(i);
    nodes.push_back(std::make_unique<Node>(name, freePort(), [](const Statement &statement) {
      const std::lock_guard lock(mutex);
      ++runsByKey[statement.key];
      record("%s runs the work of k=%s", statement.node.c_str(), statement.key.c_str());
      return Plan{Plan::answer, 80};
    }));
    entries.push_back({name, nodes.back()->port()});
  }
  Discovery discovery(freePort(), entries);
  const int platformPort = freePort();
  Platform platform(platformPort);
  std::vector<int> fleetPorts, clientPorts, peerPorts;
  for (int i = 0; i < kMembers; ++i) {
    fleetPorts.push_back(freePort());
    clientPorts.push_back(freePort());
    peerPorts.push_back(freePort());
  }
  std::vector<std::string> folders;
  std::vector<pid_t> members;
  const auto configure = [&](std::size_t i, bool hasNewRoute) {
    Config config;
    config.name = "m" + std::to_string(i + 1);
    config.listenPort = clientPorts[i];
    config.discoveryPort = discovery.port();
    config.platformPort = platformPort;
    config.peerPort = peerPorts[i];
    config.known = discovery.listJson(true, 0);
    if (hasNewRoute)
      config.furtherRoutes = ",{\"name\":\"gate-plan\",\"effect\":\"free\",\"onTimeUs\":500000,"
                             "\"deadlineUs\":2000000,\"worth\":1}";
    writeFile(folders[i] + ".json", config.json());
  };
  const auto startMember = [&](std::size_t i) {
    return startProcess(setting.run + " --settings " + folders[i] + ".toml", folders[i] + ".json",
                        folders[i] + ".log");
  };
  for (std::size_t i = 0; i < kMembers; ++i) {
    folders.push_back(setting.temporary + "/m" + std::to_string(i + 1));
    configure(i, !setting.isTroubled);
    writeFile(folders[i] + ".toml", fleetSettings(i, fleetPorts, folders[i], ""));
    members.push_back(startMember(i));
  }
  for (const int port : clientPorts) awaitServing(port, 10'000);

  std::map<std::string, std::string> jobs;     // id by mark
  for (std::size_t i = 0; i < kMembers; ++i) { // one after the other, as the README asks for a new field
    if (setting.isTroubled) {
      configure(i, true);
      signalProcess(members[i], SIGTERM, ("m" + std::to_string(i + 1) + ", a planned restart").c_str());
      check(awaitEnd(members[i], nowMs() + 8000), "a member did not end");
      members[i] = startMember(i);
      awaitServing(clientPorts[i], 10'000);
    }
    for (int n = 0; i == 0 && n < kJobs; ++n) {
      const auto mark = "plan-" + std::to_string(n);
      std::string answer;
      const int status = httpCall(fleetPorts[0], "POST", "/jobs",
                                  "{\"mark\":\"" + mark +
                                      "\",\"submitter\":\"plans\",\"route\":\"gate-plan\",\"key\":\"7f\","
                                      "\"due_ms\":600000}",
                                  5000, answer);
      record("submitted %s to m1: %d %s", mark.c_str(), status, answer.c_str());
      check(status == 202, "a job was not accepted");
      jobs[mark] = answer.substr(answer.find("\"id\":\"") + 6, 16);
      sleepMs(50);
    }
    sleepMs(2000);
  }
  sleepMs(8000); // longer than a lease, the clock skew and the grace
  int ended = 0, lost = 0, open = 0;
  for (const auto &[mark, id] : jobs) {
    std::string answer;
    int status = 0;
    for (int n = 0; n < 5 && status != 200; ++n)
      status = httpCall(fleetPorts[0], "GET", "/jobs/" + id, "", 5000, answer);
    const std::lock_guard lock(mutex);
    const bool isDone = answer.find("\"state\":\"done\"") != std::string::npos;
    const bool isOver = answer.find("\"state\":\"failed\"") != std::string::npos ||
                        answer.find("\"state\":\"given up\"") != std::string::npos;
    ended += isDone;
    open += !isDone && !isOver;
    lost += isOver && runsByKey[id] == 0;
    record("%s%s, run %d times: %d %s", isOver && runsByKey[id] == 0 ? "BROKEN: " : "", mark.c_str(),
           runsByKey[id], status, answer.c_str());
  }
  check(open == 0, "some jobs were open at the end");
  const auto summary = std::to_string(lost) + " of " + std::to_string(kJobs) +
                       " accepted jobs ended without having been sent to any node, ten minutes before they "
                       "were due; " +
                       std::to_string(ended) + " are done";
  finish(lost > 0 ? kBroken : kHeld, summary);
}
