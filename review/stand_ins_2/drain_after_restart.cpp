// An instance that follows names and a list is killed and starts again while discovery is down: a node whose
// drain it was told of gets nothing new, whatever DNS says.
#include "dns.h"

using namespace review;

namespace {

constexpr int kNodes = 4, kClients = 6;
constexpr double kGraceMs = 250 + 50;         // maps-main's, and 50 ms on sockets
constexpr double kDiscoveryDownForMs = 8'000; // the pages: discovery is down for 8 s

std::atomic<bool> isOver = false;
std::atomic<double> toldAt = kForever;
std::atomic<int> late = 0, served = 0, other = 0;

void runClient(int number, int port) {
  Client client;
  for (int n = 0; !isOver; ++n) {
    if (!client.isOpen() && !client.open(port, 500)) {
      sleepMs(50);
      continue;
    }
    char id[32];
    std::snprintf(id, sizeof id, "%04x%012x", number, n);
    const auto sql = std::string("SELECT v FROM records WHERE k = '7f3a9c21e0b4d655' /* id=") + id +
                     ",c=walk-route,d=1000 */";
    const auto answer = client.ask(sql, 1500);
    record("client %d: %s after %.0f ms: %s", number, id, answer.ms, nameOf(answer.kind));
    ++(answer.kind == Answer::served ? served : other);
    if (answer.kind == Answer::closed || answer.kind == Answer::nothing) client.end();
    sleepMs(50);
  }
}

} // namespace

int main(int argc, char **argv) {
  const auto setting = begin(argc, argv);
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<Discovery::Entry> entries;
  std::vector<DnsServer::Host> hosts;
  for (int i = 1; i <= kNodes; ++i) {
    const auto name = "s-" + std::to_string(i);
    nodes.push_back(std::make_unique<Node>(name, freePort(), [](const Statement &statement) {
      const bool drains = statement.node == "s-1" && statement.atMs > toldAt;
      const bool isLate = statement.node == "s-1" && statement.atMs > toldAt + kGraceMs;
      record("%s %s %s%s", statement.node.c_str(), drains ? "turns away" : "runs", statement.id.c_str(),
             isLate ? ", sent after the grace for its drain" : "");
      late += isLate;
      return Plan{drains ? Plan::turnAway : Plan::answer, drains ? 0.0 : 50.0};
    }));
    entries.push_back({name, nodes.back()->port()});
    hosts.push_back({name + ".maps.example", nodes.back()->port(), "release=1"});
  }
  const char *ttl = std::getenv("TTL");
  const int dnsPort = freePort();
  const DnsServer dns(dnsPort, "_pg._tcp.maps.example", hosts, ttl != nullptr ? std::atoi(ttl) : 60);
  Discovery discovery(freePort(), entries);
  Config config;
  config.listenPort = freePort();
  config.discoveryPort = discovery.port();
  config.platformPort = freePort();
  config.peerPort = freePort();
  if (std::getenv("KNOWN") == nullptr) config.known = discovery.listJson(true, 0);
  Platform platform(config.platformPort);
  const auto base = setting.temporary + "/n0";
  writeFile(base + ".json", config.json());
  check(std::system(("mkdir -p " + base + ".state").c_str()) == 0, "mkdir");
  writeFile(base + ".toml", "[names]\nservers = [\"" + at(dnsPort) + "\"]\n[state]\nfolder = \"" + base +
                                ".state\"\n[[names.set]]\nname = \"_pg._tcp.maps.example\"\n");
  const auto command = setting.run + " --settings " + base + ".toml";
  const pid_t first = startProcess(command, base + ".json", base + ".log");
  awaitServing(config.listenPort, 10'000);
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) clients.emplace_back(runClient, i, config.listenPort);
  sleepMs(5000);
  check(served > 100, "too few requests were served before the drain");
  discovery.setStatus("s-1", "terminating");
  toldAt = nowMs();
  sleepMs(8000);
  check(late == 0, "s-1 was sent requests before the disruption");
  if (setting.isTroubled) {
    discovery.stop();
    signalProcess(first, SIGKILL, "n0");
    check(awaitEnd(first, nowMs() + 2000), "n0 did not end");
    sleepMs(1500);
    startProcess(command, base + ".json", base + ".log");
    record("n0 starts again");
    sleepMs(kDiscoveryDownForMs - 1500);
    discovery.start();
  } else {
    sleepMs(kDiscoveryDownForMs);
  }
  sleepMs(5000);
  isOver = true;
  for (auto &client : clients) client.join();
  const auto summary = std::to_string(late) + " requests to s-1 more than 0.3 s after its drain was told; " +
                       std::to_string(served) + " served, " + std::to_string(other) + " not";
  finish(late > 0 ? kBroken : kHeld, summary);
}
