// An instance is held up for less than 0.15 s while the answer to its vote and, after it, news of a build
// that goes back are written to it: what was told last holds.
#include "world.h"

using namespace review;

namespace {

constexpr int kClients = 8;
constexpr double kHeldUpMs = 130;         // the pages: up to 0.15 s
constexpr double kNewsAfterMs = 40;       // from the answer to the vote to the news
constexpr double kLowerCapMs = 250 + 150; // the grace for drains, and 150 ms on sockets
constexpr double kWindowMs = 6000;        // maps-main's window
constexpr double kFree = 2 + 2;           // attempts; the second 2 are the slack on sockets
constexpr double kSlackShare = 0.04;

std::atomic<bool> isOver = false;
std::atomic<double> toldAt = kForever; // when the news was written
std::atomic<int> served = 0, notServed = 0;
std::mutex mutex;
std::vector<double> requestTimes, trialTimes; // requests sent; attempts at the build on trial
std::vector<double> wrongTimes;               // wrong answers that clients got
constexpr int kWrongOf = 5;                   // each fifth answer is wrong; the pages: 3 to 24%
std::atomic<pid_t> instance = 0;
bool isHeldUp = false;

// The platform: build 2 is on trial in its third stage; another instance's votes send it back right after
// this one's first vote to promote it was answered.
class TrialPlatform {
public:
  explicit TrialPlatform(int port) : server_(port, [this](int fd) { serve(fd); }) {}
  int votes() const { return votes_; }

private:
  static std::string form(bool goesBack, double ageMs) {
    return "build=2&stage=2&phase=" + std::string(goesBack ? "Aborting&cap=0" : "Progressing&cap=0.7") +
           "&age_ms=" + std::to_string(static_cast<long>(ageMs));
  }
  static std::string xml(bool goesBack, double ageMs) {
    return std::string("<?xml version=\"1.0\"?>\n<Response><entries><item><build>2</build><stage>2</stage>") +
           "<phase>" + (goesBack ? "Aborting" : "Progressing") + "</phase><cap>" + (goesBack ? "0" : "0.7") +
           "</cap><age_ms>" + std::to_string(static_cast<long>(ageMs)) +
           "</age_ms></item></entries></Response>";
  }
  void serve(int fd) {
    std::string in;
    HttpMessage request;
    while (readHttp(fd, in, request, kForever)) {
      if (request.first.find("/bulletin") != std::string::npos) return tell(fd);
      record("platform: %s", request.body.c_str());
      std::unique_lock lock(state_);
      const bool isFirstOn = !goesBack_ && request.body.find("verdict=on") != std::string::npos;
      const bool holdsUp = isFirstOn && isHeldUp;
      ++votes_;
      if (holdsUp) {
        signalProcess(instance, SIGSTOP, "n0, held up");
        int status = 0;
        waitpid(instance, &status, WUNTRACED);
        check(WIFSTOPPED(status), "n0 did not stop");
      }
      // The answer is written while the build is still on trial.
      const double age = goesBack_ ? nowMs() - changedAt_ : nowMs() + 8000;
      if (!writeAll(fd, httpResponse("200 OK", "text/xml", xml(goesBack_, age)))) return;
      record("platform: the vote is answered, %s", goesBack_ ? "Aborting" : "Progressing, cap 0.7");
      if (!isFirstOn) continue;
      lock.unlock();
      sleepMs(kNewsAfterMs);
      lock.lock();
      goesBack_ = true;
      changedAt_ = nowMs();
      changed_.notify_all();
      lock.unlock();
      sleepMs(kHeldUpMs - kNewsAfterMs);
      if (holdsUp) signalProcess(instance, SIGCONT, "n0");
    }
  }
  // The state at once, at each change and again every 6 s; a sign of life each second.
  void tell(int fd) {
    std::string out = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
                      "chunked\r\n\r\n";
    double toldStateAt = -kForever;
    bool toldBack = false;
    for (;;) {
      std::unique_lock lock(state_);
      const bool isChange = goesBack_ != toldBack;
      const bool isDue = isChange || nowMs() - toldStateAt >= 6000;
      const double age = goesBack_ ? nowMs() - changedAt_ : nowMs() + 8000;
      out += chunk(isDue ? "event: stage\ndata: " + form(goesBack_, age) + "\n\n" : ":\n\n");
      toldBack = goesBack_;
      lock.unlock();
      if (!writeAll(fd, out)) return;
      out.clear();
      if (isDue) {
        toldStateAt = nowMs();
        if (toldBack && toldAt == kForever) toldAt = toldStateAt;
        record("platform: news written, %s", toldBack ? "Aborting, cap 0" : "Progressing, cap 0.7");
      }
      lock.lock();
      changed_.wait_for(lock, std::chrono::milliseconds(1000), [&] { return goesBack_ != toldBack; });
    }
  }
  std::mutex state_;
  std::condition_variable changed_;
  bool goesBack_ = false;
  double changedAt_ = 0;
  std::atomic<int> votes_ = 0;
  Server server_;
};

void runClient(int number, int port) {
  std::mt19937 random(static_cast<unsigned>(number));
  Client client;
  for (int n = 0; !isOver; ++n) {
    if (!client.isOpen()) check(client.open(port, 2000), "a client cannot connect");
    char id[32];
    std::snprintf(id, sizeof id, "%04x%012x", number, n);
    const auto sql = std::string("SELECT v FROM records WHERE k = '7f3a9c21e0b4d655' /* id=") + id +
                     ",c=floor-tiles,d=2000 */";
    {
      const std::lock_guard lock(mutex);
      requestTimes.push_back(nowMs());
    }
    const auto answer = client.ask(sql, 2500);
    ++(answer.kind == Answer::served ? served : notServed);
    if (answer.text == "wrong") {
      const std::lock_guard lock(mutex);
      wrongTimes.push_back(nowMs());
      record("client %d: a wrong answer to %s", number, id);
    }
    if (answer.kind == Answer::closed || answer.kind == Answer::nothing) client.end();
    sleepMs(std::uniform_real_distribution<double>(10, 30)(random));
  }
}

} // namespace

