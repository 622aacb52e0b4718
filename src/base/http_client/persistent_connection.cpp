#include "base/http_client/persistent_connection.h"

namespace myrtlehead::http_client {

using net::ErrorCode;
using net::Failure;
using net::SendProgress;

namespace {
constexpr net::Nanoseconds kReconnectBackoff = 250'000'000;         // 250 ms
constexpr net::Nanoseconds kConnectTimeout = 4 * kReconnectBackoff; // 1 s
// The remaining time of a call is divided by this number to obtain the time spent on opening a new connection
// while the old one could still carry the call.
constexpr int kReconnectTimeDivisor = 4;
constexpr std::size_t kMaxResponseBytes = 64 * 1024;
} // namespace

// Takes the connection out of use for new calls. It stays open while calls are in flight, as their responses
// may still arrive, unless a call on it has timed out.
void PersistentConnection::retire() {
  if (connection_ == nullptr) return;
  connection_->isReplaced = true;
  if (connection_->pending.empty() || connection_->hasTimedOutCall) connection_->socket->shutdown();
  connection_ = nullptr;
}

void PersistentConnection::moveTo(net::Address to) {
  if (to == to_) return;
  to_ = to;
  addressChanged_->cancel();
  addressChanged_ = std::make_shared<sched::CancellationToken>();
  retire();
  closed_.notify();
}

void PersistentConnection::discard() {
  retire();
  closed_.notify();
}

// Opens a new connection. On success it replaces the current one.
net::Task<ErrorCode> PersistentConnection::open(net::Deadline until) {
  const auto addressChanged = addressChanged_;
  until.cancellation = addressChanged.get();
  auto connected = co_await net::connect(sched_, budget_, to_, until);
  if (addressChanged->isCancelled()) co_return ErrorCode::cancelled;
  if (!connected) co_return connected.failure().cause;
  retire();
  connection_ = std::make_shared<Connection>();
  connection_->socket = std::move(*connected);
  sched_.spawn(readResponses(connection_));
  co_return ErrorCode::none;
}

net::Task<> PersistentConnection::keepOpen() {
  for (;;) {
    if (!isOpen()) {
      const net::Deadline until{sched_.now() + kConnectTimeout, nullptr};
      const auto opened = co_await open(until);
      if (opened != ErrorCode::none && opened != ErrorCode::cancelled)
        co_await sched_.sleep(kReconnectBackoff);
    }
    if (isOpen()) co_await sched_.wait(closed_);
  }
}

// Returns ErrorCode::none if a connection, new or old, is open.
//
// After a call has timed out, the peer of the open connection may have vanished, so a new connection is tried
// first. If it is not established in a fraction of the remaining time, the call uses the old connection.
net::Task<ErrorCode> PersistentConnection::openForCall(net::Deadline until) {
  net::Deadline firstDeadline = until;
  if (isOpen()) firstDeadline.at = sched_.now() + (until.at - sched_.now()) / kReconnectTimeDivisor;
  auto opened = co_await open(firstDeadline);
  // An attempt is cancelled if the address has changed; the next one goes to the new address.
  while (opened == ErrorCode::cancelled && !isOpen()) opened = co_await open(until);
  if (isOpen()) co_return ErrorCode::none;
  co_return opened == ErrorCode::none ? ErrorCode::connectionLost : opened;
}

net::Task<net::Result<Response>> PersistentConnection::call(std::string request, net::Deadline until) {
  if (!isOpen() || connection_->hasTimedOutCall) {
    const auto opened = co_await openForCall(until);
    if (opened != ErrorCode::none) co_return Failure{opened};
  }
  const auto connection = connection_;
  const auto pending = std::make_shared<PendingCall>();
  connection->pending.push_back(pending);
  const auto written = co_await connection->socket->write(request, until);
  if (written != ErrorCode::none) {
    // The server waits for the rest of this request and would take a later request for it.
    connection->hasEnded = true;
    connection->socket->shutdown();
    closed_.notify();
    co_return Failure{written, SendProgress::partlyWritten};
  }
  const auto failure = co_await waitForResponse(*connection, *pending, until);
  if (failure.cause != ErrorCode::none) co_return failure;
  co_return std::move(pending->response);
}

net::Task<Failure> PersistentConnection::waitForResponse(Connection &connection, PendingCall &call,
                                                         net::Deadline until) {
  while (!call.isFinished) {
    const auto woken = co_await sched_.wait(call.finishedEvent, until);
    // The response may have arrived in the same scheduler round as the deadline.
    if (woken == sched::WakeReason::notified || call.isFinished) continue;
    call.hasTimedOut = true;
    connection.hasTimedOutCall = true;
    if (connection.isReplaced) connection.socket->shutdown();
    co_return Failure{ErrorCode::timedOut, SendProgress::fullyWritten};
  }
  co_return call.failure;
}

net::Task<> PersistentConnection::readResponses(std::shared_ptr<Connection> connection) {
  net::Buffer buffer;
  for (;;) {
    Response response;
    const auto cause = co_await readResponse(*connection, buffer, response);
    const bool isUnsolicited = connection->pending.empty();
    if (cause != ErrorCode::none || isUnsolicited) break;
    const auto pending = connection->pending.front();
    connection->pending.pop_front();
    connection->hasTimedOutCall = false;
    pending->response = std::move(response);
    pending->isFinished = true;
    pending->finishedEvent.notify();
    if (pending->hasTimedOut && onLateResponse) onLateResponse(pending->response);
    if (connection->isReplaced && connection->pending.empty()) break;
  }
  connection->hasEnded = true;
  failPending(*connection);
  closed_.notify();
}

void PersistentConnection::failPending(Connection &connection) {
  for (const auto &pending : connection.pending) {
    pending->failure = {ErrorCode::connectionLost, SendProgress::fullyWritten};
    pending->isFinished = true;
    pending->finishedEvent.notify();
  }
  connection.pending.clear();
}

net::Task<ErrorCode> PersistentConnection::readResponse(Connection &connection, net::Buffer &buffer,
                                                        Response &out) {
  http::Head head;
  std::size_t size = 0;
  for (;;) {
    const auto parsed = http::parseResponse(buffer.view(), head, size);
    if (parsed == http::ParseStatus::malformed) co_return ErrorCode::unreadable;
    if (parsed == http::ParseStatus::complete) break;
    const auto cause = co_await connection.socket->read(buffer, {});
    if (cause != ErrorCode::none) co_return cause;
  }
  buffer.consume(size);
  http::BodyDecoder body(head);
  for (;;) {
    const auto parsed = body.decode(buffer.view(), out.body, size);
    buffer.consume(size);
    if (parsed == http::ParseStatus::malformed) co_return ErrorCode::unreadable;
    if (out.body.size() > kMaxResponseBytes) co_return ErrorCode::tooLarge;
    if (parsed == http::ParseStatus::complete) break;
    const auto cause = co_await connection.socket->read(buffer, {});
    if (cause == ErrorCode::closedByPeer && body.endsWithConnection()) break;
    if (cause != ErrorCode::none) co_return cause;
  }
  out.status = head.status;
  co_return ErrorCode::none;
}

} // namespace myrtlehead::http_client
