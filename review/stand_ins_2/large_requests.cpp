// Clients that stop in the middle of a large request and stay, beside usual clients whose values have 24 KiB:
// each of the latter's requests gets its answer.
#include "world.h"

using namespace review;

namespace {

constexpr int kNodes = 4, kUsualClients = 6, kStoppingClients = 100;
constexpr std::size_t kValueBytes = 24 * 1024; // the pages allow 64 KiB
// What a stopping client's message would have, beyond its type.
constexpr std::uint32_t kLeastAnnounced = 20'000, kMostAnnounced = 250'000;
constexpr double kPatienceMs = 1000; // d; map-fix has a route timeout of 1.5 s
constexpr double kLostAfterMs = kPatienceMs + 500;

std::atomic<bool> isOver = false, isTrouble = false;
std::atomic<int> asked = 0, answered = 0, stopped = 0, owedInTime = 0, askedAgain = 0;
std::mutex mutex;
std::vector<std::string> lostRequests;

// Sends a startup message and the first bytes of a large query, and stays until the connection is closed, or
// it is told an error; then the same again.
void runStopping(int number, int port) {
  std::mt19937 random(static_cast<unsigned>(1000 + number));
  std::uniform_int_distribution<std::uint32_t> size(kLeastAnnounced, kMostAnnounced);
  while (!isOver) {
    Client client;
    const double openedAt = nowMs();
    if (!client.open(port, 3000)) {
      sleepMs(50);
      continue;
    }
    std::string start(1, 'Q');
    put32(start, size(random));
    start += "INSERT INTO records (k, v) VALUES ('7f', '";
    ++stopped;
    if (writeAll(client.fd(), start)) {
      std::string in;
      if (readSome(client.fd(), in, openedAt + 10'000) >= 0 && nowMs() - openedAt <= 3000) ++owedInTime;
    }
  }
}

// Opens a connection and has a small request served on it, so that no large one is the first of a connection.
void openUsual(Client &client, int number, int n, int port) {
  check(client.open(port, 5000), "a usual client cannot connect");
  char id[32];
  std::snprintf(id, sizeof id, "%04xf%011x", number, n);
  const auto answer = client.ask("SELECT v FROM records WHERE k = '7f3a9c21e0b4d655' /* id=" +
                                     std::string(id) + ",c=floor-tiles,d=2000 */",
                                 2500);
  check(answer.kind == Answer::served, "a small request was not served");
}

void runUsual(int number, int port) {
  std::mt19937 random(static_cast<unsigned>(number));
  Client client;
  for (int n = 0; !isOver; ++n) {
    if (!client.isOpen()) openUsual(client, number, 2 * n, port);
    char id[32];
    std::snprintf(id, sizeof id, "%04x%012x", number, n);
    const auto head = std::string("INSERT INTO records (k, v) VALUES ('7f3a9c21e0b4d655', '\\x");
    const auto sql = head + std::string(2 * kValueBytes, 'a') + "') RETURNING v /* id=" + id +
                     ",c=map-fix,d=1000,k=" + id + " */";
    ++asked;
    auto answer = client.ask(sql, kLostAfterMs);
    if (answer.kind == Answer::closed) {
      // It may have crossed the end of an idle connection: sent once more, on a new one.
      record("client %d: %s: closed without an answer after %.0f ms, sent once more", number, id, answer.ms);
      ++askedAgain;
      client.end();
      openUsual(client, number, 2 * n + 1, port);
      answer = client.ask(sql, kLostAfterMs);
    }
    record("client %d: %s after %.0f ms: %s", number, id, answer.ms, nameOf(answer.kind));
    if (answer.kind == Answer::closed || answer.kind == Answer::nothing) {
      const std::lock_guard lock(mutex);
      lostRequests.push_back(id);
      // What becomes of the connection later, for the record.
      if (answer.kind == Answer::nothing) {
        const auto late = client.awaitAnswer(4000);
        record("client %d: %s, %.0f ms later: %s", number, id, late.ms, nameOf(late.kind));
      }
      client.end();
    } else {
      ++answered;
    }
    sleepMs(std::uniform_real_distribution<double>(100, 300)(random));
  }
}

} // namespace

int main(int argc, char **argv) {
  const auto setting = begin(argc, argv);
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<Discovery::Entry> entries;
  for (int i = 1; i <= kNodes; ++i) {
    const auto name = "s-" + std::to_string(i);
    nodes.push_back(std::make_unique<Node>(name, freePort(), [](const Statement &statement) {
      record("%s runs %s", statement.node.c_str(), statement.id.c_str());
      return Plan{Plan::answer, 60};
    }));
    entries.push_back({name, nodes.back()->port()});
  }
  Discovery discovery(freePort(), entries);
  Config config;
  config.listenPort = freePort();
  config.discoveryPort = discovery.port();
  config.platformPort = freePort();
  config.peerPort = freePort();
  config.memoryMb = 64;
  config.known = discovery.listJson(true, 0);
  Platform platform(config.platformPort);
  writeFile(setting.temporary + "/n0.json", config.json());
  startProcess(setting.run, setting.temporary + "/n0.json", setting.temporary + "/n0.log");
  awaitServing(config.listenPort, 10'000);

  std::vector<std::thread> usual, stopping;
  for (int i = 0; i < kUsualClients; ++i) usual.emplace_back(runUsual, i, config.listenPort);
  sleepMs(3000);
  {
    const std::lock_guard lock(mutex);
    check(lostRequests.empty(), "requests were lost before the disruption");
  }
  record("%d clients stop in the middle of a request", setting.isTroubled ? kStoppingClients : 0);
  if (setting.isTroubled)
    for (int i = 0; i < kStoppingClients; ++i) stopping.emplace_back(runStopping, i, config.listenPort);
  sleepMs(20'000);
  isOver = true;
  for (auto &client : usual) client.join();
  for (auto &client : stopping) client.join();
  const auto summary = std::to_string(lostRequests.size()) + " of " + std::to_string(asked) +
                       " usual requests never answered; " + std::to_string(answered) + " answered, " +
                       std::to_string(askedAgain) + " sent once more; " + std::to_string(stopped) +
                       " stopped requests, " + std::to_string(owedInTime) + " of them ended within 3 s";
  finish(lostRequests.empty() ? kHeld : kBroken, summary);
}
