#include "lab/crowd_clients.h"

#include <sys/socket.h>

namespace myrtlehead::lab {

namespace {

constexpr Nanoseconds kAnswerTimeout = 3 * kSecond;
constexpr Nanoseconds kMaxTimeOfStopped = 3 * kSecond; // until a client that stops is told or closed
constexpr Nanoseconds kMachineSlack = kSecond / 2;     // of the laboratory's own scheduling beside a crowd
constexpr Nanoseconds kReconnectInterval = 10 * kMillisecond;
constexpr int kMinLargeBytes = 24'000;
constexpr int kMaxLargeBytes = 250'000;
constexpr std::size_t kMediumBytes = 15'600;
constexpr int kPipelinedRequests = 120;
constexpr std::size_t kPipelinedBytes = 1'900;
constexpr std::size_t kSlowStepBytes = 1'000;
constexpr int kSmallReceiveBuffer = 4096;
constexpr Nanoseconds kPauseOfLeavers = 300 * kMillisecond; // so that the nodes are not overloaded
constexpr int kMaxFields = 40'000;
constexpr int kMaxStartupFields = 2'400; // of four bytes; an instance takes 10,000 bytes

std::string queryMessage(std::string_view sql) {
  std::string out;
  pg::addQuery(out, sql);
  return out;
}

std::string startupMessage() {
  std::string out;
  pg::addStartup(out, "svc", "main");
  return out;
}

// A startup message with `fields` further parameters.
std::string startupWithFields(int fields) {
  std::string body("\0\3\0\0user\0svc\0", 13);
  for (int i = 0; i < fields; ++i) body += std::string("a\0b\0", 4);
  body += '\0';
  std::string out;
  pg::addMessage(out, '?', body);
  return out.substr(1); // the first packet has no type
}

} // namespace

std::string leaverId(int number) { return "leaver" + std::to_string(number); }

std::string Crowd::request(std::size_t bytes) {
  return queryMessage("SELECT v FROM records WHERE k = '" + std::string(bytes, 'k') + "' /* id=crowd" +
                      std::to_string(++lastId_) + ",c=read,d=500 */");
}

net::Deadline Crowd::writeDeadline() const { return {sched_.now() + kAnswerTimeout, nullptr}; }

net::Task<> Crowd::run() {
  for (int i = 0; i < settings_.clients; ++i) {
    ++running_;
    sched_.spawn(client());
  }
  while (running_ > 0) co_await sched_.wait(clientEnded_);
}

net::Task<> Crowd::client() {
  const auto kinds = static_cast<int>(CrowdKind::mixed);
  while (!isOver()) {
    const net::Deadline deadline{sched_.now() + kSecond, nullptr};
    auto socket = co_await net::connect(sched_, budget_, settings_.address, deadline);
    if (!socket) {
      ++tally_.refusedConnections;
      co_await sched_.sleep(kReconnectInterval);
      continue;
    }
    ++tally_.connections;
    const auto kind = settings_.kind == CrowdKind::mixed ? static_cast<CrowdKind>(draw(0, kinds - 1))
                                                         : settings_.kind;
    co_await play(kind, **socket);
    co_await sched_.sleep(draw(1, 10) * kMillisecond);
  }
  --running_;
  clientEnded_.notify();
}

net::Task<> Crowd::play(CrowdKind kind, net::Socket &socket) {
  switch (kind) {
  case CrowdKind::largeRequests:
    return askOnce(socket, static_cast<std::size_t>(draw(kMinLargeBytes, kMaxLargeBytes)));
  case CrowdKind::mediumRequests:
    return askOnce(socket, kMediumBytes);
  case CrowdKind::keptConnections:
    return keepConnection(socket);
  case CrowdKind::pipelinedRequests:
    return pipeline(socket);
  case CrowdKind::slowRequests:
    return sendSlowly(socket);
  case CrowdKind::stoppedRequests:
    return stopInside(socket);
  case CrowdKind::unreadAnswers:
    return leaveUnread(socket);
  case CrowdKind::manyFields:
    return sendManyFields(socket);
  case CrowdKind::unsoundStatements:
    return sendUnsound(socket);
  case CrowdKind::orderlyLeavers:
    return leaveOrderly(socket);
  default:
    return leave(socket, draw(1, 400));
  }
}

net::Task<> Crowd::readAnswers(net::Socket &socket, int readyCount) {
  net::Buffer buffer;
  const net::Deadline deadline{sched_.now() + kAnswerTimeout, nullptr};
  while (readyCount > 0) {
    pg::Message message;
    if (pg::parseMessage(buffer.view(), message, pg::kMaxRowBytes) == pg::ParseStatus::complete) {
      readyCount -= message.type == 'Z';
      buffer.consume(message.size);
      continue;
    }
    const auto error = co_await socket.read(buffer, deadline);
    if (error != net::ErrorCode::none) co_return;
  }
}

net::Task<> Crowd::awaitEnd(net::Socket &socket) {
  net::Buffer buffer;
  const net::Deadline deadline{sched_.now() + kMaxTimeOfStopped + kMachineSlack, nullptr};
  auto error = net::ErrorCode::none;
  while (error == net::ErrorCode::none) {
    buffer.consume(buffer.view().size());
    error = co_await socket.read(buffer, deadline);
  }
  tally_.overstayed += error == net::ErrorCode::timedOut;
}

net::Task<> Crowd::askOnce(net::Socket &socket, std::size_t bytes) {
  const auto message = startupMessage() + request(bytes);
  co_await socket.write(message, writeDeadline());
  co_await readAnswers(socket, 2);
}

net::Task<> Crowd::keepConnection(net::Socket &socket) {
  co_await askOnce(socket, static_cast<std::size_t>(draw(kMinLargeBytes, kMaxLargeBytes)));
  net::Buffer buffer;
  co_await socket.read(buffer, {settings_.endsAt, nullptr});
}

net::Task<> Crowd::pipeline(net::Socket &socket) {
  auto messages = startupMessage();
  for (int i = 0; i < kPipelinedRequests; ++i) messages += request(kPipelinedBytes);
  co_await socket.write(messages, writeDeadline());
  co_await readAnswers(socket, 1 + kPipelinedRequests);
}

net::Task<> Crowd::sendSlowly(net::Socket &socket) {
  const auto message = startupMessage() +
                       request(static_cast<std::size_t>(draw(kMinLargeBytes, kMaxLargeBytes)));
  std::string_view rest = message;
  auto error = net::ErrorCode::none;
  while (!rest.empty() && error == net::ErrorCode::none && !isOver()) {
    const auto step = rest.substr(0, kSlowStepBytes);
    rest.remove_prefix(step.size());
    error = co_await socket.write(step, writeDeadline());
    co_await sched_.sleep(20 * kMillisecond);
  }
}

net::Task<> Crowd::stopInside(net::Socket &socket) {
  auto message = startupMessage() + request(static_cast<std::size_t>(draw(kMinLargeBytes, kMaxLargeBytes)));
  message.resize(static_cast<std::size_t>(draw(1, static_cast<int>(message.size()) - 1)));
  co_await socket.write(message, writeDeadline());
  co_await awaitEnd(socket);
}

net::Task<> Crowd::leaveUnread(net::Socket &socket) {
  setsockopt(socket.fd(), SOL_SOCKET, SO_RCVBUF, &kSmallReceiveBuffer, sizeof kSmallReceiveBuffer);
  auto messages = startupMessage();
  for (int i = draw(1, 200); i > 0; --i) messages += request(16);
  co_await socket.write(messages, writeDeadline());
  co_await sched_.sleep(draw(0, 3000) * kMillisecond);
}

net::Task<> Crowd::sendManyFields(net::Socket &socket) {
  std::string comment;
  for (int i = draw(1, kMaxFields); i > 0; --i) comment += "x=1,";
  const auto message = startupWithFields(draw(1, kMaxStartupFields)) +
                       queryMessage("SELECT v FROM records WHERE k = '7f' /* " + comment + "id=crowd" +
                                    std::to_string(++lastId_) + ",c=read,d=500 */");
  co_await socket.write(message, writeDeadline());
  co_await readAnswers(socket, 2);
}

net::Task<> Crowd::sendUnsound(net::Socket &socket) {
  constexpr int kStatementsAtOnce = 200;
  auto messages = startupMessage();
  auto error = net::ErrorCode::none;
  int ready = 1;
  while (!isOver() && error == net::ErrorCode::none) {
    for (int i = 0; i < kStatementsAtOnce; ++i) {
      const auto id = std::to_string(++lastId_);
      messages += queryMessage(i % 2 == 0 ? "SELECT " + id + " /*"
                                          : "SELECT v FROM records WHERE k = '7f' /* id=" + id + ",c=route" +
                                                id + ",d=500 */");
    }
    error = co_await socket.write(messages, writeDeadline());
    co_await readAnswers(socket, ready + kStatementsAtOnce);
    ready = 0;
    messages.clear();
  }
}

std::string Crowd::leaverRequests(int count) {
  std::string out;
  for (int i = 0; i < count; ++i)
    out += queryMessage("INSERT INTO records (k, v) VALUES ('7f', 'x') RETURNING v /* id=" +
                        leaverId(++lastLeaverId_) + ",c=once,d=2000 */");
  return out;
}

// Writes more than an instance reads at once, and closes the connection whatever it has been told.
net::Task<> Crowd::leave(net::Socket &socket, int requests) {
  const int firstId = lastLeaverId_ + 1;
  const auto messages = startupMessage() + leaverRequests(requests);
  const int lastId = lastLeaverId_;
  co_await socket.write(messages, {sched_.now() + kSecond, nullptr});
  co_await sched_.sleep(draw(0, 60) * kMillisecond);
  socket.shutdown();
  tally_.departures.push_back({firstId, lastId, sched_.now()});
}

// Closes the connection at once; the kernel goes on with what it has taken.
net::Task<> Crowd::leaveOrderly(net::Socket &socket) {
  const auto startup = startupMessage();
  co_await socket.write(startup, writeDeadline());
  co_await readAnswers(socket, 1);
  const int firstId = lastLeaverId_ + 1;
  const auto messages = leaverRequests(draw(1, 10'000));
  const int lastId = lastLeaverId_;
  socket.tryWrite(messages);
  socket.shutdown();
  tally_.departures.push_back({firstId, lastId, sched_.now()});
  co_await sched_.sleep(kPauseOfLeavers);
}

} // namespace myrtlehead::lab
