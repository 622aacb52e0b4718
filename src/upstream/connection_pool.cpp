#include "upstream/connection_pool.h"

#include "format/pg/message.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace myrtlehead::upstream {

using net::ErrorCode;
using net::Failure;
using net::SendProgress;

namespace {

constexpr int kControlReserve = 16; // descriptors kept for connections to discovery and the platform
constexpr std::size_t kSmallMessageBytes = 16 * 1024; // needs no reservation; a buffer that is kept
constexpr Nanoseconds kResponseEndTimeout = kSecond;  // for what is due behind an answer
constexpr float kMaxLoad = 1e6f;

// The next message of a connection, at the front of its buffer until it is consumed. `progress`: of the
// attempt, where it fails before anything has arrived.
net::Task<Failure> nextMessage(net::Socket &socket, net::Buffer &buffer, net::Deadline deadline,
                               SendProgress progress, pg::Message &out) {
  for (;;) {
    const auto parsed = pg::parseMessage(buffer.view(), out);
    if (parsed == pg::Parsed::whole) co_return Failure{};
    if (parsed == pg::Parsed::bad) co_return Failure{ErrorCode::unreadable, progress};
    const auto error = co_await socket.read(buffer, deadline);
    if (error != ErrorCode::none)
      co_return Failure{error, buffer.empty() ? progress : std::max(progress, SendProgress::responseStarted)};
  }
}

// The timeout that is passed on with a statement, in milliseconds: rounded up, and 1 at least.
Nanoseconds timeoutMs(Nanoseconds timeLeft) {
  return std::max<Nanoseconds>((timeLeft + kMillisecond - 1) / kMillisecond, 1);
}

// A load report's value, or -1 where it is no number that can be.
float parseLoad(std::string_view text) {
  float value = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  const bool isNumber = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
  return isNumber && value <= kMaxLoad ? value : -1; // the comparison is false for NaN
}

} // namespace

Outcome outcomeOf(const Failure &failure) {
  const bool isWritten = failure.progress == SendProgress::fullyWritten ||
                         failure.progress == SendProgress::responseStarted;
  if (failure.cause == ErrorCode::noDescriptorLeft) return Outcome::notSent; // no fault of the endpoint's
  if (failure.cause == ErrorCode::cancelled) return isWritten ? Outcome::cancelled : Outcome::notSent;
  if (!isWritten) return Outcome::unreachable;
  return failure.cause == ErrorCode::timedOut ? Outcome::timedOut : Outcome::reset;
}

// Guards the estimate of load against impossible values: one of them spoils all.
std::vector<float> parseLoadReport(std::string_view text, const std::vector<std::string> &names) {
  std::vector<float> out(names.size(), -1);
  while (!text.empty()) {
    const auto end = std::min(text.find(','), text.size());
    const auto item = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    const auto equals = std::min(item.find('='), item.size());
    const auto name = std::find(names.begin(), names.end(), item.substr(0, equals));
    if (name == names.end()) continue;
    out[static_cast<std::size_t>(name - names.begin())] = parseLoad(
        item.substr(std::min(equals + 1, item.size())));
  }
  const auto isValid = [](float value) { return value >= 0; };
  return std::all_of(out.begin(), out.end(), isValid) ? out : std::vector<float>{};
}

net::Task<AttemptResult> ConnectionPool::attempt(const UpstreamEndpoint &endpoint,
                                                 const pg::Statement &statement, net::Deadline deadline,
                                                 Nanoseconds sendBy, std::function<bool()> isStillCurrent) {
  AttemptResult out;
  auto connection = takeIdle(endpoint);
  if (connection == nullptr) {
    auto opened = co_await open(endpoint, deadline);
    if (!opened) {
      const bool isRejected = opened.failure().cause == ErrorCode::refused &&
                              opened.failure().progress == SendProgress::responseStarted;
      out.outcome = isRejected ? Outcome::rejected : outcomeOf(opened.failure());
      co_return out;
    }
    connection = std::move(*opened);
  }
  // Guards against writing to an endpoint whose listing has changed meanwhile, or too late for a retry.
  if (!isStillCurrent() || sched_.now() > sendBy) {
    putBack(endpoint, std::move(connection));
    out.outcome = Outcome::notSent;
    co_return out;
  }
  std::string query;
  pg::addQuery(query, pg::withPatience(statement, timeoutMs(deadline.at - sched_.now())));
  const auto failure = co_await exchange(*connection, std::move(query), deadline, sendBy, out);
  if (failure.cause != ErrorCode::none)
    out.outcome = outcomeOf(failure);
  else
    putBack(endpoint, std::move(connection));
  co_return out;
}

