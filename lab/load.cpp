#include "lab/load.h"

#include "format/pg/message.h"

#include <charconv>

namespace myrtlehead::lab {

namespace {

constexpr Nanoseconds kConnectTimeout = kSecond; // including the handshake
constexpr Nanoseconds kReconnectInterval = 5 * kMillisecond;
constexpr Nanoseconds kAnswerGrace = kSecond; // beyond twice the client timeout
constexpr std::string_view kShedCode = "53300";

// Reads the build from the end of a node's row: "s-1 runs build 7".
void readBuild(std::string_view row, int &build) {
  const auto space = row.rfind(' ');
  if (space == std::string_view::npos) return;
  std::from_chars(row.data() + space + 1, row.data() + row.size(), build);
}

} // namespace

LoadTool::LoadTool(net::Scheduler &sched, net::DescriptorBudget &budget,
                   std::function<net::Address()> serverAddress, const LoadSettings &load, std::uint64_t seed,
                   std::string idPrefix)
    : sched_(sched), budget_(budget), serverAddress_(std::move(serverAddress)), load_(load), random_(seed),
      idPrefix_(std::move(idPrefix)) {}

// If the machine stalls, the requests that became due meanwhile keep their own due times, so that the stall
// counts in their latency.
net::Task<> LoadTool::run() {
  const Nanoseconds startedAt = sched_.now();
  std::exponential_distribution<double> gap(load_.requestsPerSecond);
  for (double at = gap(random_); at < static_cast<double>(load_.duration) / 1e9; at += gap(random_)) {
    const Nanoseconds due = startedAt + static_cast<Nanoseconds>(at * 1e9);
    if (due > sched_.now()) co_await sched_.sleep(due - sched_.now());
    requests_.push_back({due});
    due_.push_back(requests_.size() - 1);
    ++pending_;
    if (idleWorkers_ == 0 && workers_ < load_.connections) {
      ++workers_;
      sched_.spawn(worker());
    } else {
      requestDue_.notify();
    }
  }
}

net::Task<> LoadTool::finish() {
  const Nanoseconds until = sched_.now() + 2 * load_.clientTimeout + kAnswerGrace;
  while (pending_ > 0 && sched_.now() < until) co_await sched_.sleep(10 * kMillisecond);
  for (auto &request : requests_)
    if (request.outcome == RequestOutcome::pending) request.outcome = RequestOutcome::lost;
}

std::string LoadTool::makeStatement(std::size_t number) {
  std::uniform_real_distribution<double> uniform(0, 1);
  const double draw = uniform(random_);
  const char *route = draw < load_.writeShare                     ? "write"
                      : draw < load_.writeShare + load_.onceShare ? "once"
                                                                  : "read";
  const bool isRead = std::string_view(route) == "read";
  const auto comment = " /* id=" + idPrefix_ + std::to_string(number) + ",c=" + route +
                       ",d=" + std::to_string(load_.clientTimeout / kMillisecond) + " */";
  return (isRead ? "SELECT v FROM records WHERE k = '7f'"
                 : "INSERT INTO records (k, v) VALUES ('7f', 'x') RETURNING v") +
         comment;
}

// Uses one connection at a time and reconnects if it breaks. A request whose connection breaks before the
// answer arrives is lost.
net::Task<> LoadTool::worker() {
  for (;;) {
    const net::Deadline deadline{sched_.now() + kConnectTimeout, nullptr};
    auto socket = co_await net::connect(sched_, budget_, serverAddress_(), deadline);
    if (!socket) {
      co_await sched_.sleep(kReconnectInterval);
      continue;
    }
    net::Buffer buffer;
    bool isUsable = co_await handshake(**socket, buffer, deadline);
    while (isUsable) {
      while (due_.empty()) {
        ++idleWorkers_;
        co_await sched_.wait(requestDue_);
        --idleWorkers_;
      }
      if (!buffer.empty()) hasStrayAnswers_ = true;
      if (!(*socket)->isOpenAndIdle())
        break; // The server closed the idle connection: reconnect, as clients do.
      const auto number = due_.front();
      due_.pop_front();
      isUsable = co_await sendRequest(**socket, buffer, number);
    }
  }
}

net::Task<bool> LoadTool::handshake(net::Socket &socket, net::Buffer &buffer, net::Deadline deadline) {
  std::string startup;
  pg::addStartup(startup, "svc", "main");
  co_await socket.write(startup, deadline);
  for (;;) {
    pg::Message message;
    const auto parsed = pg::parseMessage(buffer.view(), message);
    if (parsed == pg::ParseStatus::complete) {
      const bool isReady = message.type == 'Z';
      buffer.consume(message.size);
      if (isReady) co_return true;
    }
    if (parsed == pg::ParseStatus::incomplete) {
      const auto error = co_await socket.read(buffer, deadline);
      if (error != net::ErrorCode::none) co_return false;
    }
  }
}

net::Task<bool> LoadTool::sendRequest(net::Socket &socket, net::Buffer &buffer, std::size_t number) {
  auto &request = requests_[number];
  std::string query;
  pg::addQuery(query, makeStatement(number));
  const net::Deadline deadline{sched_.now() + 2 * load_.clientTimeout + kAnswerGrace, nullptr};
  auto error = co_await socket.write(query, deadline);
  bool isComplete = false;
  auto outcome = RequestOutcome::lost;
  while (error == net::ErrorCode::none && !isComplete) {
    pg::Message message;
    if (pg::parseMessage(buffer.view(), message, pg::kMaxRowBytes) != pg::ParseStatus::complete) {
      error = co_await socket.read(buffer, deadline);
      continue;
    }
    if (message.type == 'C') {
      outcome = RequestOutcome::succeeded;
      ++request.finalAnswers;
    } else if (message.type == 'E') {
      outcome = pg::errorCode(message.body) == kShedCode ? RequestOutcome::shed : RequestOutcome::failed;
      ++request.finalAnswers;
    } else if (message.type == 'D') {
      readBuild(message.body, request.build);
    }
    isComplete = message.type == 'Z';
    buffer.consume(message.size);
  }
  request.latency = sched_.now() - request.dueAt;
  request.outcome = isComplete ? outcome : RequestOutcome::lost;
  --pending_;
  co_return isComplete;
}

} // namespace myrtlehead::lab
