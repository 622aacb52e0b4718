// Jobs of the kind non-retriable on a retriable route, while some answers of the nodes are lost: no job may
// run twice.
#include "world.h"

using namespace review;

namespace {

constexpr int kMembers = 3, kNodes = 5, kJobs = 60;
constexpr int kLosingNodes = 3;      // 60% of the nodes; the pages allow up to 79%
constexpr int kLostOf = 5, kNth = 3; // the third of each five answers is lost: 20%; the pages allow 15 to 34%

std::mutex mutex;
std::map<std::string, std::vector<std::string>> runsByKey; // by the field k, which is the job's id
std::map<std::string, int> statements, lost;               // by node

} // namespace

int main(int argc, char **argv) {
  const auto setting = begin(argc, argv);
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<Discovery::Entry> entries;
  for (int i = 1; i <= kNodes; ++i) {
    const auto name = "s-" + std::to_string(i);
    const bool losesAnswers = setting.isTroubled && i <= kLosingNodes;
    nodes.push_back(std::make_unique<Node>(name, freePort(), [losesAnswers](const Statement &statement) {
      const std::lock_guard lock(mutex);
      runsByKey[statement.key].push_back(statement.node);
      const bool isLost = losesAnswers && statements[statement.node]++ % kLostOf == kNth - 1;
      lost[statement.node] += isLost;
      record("%s runs the work of k=%s id=%s%s", statement.node.c_str(), statement.key.c_str(),
             statement.id.c_str(), isLost ? "; its answer is lost, the connection is reset" : "");
      return Plan{isLost ? Plan::reset : Plan::answer, 60};
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

  std::map<std::string, std::string> jobs; // id by mark
  for (int i = 0; i < kJobs; ++i) {
    const auto mark = "plate-" + std::to_string(i);
    const auto body = "{\"mark\":\"" + mark +
                      "\",\"submitter\":\"tiles\",\"route\":\"floor-tiles\",\"kind\":\"non-retriable\","
                      "\"key\":\"7f\",\"value\":\"0" +
                      std::to_string(i % 10) + "\",\"due_ms\":60000}";
    std::string answer;
    const int status = httpCall(fleetPorts[static_cast<std::size_t>(i % kMembers)], "POST", "/jobs", body,
                                5000, answer);
    record("submitted %s: %d %s", mark.c_str(), status, answer.c_str());
    check(status == 202, "a job was not accepted");
    const auto from = answer.find("\"id\":\"");
    check(from != std::string::npos, "an answer without an id");
    jobs[mark] = answer.substr(from + 6, 16);
    sleepMs(100);
  }
  // Each job ends as done, failed or given up; the lease, the clock skew and the grace are 6.5 s.
  std::set<std::string> open;
  for (const auto &[mark, id] : jobs) open.insert(id);
  for (const double until = nowMs() + 30'000; !open.empty() && nowMs() < until; sleepMs(500)) {
    for (auto id = open.begin(); id != open.end();) {
      std::string answer;
      const bool isEnded = httpCall(fleetPorts[0], "GET", "/jobs/" + *id, "", 4000, answer) == 200 &&
                           (answer.find("\"state\":\"done\"") != std::string::npos ||
                            answer.find("\"state\":\"failed\"") != std::string::npos ||
                            answer.find("\"state\":\"given up\"") != std::string::npos);
      if (isEnded) record("report: %s", answer.c_str());
      id = isEnded ? open.erase(id) : std::next(id);
    }
  }
  sleepMs(3000); // nothing more comes
  int twice = 0, losses = 0;
  const std::lock_guard lock(mutex);
  for (const auto &[node, count] : lost) losses += count;
  for (const auto &[mark, id] : jobs) {
    const auto &runs = runsByKey[id];
    if (runs.size() <= 1) continue;
    ++twice;
    std::string where;
    for (const auto &node : runs) where += " " + node;
    record("BROKEN: the job %s (%s), not idempotent, ran %zu times, at%s", mark.c_str(), id.c_str(),
           runs.size(), where.c_str());
  }
  const auto summary = std::to_string(twice) + " of " + std::to_string(kJobs) +
                       " non-retriable jobs ran more than once; " + std::to_string(losses) +
                       " answers were lost";
  check(!setting.isTroubled || losses > 0, "no answer was lost");
  finish(twice > 0 ? kBroken : kHeld, summary);
}