int main(int argc, char **argv) {
  const auto setting = begin(argc, argv);
  isHeldUp = setting.isTroubled;
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<Discovery::Entry> listed;
  for (int i = 1; i <= 6; ++i) {
    const auto name = "s-" + std::to_string(i);
    const int build = i <= 3 ? 1 : 2;
    nodes.push_back(std::make_unique<Node>(name, freePort(), [build](const Statement &statement) {
      record("%s, build %d, runs %s", statement.node.c_str(), build, statement.id.c_str());
      if (build == 1) return Plan{Plan::answer, 60};
      const std::lock_guard lock(mutex);
      trialTimes.push_back(statement.atMs);
      return Plan{Plan::answer, 60, trialTimes.size() % kWrongOf == 0 ? "wrong" : ""};
    }));
    listed.push_back({name, nodes.back()->port(), "in_service", build, 1, build == 2 ? unixMs() : 0});
  }
  Discovery discovery(freePort(), listed);
  Config config;
  config.listenPort = freePort();
  config.discoveryPort = discovery.port();
  config.platformPort = freePort();
  config.peerPort = freePort();
  config.known = discovery.listJson(true, 0);
  config.instances = 3;
  config.news = "{\"build\":2,\"stage\":2,\"phase\":\"Progressing\",\"cap\":0.7,\"age_ms\":8000}";
  TrialPlatform platform(config.platformPort);
  writeFile(setting.temporary + "/n0.json", config.json());
  instance = startProcess(setting.run, setting.temporary + "/n0.json", setting.temporary + "/n0.log");
  awaitServing(config.listenPort, 10'000);
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) clients.emplace_back(runClient, i, config.listenPort);
  for (const double until = nowMs() + 30'000; toldAt == kForever; sleepMs(20))
    check(nowMs() < until, "the instance did not vote to promote the build");
  sleepMs(kLowerCapMs + kWindowMs + 1500);
  isOver = true;
  for (auto &client : clients) client.join();

  const double from = toldAt + kLowerCapMs, to = from + kWindowMs;
  const std::lock_guard lock(mutex);
  const auto countIn = [](const std::vector<double> &times, double begin, double end) {
    return std::count_if(times.begin(), times.end(), [&](double t) { return t >= begin && t < end; });
  };
  const auto requests = countIn(requestTimes, from, to), trials = countIn(trialTimes, from, to);
  const double most = kFree + kSlackShare * static_cast<double>(requests); // the cap told last is 0
  const auto before = countIn(trialTimes, 0, toldAt), wrong = countIn(wrongTimes, from, to + 500);
  check(before > 5, "the build on trial got no requests before the news");
  char summary[300];
  std::snprintf(
      summary, sizeof summary,
      "%ld attempts at the build on trial in the 6 s from 0.4 s after its cap of 0 was told, of %ld "
      "requests; %.1f pass; %ld wrong answers from it in that time; %ld attempts before; %d served, %d not",
      static_cast<long>(trials), static_cast<long>(requests), most, static_cast<long>(wrong),
      static_cast<long>(before), served.load(), notServed.load());
  finish(static_cast<double>(trials) > most ? kBroken : kHeld, summary);
}
