// Discovery is silent for some seconds while jobs are accepted. All nodes are sound. A job that could not be
// sent anywhere waits in the queue, and none ends without having been tried.
#include "world.h"

using namespace review;

namespace {

constexpr int kMembers = 3, kNodes = 4, kJobs = 300;
constexpr double kSilentMs = 8'000; // as long as discovery is down on a day of herd+mass

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
  std::vector<int> fleetPorts, clientPorts;
  for (int i = 0; i < kMembers; ++i) {
    fleetPorts.push_back(freePort());
    clientPorts.push_back(freePort());
  }
  for (std::size_t i = 0; i < kMembers; ++i) {
    const auto folder = setting.temporary + "/m" + std::to_string(i + 1);
    Config config;
    config.name = "m" + std::to_string(i + 1);
    config.listenPort = clientPorts[i];
    config.discoveryPort = discovery.port();
    config.platformPort = platformPort;
    config.peerPort = freePort();
    config.known = discovery.listJson(true, 0);
    writeFile(folder + ".json", config.json());
    writeFile(folder + ".toml", fleetSettings(i, fleetPorts, folder, ""));
    startProcess(setting.run + " --settings " + folder + ".toml", folder + ".json", folder + ".log");
  }
  for (const int port : clientPorts) awaitServing(port, 10'000);
  sleepMs(2000);

  const double silentFrom = nowMs();
  if (setting.isTroubled) discovery.setSilent(true);
  std::map<std::string, std::string> jobs; // id by mark
  for (int n = 0; n < kJobs; ++n) {        // spread over the silence
    sleepUntilMs(silentFrom + kSilentMs * n / kJobs);
    const auto mark = "tiles-" + std::to_string(n);
    std::string answer;
    const int status = httpCall(fleetPorts[static_cast<std::size_t>(n % kMembers)], "POST", "/jobs",
                                "{\"mark\":\"" + mark +
                                    "\",\"submitter\":\"tiles\",\"route\":\"floor-tiles\",\"key\":\"7f\","
                                    "\"due_ms\":600000}",
                                5000, answer);
    record("submitted %s: %d %s", mark.c_str(), status, answer.c_str());
    check(status == 202, "a job was not accepted");
    jobs[mark] = answer.substr(answer.find("\"id\":\"") + 6, 16);
  }
  sleepUntilMs(silentFrom + kSilentMs);
  if (setting.isTroubled) discovery.setSilent(false);
  sleepMs(20'000); // the list is back, and backoffs are over
  int done = 0, lost = 0, open = 0;
  for (const auto &[mark, id] : jobs) {
    std::string answer;
    int status = 0;
    for (int n = 0; n < 5 && status != 200; ++n)
      status = httpCall(fleetPorts[0], "GET", "/jobs/" + id, "", 5000, answer);
    const std::lock_guard lock(mutex);
    const bool isDone = answer.find("\"state\":\"done\"") != std::string::npos;
    const bool isOver = answer.find("\"state\":\"failed\"") != std::string::npos ||
                        answer.find("\"state\":\"given up\"") != std::string::npos;
    const bool isLost = isOver && runsByKey[id] == 0;
    done += isDone;
    open += !isDone && !isOver;
    lost += isLost;
    record("%s%s, run %d times: %d %s", isLost ? "BROKEN: " : "", mark.c_str(), runsByKey[id], status,
           answer.c_str());
  }
  const auto summary = std::to_string(lost) + " of " + std::to_string(kJobs) +
                       " accepted jobs ended without having been sent to any node, minutes before they "
                       "were due; " +
                       std::to_string(done) + " are done, " + std::to_string(open) + " open";
  finish(lost > 0 ? kBroken : kHeld, summary);
}
