#include "upstream/connection_pool.h"

#include "format/pg/message.h"
#include "policy/message_memory.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace myrtlehead::upstream {

using message_memory::kSmallMessageBytes;
using net::ErrorCode;
using net::Failure;
using net::SendProgress;

namespace {

constexpr int kReservedDescriptors = 16; // kept for connections to discovery and the platform
// For the messages that are expected behind an answer.
constexpr Nanoseconds kResponseEndTimeout = kSecond;
constexpr float kMaxLoadValue = 1e6f;

// Reads the next message of a connection, which stays at the front of the buffer until it is consumed.
// `progress` is reported in a failure if nothing has arrived.
net::Task<Failure> nextMessage(net::Socket &socket, net::Buffer &buffer, net::Deadline deadline,
                               SendProgress progress, pg::Message &out) {
  for (;;) {
    const auto parsed = pg::parseMessage(buffer.view(), out);
    if (parsed == pg::ParseStatus::complete) co_return Failure{};
    if (parsed == pg::ParseStatus::malformed) co_return Failure{ErrorCode::unreadable, progress};
    const auto error = co_await socket.read(buffer, deadline);
    if (error != ErrorCode::none)
      co_return Failure{error, buffer.empty() ? progress : std::max(progress, SendProgress::responseStarted)};
  }
}

// The timeout that is forwarded with a statement, in milliseconds, rounded up to at least 1.
Nanoseconds forwardedTimeoutMs(Nanoseconds timeLeft) {
  return std::max<Nanoseconds>((timeLeft + kMillisecond - 1) / kMillisecond, 1);
}

// Returns the value of a load report's field, or a negative number if it is not a number up to kMaxLoadValue.
float parseLoadValue(std::string_view text) {
  float value = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  const bool isNumber = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
  return isNumber && value <= kMaxLoadValue ? value : -1; // the comparison is false for NaN
}

} // namespace

Outcome outcomeOf(const Failure &failure) {
  const bool isWritten = failure.progress == SendProgress::fullyWritten ||
                         failure.progress == SendProgress::responseStarted;
  if (failure.cause == ErrorCode::noDescriptorLeft) return Outcome::notSent; // not the endpoint's fault
  if (failure.cause == ErrorCode::cancelled) return isWritten ? Outcome::cancelled : Outcome::notSent;
  if (!isWritten) return Outcome::unreachable;
  return failure.cause == ErrorCode::timedOut ? Outcome::timedOut : Outcome::reset;
}

// Rejects the whole report if one value is invalid, so that no impossible value enters the load estimate.
std::vector<float> parseLoadReport(std::string_view text, const std::vector<std::string> &names) {
  std::vector<float> out(names.size(), -1);
  while (!text.empty()) {
    const auto end = std::min(text.find(','), text.size());
    const auto item = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    const auto equals = std::min(item.find('='), item.size());
    const auto name = std::find(names.begin(), names.end(), item.substr(0, equals));
    if (name == names.end()) continue;
    out[static_cast<std::size_t>(name - names.begin())] = parseLoadValue(
        item.substr(std::min(equals + 1, item.size())));
  }
  const auto isValid = [](float value) { return value >= 0; };
  return std::all_of(out.begin(), out.end(), isValid) ? out : std::vector<float>{};
}

net::Task<AttemptResult> ConnectionPool::attempt(const UpstreamEndpoint &endpoint,
                                                 const pg::Statement &statement, net::Deadline deadline,
                                                 Nanoseconds sendBy, std::function<bool()> isStillCurrent,
                                                 AnswerMemoryToLeave memoryToLeave) {
  AttemptResult out;
  auto connection = takeIdle(endpoint);
  if (connection == nullptr) {
    auto opened = co_await openConnection(endpoint, deadline);
    if (!opened) {
      const bool isRejected = opened.failure().cause == ErrorCode::refused &&
                              opened.failure().progress == SendProgress::responseStarted;
      out.outcome = isRejected ? Outcome::rejected : outcomeOf(opened.failure());
      co_return out;
    }
    connection = std::move(*opened);
  }
  // The endpoint's list entry may have changed during the connect, or it may be too late for a retry.
  if (!isStillCurrent() || sched_.now() > sendBy) {
    returnToPool(endpoint, std::move(connection));
    out.outcome = Outcome::notSent;
    co_return out;
  }
  pg::ForwardedQuery query(statement, forwardedTimeoutMs(deadline.at - sched_.now()));
  const auto failure = co_await exchange(*connection, query, deadline, sendBy, memoryToLeave, out);
  if (failure.cause != ErrorCode::none)
    out.outcome = outcomeOf(failure);
  else
    returnToPool(endpoint, std::move(connection));
  co_return out;
}