net::Task<net::Result<ConnectionPool::PooledConnection>>
ConnectionPool::open(const UpstreamEndpoint &endpoint, net::Deadline deadline) {
  const auto address = net::parseAddress(endpoint.address);
  if (!address) co_return Failure{ErrorCode::refused};
  deadline.at = std::min(deadline.at, sched_.now() + connectTimeout_);
  if (budget_.available() <= kControlReserve && !closeOldestIdle())
    co_return Failure{ErrorCode::noDescriptorLeft};
  auto socket = co_await net::connect(sched_, budget_, *address, deadline);
  if (!socket) co_return socket.failure();
  auto connection = std::make_unique<Connection>();
  connection->endpointVersion = endpoint.version;
  connection->socket = std::move(*socket);
  const auto failure = co_await handshake(*connection, deadline);
  if (failure.cause != ErrorCode::none) co_return failure;
  co_return std::move(connection);
}

// From the startup message to the first ReadyForQuery. `refused` with `responseStarted`: the endpoint is full
// or starting up.
net::Task<Failure> ConnectionPool::handshake(Connection &connection, net::Deadline deadline) {
  constexpr std::string_view kTooManyConnections = "53300";
  constexpr std::string_view kCannotConnectNow = "57P03";
  constexpr std::string_view kAuthenticationOk("\0\0\0\0", 4);
  std::string startup;
  pg::addStartup(startup, "svc", "main");
  const auto written = co_await connection.socket->write(startup, deadline);
  if (written != ErrorCode::none) co_return Failure{written};
  for (;;) {
    pg::Message message;
    auto failure = co_await nextMessage(*connection.socket, connection.buffer, deadline,
                                        SendProgress::notConnected, message);
    failure.progress = SendProgress::notConnected; // nothing of the request has been written
    if (failure.cause != ErrorCode::none) co_return failure;
    const char type = message.type;
    const bool isAuthenticated = type != 'R' || message.body == kAuthenticationOk;
    const auto code = type == 'E' ? pg::errorCode(message.body) : "";
    if (code == kTooManyConnections || code == kCannotConnectNow)
      co_return Failure{ErrorCode::refused, SendProgress::responseStarted};
    if (type == 'E' || !isAuthenticated) co_return Failure{ErrorCode::refused};
    connection.buffer.consume(message.size);
    if (type == 'Z') co_return Failure{};
  }
}

// The statement is written and its answer read, up to ReadyForQuery if that has arrived with it. What is
// passed on has the form of the one answer that is due; anything else may have been executed and is not
// believed.
net::Task<Failure> ConnectionPool::exchange(Connection &connection, std::string query, net::Deadline deadline,
                                            Nanoseconds sendBy, AttemptResult &out) {
  const net::Deadline writeDeadline{std::min(deadline.at, sendBy), deadline.cancellation};
  const auto written = co_await connection.socket->write(query, writeDeadline);
  if (written != ErrorCode::none) co_return Failure{written, SendProgress::partlyWritten};
  auto &buffer = connection.buffer;
  auto progress = SendProgress::fullyWritten;
  for (bool isComplete = false; !isComplete;) {
    pg::Message message;
    const auto part = connection.reply.next(buffer.view(), message);
    if (part == pg::Reply::more) {
      const auto size = pg::announcedSize(buffer.view());
      if (size > kSmallMessageBytes && !out.memory.isAcquired()) {
        const auto reserved = co_await net::MemoryReservation::acquire(sched_, answerMemory_, size, deadline,
                                                                       out.memory);
        if (reserved != net::MemoryReservation::Result::acquired)
          co_return Failure{ErrorCode::timedOut, SendProgress::responseStarted};
        buffer.prepare(size + kSmallMessageBytes - buffer.view().size()); // once, for all that comes
        out.answer.reserve(size + kAnswerHeadBytes);
      }
      const auto error = co_await connection.socket->read(buffer, deadline);
      if (error != ErrorCode::none) co_return Failure{error, progress};
      progress = SendProgress::responseStarted;
      continue;
    }
    if (part == pg::Reply::bad || part == pg::Reply::empty)
      co_return Failure{ErrorCode::unreadable, SendProgress::responseStarted};
    isComplete = addToAnswer(connection, part, message, out);
    buffer.consume(message.size);
  }
  buffer.shrink(kSmallMessageBytes);
  // The load report stands between the answer and ReadyForQuery. What has not arrived yet is read later.
  sendSyncQuery(connection);
  drainResponse(connection, &out);
  if (!std::exchange(connection.hasCarriedAnswer, true)) co_return Failure{}; // there is no earlier answer
  const auto failure = co_await confirmAnswer(connection, deadline, out);
  co_return failure;
}

