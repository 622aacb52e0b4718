#include "cluster/http_server_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <nlohmann/json.hpp>
#include <sstream>

namespace myrtlehead::cluster {

namespace http = boost::beast::http;
using net::Nanoseconds;

namespace {

constexpr std::size_t kMaxBodyBytes = 64 * 1024;
constexpr std::size_t kMaxHeaderBytes = 8 * 1024;
// While a connection has this many unwritten responses, no further request is read from it.
constexpr std::size_t kMaxPendingResponses = 64;
constexpr Nanoseconds kIdleTimeout = 60'000'000'000; // 60 s without the first byte of a request
// 5 s to receive the rest of a request, and to write one response.
constexpr Nanoseconds kTransferTimeout = 5'000'000'000;

using RequestParser = http::request_parser<http::string_body>;

// An entry of the connection's response queue. The response may not be ready yet.
struct PendingResponse {
  bool isReady = false;
  bool isLast = false; // the connection is closed after this response
  HttpResponse response;
};

// The connection's state, shared by the tasks that read requests, handle them and write responses.
struct Connection {
  Connection(net::Scheduler &s, std::unique_ptr<net::Socket> connected, const HttpHandler &h)
      : sched(s), socket(std::move(connected)), handler(h) {}
  net::Scheduler &sched;
  std::unique_ptr<net::Socket> socket;
  const HttpHandler &handler;
  net::Buffer received;
  std::deque<std::shared_ptr<PendingResponse>> pending;
  sched::Event changed;
  bool isClosed = false;
};
using ConnectionPtr = std::shared_ptr<Connection>;

std::string serialize(const HttpResponse &response, bool isLast) {
  http::response<http::string_body> out(static_cast<http::status>(response.status), 11, response.body);
  out.set(http::field::content_type, "application/json");
  if (response.status == 503) out.set(http::field::retry_after, "1");
  out.keep_alive(!isLast);
  out.prepare_payload();
  std::ostringstream text;
  text << out;
  return std::move(text).str();
}

enum class ParseState { incomplete, complete, bodyTooLarge, malformed };

const char *reasonOf(ParseState state) {
  return state == ParseState::bodyTooLarge ? "the request body exceeds 64 KiB"
                                           : "the request is not valid HTTP/1.1, or its header exceeds 8 KiB";
}

// Passes the received bytes to the parser and removes the bytes that it has consumed.
ParseState parse(RequestParser &parser, net::Buffer &received) {
  if (received.view().empty()) return ParseState::incomplete;
  boost::system::error_code error;
  const boost::asio::const_buffer bytes(received.view().data(), received.view().size());
  const auto consumedBytes = parser.put(bytes, error);
  received.consume(consumedBytes);
  if (error == http::error::body_limit) return ParseState::bodyTooLarge;
  if (error && error != http::error::need_more) return ParseState::malformed;
  return parser.is_done() ? ParseState::complete : ParseState::incomplete;
}

// Reads until a request is complete or invalid. Returns ParseState::incomplete if the connection ended or a
// timeout passed before that.
net::Task<ParseState> readRequest(Connection &connection, RequestParser &parser) {
  auto &sched = connection.sched;
  Nanoseconds until = sched.now() + kIdleTimeout;
  for (;;) {
    const auto state = parse(parser, connection.received);
    if (state != ParseState::incomplete) co_return state;
    const auto error = co_await connection.socket->read(connection.received, {until, nullptr});
    if (error != net::ErrorCode::none) co_return ParseState::incomplete;
    until = std::min(until, sched.now() + kTransferTimeout);
  }
}

net::Task<> handleRequest(ConnectionPtr connection, std::shared_ptr<PendingResponse> pendingResponse,
                          HttpRequest request) {
  pendingResponse->response = co_await connection->handler(std::move(request));
  pendingResponse->isReady = true;
  connection->changed.notify();
}

net::Task<> writeResponses(ConnectionPtr connection) {
  auto &sched = connection->sched;
  auto &pending = connection->pending;
  while (!connection->isClosed) {
    if (pending.empty() || !pending.front()->isReady) {
      co_await sched.wait(connection->changed);
      continue;
    }
    const auto pendingResponse = pending.front();
    const auto text = serialize(pendingResponse->response, pendingResponse->isLast);
    const auto error = co_await connection->socket->write(text, {sched.now() + kTransferTimeout, nullptr});
    pending.pop_front();
    if (error != net::ErrorCode::none || pendingResponse->isLast) connection->isClosed = true;
    if (pendingResponse->isLast) connection->socket->shutdownWrite();
    connection->changed.notify();
  }
  connection->socket->shutdown(); // ends the read of a task that still waits for a request
}

} // namespace

HttpResponse httpError(int status, const char *reason) {
  return {status, nlohmann::json{{"error", reason}}.dump()};
}

net::Task<> serveHttpConnection(net::Scheduler &sched, std::unique_ptr<net::Socket> socket,
                                const HttpHandler &handler) {
  const auto connection = std::make_shared<Connection>(sched, std::move(socket), handler);
  sched.spawn(writeResponses(connection));
  while (!connection->isClosed) {
    RequestParser parser;
    parser.body_limit(kMaxBodyBytes);
    parser.header_limit(kMaxHeaderBytes);
    parser.eager(true);
    const auto state = co_await readRequest(*connection, parser);
    if (state == ParseState::incomplete) {
      connection->isClosed = true;
      connection->changed.notify();
      co_return;
    }
    const auto pendingResponse = std::make_shared<PendingResponse>();
    connection->pending.push_back(pendingResponse);
    pendingResponse->isLast = state != ParseState::complete || !parser.get().keep_alive();
    if (state != ParseState::complete) {
      pendingResponse->response = httpError(400, reasonOf(state));
      pendingResponse->isReady = true;
      connection->changed.notify();
      co_return;
    }
    auto &message = parser.get();
    HttpRequest request{std::string(message.method_string()), std::string(message.target()),
                        std::move(message.body())};
    sched.spawn(handleRequest(connection, pendingResponse, std::move(request)));
    while (connection->pending.size() >= kMaxPendingResponses && !connection->isClosed)
      co_await sched.wait(connection->changed);
    if (pendingResponse->isLast) co_return;
  }
}

} // namespace myrtlehead::cluster