net::Task<net::Result<ConnectionPool::PooledConnection>>
ConnectionPool::openConnection(const UpstreamEndpoint &endpoint, net::Deadline deadline) {
  const auto address = net::parseAddress(endpoint.address);
  if (!address) co_return Failure{ErrorCode::refused};
  deadline.at = std::min(deadline.at, sched_.now() + connectTimeout_);
  if (budget_.available() <= kReservedDescriptors && !closeOldestIdle())
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

// Sends the startup message and reads up to the first ReadyForQuery. Fails with `refused` and
// `responseStarted` if the endpoint has too many connections or is starting up.
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
    failure.progress = SendProgress::notConnected; // no byte of the statement has been written
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

// Writes the statement and reads its answer, including ReadyForQuery if that has arrived with it. Only an
// answer in the expected form is passed on. If anything else arrives, the statement may have been executed,
// and the attempt fails.
net::Task<Failure> ConnectionPool::exchange(Connection &connection, pg::ForwardedQuery &query,
                                            net::Deadline deadline, Nanoseconds sendBy,
                                            const AnswerMemoryToLeave &memoryToLeave, AttemptResult &out) {
  const net::Deadline writeDeadline{std::min(deadline.at, sendBy), deadline.cancellation};
  const auto written = co_await connection.socket->write(query.parts(), writeDeadline);
  if (written != ErrorCode::none) co_return Failure{written, SendProgress::partlyWritten};
  auto &buffer = connection.buffer;
  auto progress = SendProgress::fullyWritten;
  for (bool isComplete = false; !isComplete;) {
    pg::Message message;
    const auto part = connection.reply.next(buffer.view(), message);
    if (part == pg::ReplyValidator::incomplete) {
      const auto size = pg::announcedSize(buffer.view());
      // An endpoint takes no memory for an answer that it announces and does not send.
      const auto needed = message_memory::bufferBytes(size, buffer.view().size());
      const bool isLarge = size > kSmallMessageBytes && needed > kSmallMessageBytes;
      if (isLarge && !out.memory.isAcquired()) {
        net::MemoryReservation::Sharing sharing{[&] { return memoryToLeave(answerMemory_.capacity()); },
                                                reclaimAnswerMemory};
        const auto reserved = co_await net::MemoryReservation::acquire(sched_, answerMemory_, size, deadline,
                                                                       std::move(sharing), out.memory);
        if (reserved != net::MemoryReservation::Result::acquired)
          co_return Failure{ErrorCode::timedOut, SendProgress::responseStarted};
        // One allocation for the whole message.
        buffer.prepare(size + kSmallMessageBytes - buffer.view().size());
        out.answer.reserve(size + kMaxAnswerOverheadBytes);
      }
      const auto error = co_await connection.socket->read(buffer, deadline);
      if (error != ErrorCode::none) co_return Failure{error, progress};
      progress = SendProgress::responseStarted;
      continue;
    }
    if (part == pg::ReplyValidator::unexpected || part == pg::ReplyValidator::emptyQuery)
      co_return Failure{ErrorCode::unreadable, SendProgress::responseStarted};
    isComplete = addToAnswer(connection, part, message, out);
    buffer.consume(message.size);
  }
  buffer.shrink(message_memory::kIdleBufferBytes);
  // The load report comes between the answer and ReadyForQuery. What has not arrived yet is read later.
  sendEmptyQuery(connection);
  consumeResponseEnd(connection, &out);
  // On a connection's first answer, no copy of an earlier answer can arrive.
  if (!std::exchange(connection.hasCarriedAnswer, true)) co_return Failure{};
  const auto failure = co_await confirmAnswer(connection, deadline, out);
  co_return failure;
}

// Adds the part at the front of the buffer to the answer, without consuming it. Returns whether the answer is
// complete.
bool ConnectionPool::addToAnswer(Connection &connection, pg::ReplyValidator::MessageKind part,
                                 const pg::Message &message, AttemptResult &out) {
  constexpr std::string_view kTooManyConnections = "53300"; // the SQLSTATE of a rejected statement
  if (part == pg::ReplyValidator::asynchronous && message.type == 'S') readParameterStatus(message.body, out);
  if (part == pg::ReplyValidator::errorResponse)
    out.outcome = pg::errorCode(message.body) == kTooManyConnections ? Outcome::rejected : Outcome::failed;
  else if (part != pg::ReplyValidator::asynchronous)
    out.answer += connection.buffer.view().substr(0, message.size);
  if (part == pg::ReplyValidator::commandComplete) out.outcome = Outcome::succeeded;
  return part == pg::ReplyValidator::commandComplete || part == pg::ReplyValidator::errorResponse;
}

// Waits for the empty query's answer, to detect a copy of an earlier answer that was taken for this one. In
// that case the real answer arrives before the empty query's answer, and the two can't be told apart. The
// attempt then fails as one that may have been executed.
net::Task<Failure> ConnectionPool::confirmAnswer(Connection &connection, net::Deadline deadline,
                                                 AttemptResult &out) {
  while (!connection.hasUnexpectedContent && connection.pendingReadyForQuery > 0) {
    const auto error = co_await connection.socket->read(connection.buffer, deadline);
    if (error != ErrorCode::none) co_return Failure{error, SendProgress::responseStarted};
    consumeResponseEnd(connection, &out);
  }
  if (connection.hasUnexpectedContent)
    co_return Failure{ErrorCode::unreadable, SendProgress::responseStarted};
  co_return Failure{};
}

void ConnectionPool::readParameterStatus(std::string_view body, AttemptResult &out) {
  constexpr std::size_t kMaxLoggedBytes = 100;
  std::string_view name, value;
  if (!pg::takeCString(body, name) || !pg::takeCString(body, value) || name != "load") return;
  out.loadValues = parseLoadReport(value, loadFields_);
  if (!out.loadValues.empty() || loadFields_.empty() || hasLoggedBadLoadReport_) return;
  hasLoggedBadLoadReport_ = true;
  log_.warning("invalid load report: a field is missing or not a number from 0 to 1000000",
               {{"report", value.substr(0, kMaxLoggedBytes)}});
}

// Sends an empty query behind an answer, to detect a copy of the answer, or garbage, that follows it. An
// empty query has no effect, and its answer can't overtake what the endpoint has sent before.
void ConnectionPool::sendEmptyQuery(Connection &connection) {
  std::string query;
  pg::addQuery(query, "");
  connection.pendingReadyForQuery = 2;
  connection.isEmptyQueryAnswerPending = true;
  connection.hasUnexpectedContent = !connection.socket->tryWrite(query);
}

// Consumes the messages expected behind an answer, as far as they have arrived: ReadyForQuery, then the empty
// query's answer and its ReadyForQuery. A load report among them is stored in `out`, or dropped if `out` is
// nullptr.
void ConnectionPool::consumeResponseEnd(Connection &connection, AttemptResult *out) {
  pg::Message message;
  auto &pending = connection.pendingReadyForQuery;
  while (!connection.hasUnexpectedContent && (pending > 0 || !connection.buffer.empty())) {
    const auto part = connection.reply.next(connection.buffer.view(), message);
    if (part == pg::ReplyValidator::incomplete) return;
    const bool isReady = part == pg::ReplyValidator::readyForQuery &&
                         (pending == 2 || (pending == 1 && !connection.isEmptyQueryAnswerPending));
    const bool isEmptyQueryAnswer = part == pg::ReplyValidator::emptyQuery && pending == 1 &&
                                    connection.isEmptyQueryAnswerPending;
    if (part == pg::ReplyValidator::asynchronous && message.type == 'S' && out != nullptr)
      readParameterStatus(message.body, *out);
    connection.hasUnexpectedContent = part != pg::ReplyValidator::asynchronous && !isReady &&
                                      !isEmptyQueryAnswer;
    if (connection.hasUnexpectedContent) return;
    if (isReady) --pending;
    if (isEmptyQueryAnswer) connection.isEmptyQueryAnswerPending = false;
    connection.buffer.consume(message.size);
  }
}

// Reads everything that has arrived, because the end of the connection may follow the expected messages.
ConnectionPool::ConnectionHealth ConnectionPool::checkHealth(Connection &connection) {
  auto error = ErrorCode::none;
  while (error == ErrorCode::none && !connection.hasUnexpectedContent) {
    error = connection.socket->tryRead(connection.buffer);
    consumeResponseEnd(connection, nullptr);
  }
  if (error != ErrorCode::timedOut) return ConnectionHealth::unusable;
  connection.buffer.shrink(message_memory::kIdleBufferBytes);
  if (connection.hasUnexpectedContent) return ConnectionHealth::unusable;
  if (connection.pendingReadyForQuery > 0) return ConnectionHealth::awaitingResponseEnd;
  return connection.buffer.empty() ? ConnectionHealth::usable : ConnectionHealth::unusable;
}

// Returns the most recently used connection that is usable, or nullptr. Closes unusable ones.
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

// Keeps a connection for reuse, or closes it if its endpoint has changed or is not listed as ready.
void ConnectionPool::returnToPool(const UpstreamEndpoint &endpoint, PooledConnection connection) {
  while (idle_.size() <= endpoint.index) idle_.emplace_back();
  auto &idle = idle_[endpoint.index];
  idle.endpoint = &endpoint;
  if (connection->endpointVersion != endpoint.version || !endpoint.isReady) return;
  connection->idleSince = sched_.now();
  connection->buffer.shrink(message_memory::kIdleBufferBytes);
  idle.connections.push_back(std::move(connection));
}

net::Task<> ConnectionPool::sweepIdleConnections() {
  constexpr Nanoseconds kSweepInterval = kSecond;
  for (;;) {
    co_await sched_.sleep(kSweepInterval);
    for (auto &idle : idle_)
      std::erase_if(idle.connections, [&](const PooledConnection &connection) {
        const auto idleTime = sched_.now() - connection->idleSince;
        const bool isExpired = idleTime >= maxIdleTime_ / 2;
        const bool isResponseEndLate = connection->pendingReadyForQuery > 0 &&
                                       idleTime >= kResponseEndTimeout;
        return isExpired || isResponseEndLate || connection->endpointVersion != idle.endpoint->version ||
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