// Takes the part at the front of the buffer, without consuming it. Returns whether the answer is complete.
bool ConnectionPool::addToAnswer(Connection &connection, pg::Reply::Part part, const pg::Message &message,
                                 AttemptResult &out) {
  constexpr std::string_view kRejected = "53300";
  if (part == pg::Reply::aside && message.type == 'S') readParameterStatus(message.body, out);
  if (part == pg::Reply::error)
    out.outcome = pg::errorCode(message.body) == kRejected ? Outcome::rejected : Outcome::failed;
  else if (part != pg::Reply::aside)
    out.answer += connection.buffer.view().substr(0, message.size);
  if (part == pg::Reply::complete) out.outcome = Outcome::succeeded;
  return part == pg::Reply::complete || part == pg::Reply::error;
}

// Guards against a copy of an earlier answer that arrives while this one is awaited: then the one due arrives
// before the empty query's answer, and which of the two is whose can't be told. It may have been executed.
net::Task<Failure> ConnectionPool::confirmAnswer(Connection &connection, net::Deadline deadline,
                                                 AttemptResult &out) {
  while (!connection.hasUnexpectedContent && connection.readyForQueryDue > 0) {
    const auto error = co_await connection.socket->read(connection.buffer, deadline);
    if (error != ErrorCode::none) co_return Failure{error, SendProgress::responseStarted};
    drainResponse(connection, &out);
  }
  if (connection.hasUnexpectedContent)
    co_return Failure{ErrorCode::unreadable, SendProgress::responseStarted};
  co_return Failure{};
}

void ConnectionPool::readParameterStatus(std::string_view body, AttemptResult &out) {
  constexpr std::size_t kMaxLoggedBytes = 100;
  std::string_view name, value;
  if (!pg::takeText(body, name) || !pg::takeText(body, value) || name != "load") return;
  out.loadValues = parseLoadReport(value, loadFields_);
  if (!out.loadValues.empty() || loadFields_.empty() || hasLoggedBadLoadReport_) return;
  hasLoggedBadLoadReport_ = true;
  log_.warning("a load report lacks a field or can't be read",
               {{"report", value.substr(0, kMaxLoggedBytes)}});
}

// Guards against a copy of an answer, or noise, that arrives behind it: an empty query has no effect, and its
// answer can't overtake what the endpoint has sent before.
void ConnectionPool::sendSyncQuery(Connection &connection) {
  std::string query;
  pg::addQuery(query, "");
  connection.readyForQueryDue = 2;
  connection.isEmptyQueryAnswerDue = true;
  connection.hasUnexpectedContent = !connection.socket->tryWrite(query);
}

