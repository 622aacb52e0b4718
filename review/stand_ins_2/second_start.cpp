// A member that runs is started once more by mistake. The second process ends, as its addresses are in use.
// After planned restarts of the members, every job that was accepted is still known, and none runs twice.
#include "world.h"

using namespace review;

namespace {

constexpr int kMembers = 3, kNodes = 4, kJobs = 150;
constexpr int kMostSecondStarts = 40; // for each member; they end once one of them has found the store locked

std::mutex mutex;
std::map<std::string, int> runsByKey; // by the field k, which is the job's id

std::string submit(int port, const std::string &mark, int &status) {
  std::string answer;
  const auto body = "{\"mark\":\"" + mark +
                    "\",\"submitter\":\"tiles\",\"route\":\"floor-tiles\",\"kind\":\"non-retriable\","
                    "\"key\":\"7f\",\"value\":\"01\",\"due_ms\":600000}";
  status = httpCall(port, "POST", "/jobs", body, 5000, answer);
  record("submitted %s: %d %s", mark.c_str(), status, answer.c_str());
  const auto from = answer.find("\"id\":\"");
  return from == std::string::npos ? "" : answer.substr(from + 6, 16);
}

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
  std::vector<std::string> folders;
  std::vector<pid_t> members;
  const auto startMember = [&](std::size_t i, const std::string &log) {
    return startProcess(setting.run + " --settings " + folders[i] + ".toml", folders[i] + ".json", log);
  };
  for (std::size_t i = 0; i < kMembers; ++i) {
    folders.push_back(setting.temporary + "/m" + std::to_string(i + 1));
    Config config;
    config.name = "m" + std::to_string(i + 1);
    config.listenPort = clientPorts[i];
    config.discoveryPort = discovery.port();
    config.platformPort = platformPort;
    config.peerPort = freePort();
    config.known = discovery.listJson(true, 0);
    writeFile(folders[i] + ".json", config.json());
    writeFile(folders[i] + ".toml", fleetSettings(i, fleetPorts, folders[i], ""));
    members.push_back(startMember(i, folders[i] + ".log"));
  }
  for (const int port : clientPorts) awaitServing(port, 10'000);

  // Jobs come at a steady pace; meanwhile each member is started once more, some times.
  std::map<std::string, std::string> jobs; // id by mark
  std::atomic<int> secondStarts = 0;
  std::thread mistakes([&] {
    sleepMs(500);
    if (!setting.isTroubled) return;
    for (std::size_t i = 0; i < kMembers; ++i)
      for (int n = 0; n < kMostSecondStarts; ++n) {
        const auto log = folders[i] + ".second.log";
        const pid_t second = startMember(i, log);
        ++secondStarts;
        int status = 0;
        check(awaitEnd(second, nowMs() + 5000, &status), "a second process did not end");
        check(WIFEXITED(status) && WEXITSTATUS(status) == 1,
              "a second process ended with another code than 1");
        record("m%zu was started once more, and the second process ended with code 1", i + 1);
        std::ifstream in(log);
        const std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
        check(text.find("in use") != std::string::npos, "a second process ended for another reason");
        if (access((folders[i] + "/ledger.db.refused").c_str(), F_OK) == 0) {
          record("m%zu: the second process has renamed the store", i + 1);
          break;
        }
        sleepMs(20);
      }
  });
  for (int i = 0; i < kJobs; ++i) {
    const auto mark = "plate-" + std::to_string(i);
    int status = 0;
    const auto id = submit(fleetPorts[static_cast<std::size_t>(i % kMembers)], mark, status);
    check(status == 202, "a job was not accepted");
    jobs[mark] = id;
    sleepMs(40);
  }
  mistakes.join();
  sleepMs(3000);                               // the jobs have run
  for (std::size_t i = 0; i < kMembers; ++i) { // planned restarts, one after the other
    signalProcess(members[i], SIGTERM, ("m" + std::to_string(i + 1) + ", a planned restart").c_str());
    check(awaitEnd(members[i], nowMs() + 8000), "a member did not end");
    members[i] = startMember(i, folders[i] + ".log");
    awaitServing(clientPorts[i], 10'000);
    sleepMs(1000);
  }
  int unknown = 0, silent = 0, again = 0, twice = 0;
  for (const auto &[mark, id] : jobs) {
    std::string answer;
    int status = 0;
    for (int n = 0; n < 5 && status != 200 && status != 404; ++n)
      status = httpCall(fleetPorts[0], "GET", "/jobs/" + id, "", 5000, answer);
    record("%s %s: %d %s", mark.c_str(), id.c_str(), status, answer.c_str());
    unknown += status == 404;
    silent += status != 200 && status != 404;
  }
  // A submitter that sends a mark again gets the same job.
  for (int i = 0; i < 10; ++i) {
    int status = 0;
    submit(fleetPorts[0], "plate-" + std::to_string(i), status);
    again += status == 202;
  }
  sleepMs(3000);
  const std::lock_guard lock(mutex);
  for (const auto &[mark, id] : jobs) {
    if (runsByKey[id] > 1) record("BROKEN: %s ran %d times", mark.c_str(), runsByKey[id]);
    twice += runsByKey[id] > 1;
  }
  check(silent == 0, "no quorum answered at the end");
  const auto summary = std::to_string(unknown) + " of " + std::to_string(kJobs) +
                       " accepted jobs are unknown; of 10 marks that were sent again " +
                       std::to_string(again) + " were taken for new jobs, and " + std::to_string(twice) +
                       " non-retriable jobs ran twice; " + std::to_string(secondStarts) + " second starts";
  finish(unknown > 0 || twice > 0 ? kBroken : kHeld, summary);
}
