// A soak of the client-facing side. Usual clients send requests beside clients that misbehave, with an
// endpoint that fails and system calls that fail for a moment, all drawn from a seed. Each request of a usual
// client has to get its final answer, and each client that stops inside a message its error or close.
//
// MYRTLEHEAD_SOAK_PLAYS is the number of plays, of about eight seconds each; the play's number is its seed.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "client_fixture.h"
#include "failing_calls.h"

#include <arpa/inet.h>

using namespace myrtlehead;

namespace {

constexpr int kDefaultPlays = 6;
constexpr Nanoseconds kPlayTime = 5 * kSecond;
constexpr Nanoseconds kTimeoutMs = 700;                // of a usual client's requests
constexpr Nanoseconds kGrace = kSecond / 2;            // after which a request without an answer is lost
constexpr Nanoseconds kMaxTimeOfStopped = 3 * kSecond; // until a client that stops is told or closed
constexpr Nanoseconds kSchedulingSlack = 200 * kMillisecond; // of this machine, for the test's own tasks
constexpr int kUsualClients = 20;
constexpr int kBadClients = 40;

struct Tally {
  int answered = 0;
  int refusedOrFailed = 0;
  int sentAgain = 0; // requests that crossed the end of a connection
  int lost = 0;
  int overstayed = 0; // clients that stopped and were neither told nor closed in time
  int badConnections = 0;
};

enum class Outcome { answered, error, closed, late };

class Play {
public:
  Play(unsigned seed, int descriptors)
      : random_(seed),
        proxy_([this](net::Socket &s, net::Buffer &b) { return serve(s, b); }, {.descriptors = descriptors}) {
    recvFailure.share = sendFailure.share = 0.002;
    acceptFailure.share = epollFailure.share = 0.02;
    recvFailure.drawnErrors = sendFailure.drawnErrors = {EINTR, ENOMEM, ENOBUFS};
    acceptFailure.drawnErrors = {EINTR, ENOMEM, ENFILE, EMFILE, ECONNABORTED, EPROTO};
    epollFailure.drawnErrors = {ENOMEM, ENOSPC};
    for (auto *failure : {&recvFailure, &sendFailure, &acceptFailure, &epollFailure})
      failure->random.seed(seed);
  }
  ~Play() {
    for (auto *failure : {&recvFailure, &sendFailure, &acceptFailure, &epollFailure}) failure->share = 0;
  }

  Tally run() {
    auto body = [this]() -> sched::Task<> {
      endsAt_ = sched().now() + kPlayTime;
      for (int i = 0; i < kUsualClients; ++i) spawn(usualClient());
      for (int i = 0; i < kBadClients; ++i) spawn(badClient());
      while (running_ > 0) co_await sched().sleep(10 * kMillisecond);
    };
    proxy_.loop.run(body());
    return tally_;
  }

private:
  sched::Scheduler &sched() { return proxy_.loop.sched; }
  int draw(int from, int to) { return std::uniform_int_distribution<int>(from, to)(random_); }
  bool isOver() { return sched().now() >= endsAt_; }

  void spawn(sched::Task<> client) {
    ++running_;
    sched().spawn(runAndCount(std::move(client)));
  }
  sched::Task<> runAndCount(sched::Task<> client) {
    co_await client;
    --running_;
  }

  // The endpoint: answers late, in parts, with errors, or not at all.
  sched::Task<> serve(net::Socket &s, net::Buffer &b) {
    if (!co_await ScriptedServer::acceptStartup(s, b)) co_return;
    for (;;) {
      const auto sql = co_await ScriptedServer::readQuery(s, b);
      if (sql.empty()) co_return;
      const int kind = draw(0, 99);
      const int size = kind < 70 ? 100 : draw(24'000, 64'000);
      auto answer = ScriptedServer::rowAnswer(std::string(static_cast<std::size_t>(size), 'x'));
      co_await sched().sleep(draw(0, kind < 5 ? 900 : 15) * kMillisecond);
      if (kind == 99) co_return;
      if (kind == 98) answer.resize(answer.size() / 2);
      co_await s.write(answer, {});
      if (kind == 98) co_await sched().sleep(kSecond);
      if (kind == 98) co_return;
    }
  }

  std::string request(int bytes, Nanoseconds timeoutMs = kTimeoutMs) {
    const std::string key(static_cast<std::size_t>(bytes), 'k');
    return queryMessage("SELECT v FROM records WHERE k = '" + key + "' /* id=" + std::to_string(++lastId_) +
                        ",c=read,d=" + std::to_string(timeoutMs) + " */");
  }

