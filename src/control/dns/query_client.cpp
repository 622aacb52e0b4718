#include "control/dns/query_client.h"

namespace myrtlehead::dns_discovery {

using dns_resolution::LetterCase;
using dns_resolution::QueryError;
using net::ErrorCode;

namespace {

using sched::Nanoseconds;

constexpr Nanoseconds kIdleTimeout = 5'000'000'000; // 5 s without a query in flight closes a connection

std::uint16_t u16At(std::string_view bytes, std::size_t at) {
  return static_cast<std::uint16_t>(static_cast<unsigned char>(bytes[at]) << 8 |
                                    static_cast<unsigned char>(bytes[at + 1]));
}

// Sets the result from the outcome of decoding a message. Precondition: the message is a response to the
// query.
void setResponse(QueryResult &result, dns::ReadResult reading) {
  result.hasResponse = reading != dns::ReadResult::malformed;
  result.letterCase = reading == dns::ReadResult::caseMismatch ? LetterCase::changed : LetterCase::preserved;
  result.error = QueryError::malformed;
}

} // namespace

net::Task<QueryResult> queryOverUdp(net::Scheduler &sched, net::DescriptorBudget &budget, net::Address server,
                                    const dns::SentQuery &sent, net::Deadline deadline) {
  QueryResult result;
  const auto socket = net::connectUdp(sched, budget, server);
  if (socket == nullptr || !socket->tryWrite(dns::writeQuery(sent))) {
    result.error = QueryError::unreachable;
    co_return result;
  }
  net::Buffer buffer;
  for (;;) {
    const auto readError = co_await socket->read(buffer, deadline);
    if (readError == ErrorCode::closedByPeer) continue; // an empty datagram
    if (readError != ErrorCode::none) {
      const bool isTimeout = readError == ErrorCode::timedOut;
      result.error = isTimeout ? QueryError::timedOut : QueryError::unreachable;
      co_return result;
    }
    const auto reading = dns::readResponse(buffer.view(), sent, result.message);
    buffer.consume(buffer.view().size());
    if (reading == dns::ReadResult::unrelated) continue; // forged, or the response to an earlier query
    setResponse(result, reading);
    co_return result;
  }
}

net::Task<std::shared_ptr<TcpQueryClient::Connection>> TcpQueryClient::connect(net::Deadline deadline) {
  while (isConnecting_) {
    const auto wakeReason = co_await sched_.wait(connectFinished_, deadline);
    if (wakeReason != sched::WakeReason::notified) co_return nullptr;
  }
  if (connection_ != nullptr) co_return connection_;
  isConnecting_ = true;
  auto connected = co_await net::connect(sched_, budget_, server_, deadline);
  isConnecting_ = false;
  if (connected) {
    ++connectionsOpened_;
    connection_ = std::make_shared<Connection>();
    connection_->socket = std::move(*connected);
    sched_.spawn(read(shared_from_this(), connection_));
  }
  connectFinished_.notify();
  co_return connection_;
}

net::Task<QueryResult> TcpQueryClient::query(dns::SentQuery sent, net::Deadline deadline) {
  PendingQuery pending;
  pending.result.error = QueryError::unreachable;
  const auto connection = co_await connect(deadline);
  if (connection == nullptr) co_return pending.result;
  while (connection->pending.contains(sent.id)) ++sent.id; // bounded by the number of look-ups in flight
  pending.sent = sent;
  auto message = dns::writeQuery(sent);
  const auto size = message.size();
  message.insert(message.begin(), {static_cast<char>(size >> 8), static_cast<char>(size & 0xff)});
  connection->pending[sent.id] = &pending;
  // The connection is closed unless the whole query can be written at once, because a partly written query
  // would corrupt those after it.
  if (!connection->socket->tryWrite(message)) close(*connection, QueryError::connectionLost);
  if (!pending.isDone) {
    const auto wakeReason = co_await sched_.wait(pending.done, deadline);
    if (wakeReason != sched::WakeReason::notified) {
      connection->pending.erase(sent.id);
      pending.result.error = QueryError::timedOut;
      // The connection may hang, so the next query opens a new one.
      if (connection_ == connection) connection_ = nullptr;
      if (connection->pending.empty()) connection->closed.cancel();
    }
  }
  co_return pending.result;
}

void TcpQueryClient::close(Connection &connection, QueryError error) {
  connection.closed.cancel();
  if (connection_.get() == &connection) connection_ = nullptr;
  for (auto &[id, pending] : connection.pending) {
    pending->isDone = true;
    pending->result.error = error;
    pending->done.notify();
  }
  connection.pending.clear();
}

// Handles and removes the first message in the buffer. Returns false if the buffer contains no complete
// message.
bool TcpQueryClient::readMessage(Connection &connection) {
  const auto view = connection.buffer.view();
  if (view.size() < 2) return false;
  const std::size_t size = u16At(view, 0);
  if (view.size() < size + 2) return false;
  const auto bytes = view.substr(2, size);
  const auto id = size >= 2 ? u16At(bytes, 0) : std::uint16_t{0};
  const auto it = connection.pending.find(id);
  if (it != connection.pending.end()) {
    auto &pending = *it->second;
    const auto reading = dns::readResponse(bytes, pending.sent, pending.result.message);
    if (reading != dns::ReadResult::unrelated) {
      setResponse(pending.result, reading);
      pending.isDone = true;
      pending.done.notify();
      connection.pending.erase(it);
    }
  }
  connection.buffer.consume(size + 2);
  return true;
}

// Holds a reference to the client, because the client's owner may release it before the connection ends.
net::Task<> TcpQueryClient::read(std::shared_ptr<TcpQueryClient> client,
                                 std::shared_ptr<Connection> connection) {
  for (;;) {
    while (client->readMessage(*connection)) {}
    const Nanoseconds idleEnd = client->sched_.now() + kIdleTimeout;
    const net::Deadline deadline{idleEnd, &connection->closed};
    const auto error = co_await connection->socket->read(connection->buffer, deadline);
    if (error == ErrorCode::none) continue;
    if (error == ErrorCode::timedOut && !connection->pending.empty()) continue;
    client->close(*connection, QueryError::connectionLost);
    co_return;
  }
}

} // namespace myrtlehead::dns_discovery