// Takes what has arrived of what is due behind an answer: ReadyForQuery, then the empty query's answer and
// its ReadyForQuery. `out` receives a load report on the way; nullptr: it is dropped.
void ConnectionPool::drainResponse(Connection &connection, AttemptResult *out) {
  pg::Message message;
  auto &due = connection.readyForQueryDue;
  while (!connection.hasUnexpectedContent && (due > 0 || !connection.buffer.empty())) {
    const auto part = connection.reply.next(connection.buffer.view(), message);
    if (part == pg::Reply::more) return;
    const bool isReady = part == pg::Reply::ready &&
                         (due == 2 || (due == 1 && !connection.isEmptyQueryAnswerDue));
    const bool isEmptyQueryAnswer = part == pg::Reply::empty && due == 1 && connection.isEmptyQueryAnswerDue;
    if (part == pg::Reply::aside && message.type == 'S' && out != nullptr)
      readParameterStatus(message.body, *out);
    connection.hasUnexpectedContent = part != pg::Reply::aside && !isReady && !isEmptyQueryAnswer;
    if (connection.hasUnexpectedContent) return;
    if (isReady) --due;
    if (isEmptyQueryAnswer) connection.isEmptyQueryAnswerDue = false;
    connection.buffer.consume(message.size);
  }
}

// Reads all that has arrived: the connection's end may stand behind what was due.
ConnectionPool::ConnectionHealth ConnectionPool::checkHealth(Connection &connection) {
  auto error = ErrorCode::none;
  while (error == ErrorCode::none && !connection.hasUnexpectedContent) {
    error = connection.socket->tryRead(connection.buffer);
    drainResponse(connection, nullptr);
  }
  if (error != ErrorCode::timedOut) return ConnectionHealth::unusable;
  connection.buffer.shrink(kSmallMessageBytes);
  if (connection.hasUnexpectedContent) return ConnectionHealth::unusable;
  if (connection.readyForQueryDue > 0) return ConnectionHealth::awaitingResponseEnd;
  return connection.buffer.empty() ? ConnectionHealth::usable : ConnectionHealth::unusable;
}

// The usable connection that was used latest, or nullptr; unusable ones on the way are closed.
ConnectionPool::PooledConnection ConnectionPool::takeIdle(const UpstreamEndpoint &endpoint) {
  if (endpoint.index >= idle_.size()) return nullptr;
  auto &connections = idle_[endpoint.index].connections;
  for (std::size_t i = connections.size(); i-- > 0;) {
    const bool isFresh = connections[i]->endpointVersion == endpoint.version &&
                         sched_.now() - connections[i]->idleSince < maxIdleTime_ / 2;
    const auto health = isFresh ? checkHealth(*connections[i]) : ConnectionHealth::unusable;
    if (health == ConnectionHealth::awaitingResponseEnd) continue;
    auto connection = std::move(connections[i]);
    connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(i));
    if (health == ConnectionHealth::usable) return connection;
  }
  return nullptr;
}

// Keeps a connection for further attempts, unless its endpoint has changed or is not listed as ready.
void ConnectionPool::putBack(const UpstreamEndpoint &endpoint, PooledConnection connection) {
  while (idle_.size() <= endpoint.index) idle_.emplace_back();
  auto &idle = idle_[endpoint.index];
  idle.endpoint = &endpoint;
  if (connection->endpointVersion != endpoint.version || !endpoint.isReady) return;
  connection->idleSince = sched_.now();
  connection->buffer.shrink(kSmallMessageBytes);
  idle.connections.push_back(std::move(connection));
}

net::Task<> ConnectionPool::sweepIdleConnections() {
  constexpr Nanoseconds kSweepInterval = kSecond;
  for (;;) {
    co_await sched_.sleep(kSweepInterval);
    for (auto &idle : idle_)
      std::erase_if(idle.connections, [&](const PooledConnection &connection) {
        const auto idleTime = sched_.now() - connection->idleSince;
        const bool isOld = idleTime >= maxIdleTime_ / 2;
        const bool isLate = connection->readyForQueryDue > 0 && idleTime >= kResponseEndTimeout;
        return isOld || isLate || connection->endpointVersion != idle.endpoint->version ||
               checkHealth(*connection) == ConnectionHealth::unusable;
      });
  }
}

bool ConnectionPool::closeOldestIdle() {
  IdleConnections *oldest = nullptr;
  for (auto &idle : idle_) {
    if (idle.connections.empty()) continue;
    const auto since = idle.connections.front()->idleSince;
    if (oldest == nullptr || since < oldest->connections.front()->idleSince) oldest = &idle;
  }
  if (oldest == nullptr) return false;
  oldest->connections.pop_front();
  return true;
}

} // namespace myrtlehead::upstream