  sched::Task<std::unique_ptr<net::Socket>> connect() {
    for (;;) {
      auto socket = co_await net::connect(sched(), proxy_.loop.budget, proxy_.listener.address(), {});
      if (socket) co_return std::move(*socket);
      co_await sched().sleep(5 * kMillisecond);
    }
  }

  // Reads up to `readyCount` ReadyForQuery messages, a fatal error or the end of the connection.
  sched::Task<Outcome> readOutcome(net::Socket &s, net::Buffer &b, int readyCount, Nanoseconds until) {
    bool hasError = false;
    while (readyCount > 0) {
      pg::Message m;
      if (pg::parseMessage(b.view(), m, pg::kMaxRowBytes) == pg::ParseStatus::complete) {
        hasError |= m.type == 'E';
        readyCount -= m.type == 'Z';
        b.consume(m.size);
        continue;
      }
      const auto error = co_await s.read(b, {until, nullptr});
      if (error == net::ErrorCode::timedOut) co_return Outcome::late;
      if (error != net::ErrorCode::none) co_return hasError ? Outcome::error : Outcome::closed;
    }
    co_return hasError ? Outcome::error : Outcome::answered;
  }

  sched::Task<> usualClient() {
    std::unique_ptr<net::Socket> socket;
    net::Buffer buffer;
    while (!isOver()) {
      co_await sched().sleep(draw(5, 40) * kMillisecond);
      const int bytes = draw(0, 2) == 0 ? draw(20'000, 60'000) : 16;
      bool isNew = socket == nullptr;
      auto outcome = Outcome::closed;
      for (;;) {
        if (isNew) buffer = net::Buffer();
        if (isNew) socket = co_await connect();
        const auto message = (isNew ? startupMessage() : "") + request(bytes);
        const auto until = sched().now() + kTimeoutMs * kMillisecond + kGrace + kSchedulingSlack;
        co_await socket->write(message, {until, nullptr});
        outcome = co_await readOutcome(*socket, buffer, isNew ? 2 : 1, until);
        if (outcome != Outcome::closed || isNew) break;
        isNew = true; // the request has crossed the end of an idle connection
        ++tally_.sentAgain;
      }
      tally_.answered += outcome == Outcome::answered;
      tally_.refusedOrFailed += outcome == Outcome::error;
      const bool isLost = outcome == Outcome::closed || outcome == Outcome::late;
      if (isLost) ++tally_.lost;
      if (isLost || draw(0, 9) == 0 || !socket->isOpenAndIdle()) socket = nullptr;
    }
  }

  sched::Task<> badClient() {
    while (!isOver()) {
      ++tally_.badConnections;
      auto socket = co_await connect();
      const int kind = draw(0, 8);
      if (kind == 0) co_await stopInside(*socket, startupMessage(), draw(1, 30));
      if (kind == 1) co_await stopInside(*socket, startupMessage() + request(draw(20'000, 250'000)), 0);
      if (kind == 2) co_await stopAfterFirst(*socket);
      if (kind == 3) co_await leaveUnread(*socket);
      if (kind == 4) co_await sendInSteps(*socket);
      if (kind == 5) co_await resetInside(*socket);
      if (kind == 6) co_await pipelineLarge(*socket);
      if (kind == 7) co_await sendInvalid(*socket);
      if (kind == 8) co_await endSending(*socket);
      co_await sched().sleep(draw(1, 50) * kMillisecond);
    }
  }

