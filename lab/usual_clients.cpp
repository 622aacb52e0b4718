#include "lab/usual_clients.h"

#include "format/pg/message.h"

#include <algorithm>
#include <fmt/format.h>

namespace myrtlehead::lab {

namespace {

constexpr int kClients = 6;
constexpr Nanoseconds kInterval = 50 * kMillisecond;
constexpr Nanoseconds kTimeout = 500 * kMillisecond;              // of each request
constexpr Nanoseconds kLostAfter = kTimeout + 500 * kMillisecond; // by the operators' terms

} // namespace

Nanoseconds UsualTally::percentile99() const {
  if (latencies.empty()) return 0;
  auto sorted = latencies;
  std::sort(sorted.begin(), sorted.end());
  return sorted[(sorted.size() - 1) * 99 / 100];
}

void UsualClients::run() {
  for (running_ = 0; running_ < kClients; ++running_) sched_.spawn(client(running_));
  sched_.run();
  sched_.destroyAllTasks();
  hasEnded_ = true;
}

net::Task<> UsualClients::client(int number) {
  std::unique_ptr<net::Socket> socket;
  net::Buffer buffer;
  while (!isOver_) {
    co_await sched_.sleep(kInterval);
    const auto begun = sched_.now();
    auto &tally = begun < quietUntil_ ? quiet_ : crowded_;
    const int id = ++lastId_;
    std::string query;
    pg::addQuery(query, fmt::format("SELECT v FROM records WHERE k = '{:x}' /* id=usual{},c=read,d={} */",
                                    number, id, kTimeout / kMillisecond));
    const auto answer = co_await ask(socket, buffer, query, begun + kLostAfter);
    const auto elapsed = sched_.now() - begun;
    ++tally.asked;
    tally.rows += answer.hasRow;
    tally.lost += !answer.isComplete;
    if (answer.isComplete)
      tally.latencies.push_back(elapsed);
    else
      tally.latestLoss = fmt::format("; usual{} after {} ms: {}", id, elapsed / kMillisecond, answer.failure);
  }
  if (--running_ == 0) sched_.halt();
}

// Sends the request once more, on a new connection, if it has crossed the end of the one that was kept.
net::Task<UsualClients::Answer> UsualClients::ask(std::unique_ptr<net::Socket> &socket, net::Buffer &buffer,
                                                  const std::string &query, Nanoseconds until) {
  Answer answer;
  if (socket != nullptr && socket->isOpenAndIdle())
    answer = co_await exchange(*socket, buffer, query, 1, until);
  if (answer.isComplete) co_return answer;
  buffer = net::Buffer();
  auto opened = co_await net::connect(sched_, budget_, address_, {until, nullptr});
  socket = nullptr;
  if (!opened) co_return Answer{false, false, "the connection was not accepted"};
  socket = std::move(*opened);
  std::string startup;
  pg::addStartup(startup, "svc", "main");
  answer = co_await exchange(*socket, buffer, startup + query, 2, until);
  if (!answer.isComplete) socket = nullptr;
  co_return answer;
}

// Writes a message and reads up to the n-th ReadyForQuery. A fatal error is an answer, too.
net::Task<UsualClients::Answer> UsualClients::exchange(net::Socket &socket, net::Buffer &buffer,
                                                       const std::string &message, int readyCount,
                                                       Nanoseconds until) {
  Answer answer;
  bool hasError = false;
  co_await socket.write(message, {until, nullptr});
  while (readyCount > 0) {
    pg::Message m;
    if (pg::parseMessage(buffer.view(), m, pg::kMaxRowBytes) == pg::ParseStatus::complete) {
      readyCount -= m.type == 'Z';
      hasError |= m.type == 'E';
      answer.hasRow |= m.type == 'D';
      buffer.consume(m.size);
      continue;
    }
    const auto error = co_await socket.read(buffer, {until, nullptr});
    if (error == net::ErrorCode::none) continue;
    answer.isComplete = hasError;
    answer.failure = error == net::ErrorCode::timedOut
                         ? (readyCount > 1 ? "no answer on a new connection" : "no answer")
                         : "the connection was closed";
    co_return answer;
  }
  answer.isComplete = true;
  co_return answer;
}

} // namespace myrtlehead::lab