  // Sends a part of the bytes, at random unless `sentBytes` is given, and stays.
  sched::Task<> stopInside(net::Socket &s, std::string bytes, int sentBytes) {
    if (sentBytes == 0) sentBytes = draw(60, static_cast<int>(bytes.size()) - 1);
    bytes.resize(static_cast<std::size_t>(sentBytes));
    co_await s.write(bytes, {sched().now() + kSecond, nullptr});
    co_await awaitEnd(s);
  }
  sched::Task<> awaitEnd(net::Socket &s) {
    net::Buffer b;
    const auto until = sched().now() + kMaxTimeOfStopped + kSchedulingSlack;
    auto error = net::ErrorCode::none;
    while (error == net::ErrorCode::none) {
      b.consume(b.view().size());
      error = co_await s.read(b, {until, nullptr});
    }
    tally_.overstayed += error == net::ErrorCode::timedOut;
  }
  sched::Task<> stopAfterFirst(net::Socket &s) {
    net::Buffer b;
    const auto first = startupMessage() + queryMessage("SELECT 1");
    co_await s.write(first, {sched().now() + kSecond, nullptr});
    co_await readOutcome(s, b, 2, sched().now() + kSecond);
    co_await stopInside(s, request(draw(1, 250'000)), 0);
  }
  sched::Task<> leaveUnread(net::Socket &s) {
    const int bytes = 4096;
    REQUIRE(setsockopt(s.fd(), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes) == 0);
    auto requests = startupMessage();
    for (int i = draw(1, 60); i > 0; --i) requests += request(16);
    co_await s.write(requests, {sched().now() + kSecond, nullptr});
    co_await sched().sleep(draw(0, 3000) * kMillisecond);
  }
  sched::Task<> sendInSteps(net::Socket &s) {
    auto bytes = startupMessage() + request(draw(20'000, 200'000));
    auto error = net::ErrorCode::none;
    for (int i = 0; i < 40 && !bytes.empty() && error == net::ErrorCode::none; ++i) {
      const auto step = bytes.substr(0, 700);
      bytes.erase(0, 700);
      error = co_await s.write(step, {sched().now() + kSecond, nullptr});
      co_await sched().sleep(draw(1, 60) * kMillisecond);
    }
  }
  sched::Task<> resetInside(net::Socket &s) {
    const linger abort{1, 0};
    auto bytes = startupMessage() + request(draw(1, 100'000));
    bytes.resize(static_cast<std::size_t>(draw(1, static_cast<int>(bytes.size()))));
    co_await s.write(bytes, {sched().now() + kSecond, nullptr});
    co_await sched().sleep(draw(0, 30) * kMillisecond);
    REQUIRE(setsockopt(s.fd(), SOL_SOCKET, SO_LINGER, &abort, sizeof abort) == 0);
  }
  sched::Task<> pipelineLarge(net::Socket &s) {
    auto requests = startupMessage();
    for (int i = draw(2, 12); i > 0; --i) requests += request(draw(20'000, 200'000));
    co_await s.write(requests, {sched().now() + kSecond, nullptr});
    co_await sched().sleep(draw(0, 500) * kMillisecond);
  }
  sched::Task<> sendInvalid(net::Socket &s) {
    auto commands = startupMessage();
    for (int i = draw(1, 300); i > 0; --i) commands += queryMessage("SELECT 2 /* id=1,c=odd,d=5 */");
    co_await s.write(commands, {sched().now() + kSecond, nullptr});
    co_await sched().sleep(draw(0, 200) * kMillisecond);
  }

  // Ends its sending behind a request, and is owed the outcome.
  sched::Task<> endSending(net::Socket &s) {
    net::Buffer b;
    const auto bytes = startupMessage() + request(draw(16, 60'000));
    const auto until = sched().now() + kTimeoutMs * kMillisecond + kGrace + kSchedulingSlack;
    co_await s.write(bytes, {until, nullptr});
    co_await sched().sleep(draw(0, 20) * kMillisecond);
    s.shutdownWrite();
    const auto outcome = co_await readOutcome(s, b, 2, until);
    tally_.lost += outcome == Outcome::closed || outcome == Outcome::late;
  }

  std::mt19937 random_;
  ProxyFixture proxy_;
  Tally tally_;
  Nanoseconds endsAt_ = 0;
  int running_ = 0;
  int lastId_ = 0;
};

int playCount() {
  const char *const text = std::getenv("MYRTLEHEAD_SOAK_PLAYS");
  return text == nullptr ? kDefaultPlays : std::atoi(text);
}

} // namespace

// Guards against requests that are read and left unanswered, and against clients that keep the memory or the
// descriptors of others. Every second play has few descriptors.
TEST_CASE("requests get their final answer beside clients that misbehave and calls that fail") {
  for (int seed = 1; seed <= playCount(); ++seed) {
    const bool hasFewDescriptors = seed % 2 == 0;
    const auto tally = Play(static_cast<unsigned>(seed), hasFewDescriptors ? 48 : 1000).run();
    std::printf("seed %d: %d answered, %d refused or failed, %d sent again, %d lost; %d bad connections, %d "
                "of them overstayed\n",
                seed, tally.answered, tally.refusedOrFailed, tally.sentAgain, tally.lost,
                tally.badConnections, tally.overstayed);
    std::fflush(stdout);
    CAPTURE(seed);
    CHECK(tally.answered > 100);
    CHECK(tally.lost == 0);
    CHECK(tally.overstayed == 0);
    if (!hasFewDescriptors) CHECK(tally.sentAgain == 0);
  }
}
