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
constexpr std::size_t kMaxPendingReplies = 64; // of one connection; no further request is read meanwhile
constexpr Nanoseconds kIdleTimeout = 60'000'000'000;    // without a request
constexpr Nanoseconds kTransferTimeout = 5'000'000'000; // for a request that has begun, and for a response

using RequestParser = http::request_parser<http::string_body>;

// A response in the connection's order, which is perhaps not ready yet.
struct PendingReply {
  bool isReady = false;
  bool isLast = false; // the connection ends with it
  HttpResponse response;
};

// Shared by the tasks that read, handle and write.
struct Connection {
  Connection(net::Scheduler &s, std::unique_ptr<net::Socket> connected, const HttpHandler &h)
      : sched(s), socket(std::move(connected)), handler(h) {}
  net::Scheduler &sched;
  std::unique_ptr<net::Socket> socket;
  const HttpHandler &handler;
  net::Buffer received;
  std::deque<std::shared_ptr<PendingReply>> pending;
  sched::Event changed;
  bool isClosed = false;
};
using ConnectionPtr = std::shared_ptr<Connection>;

std::string serialized(const HttpResponse &response, bool isLast) {
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
  return state == ParseState::bodyTooLarge ? "the body is above 64 KiB" : "no HTTP/1.1 request";
}

// Gives the parser what was received.
ParseState parse(RequestParser &parser, net::Buffer &received) {
  if (received.view().empty()) return ParseState::incomplete;
  boost::system::error_code error;
  const boost::asio::const_buffer bytes(received.view().data(), received.view().size());
  const auto used = parser.put(bytes, error);
  received.consume(used);
  if (error == http::error::body_limit) return ParseState::bodyTooLarge;
  if (error && error != http::error::need_more) return ParseState::malformed;
  return parser.is_done() ? ParseState::complete : ParseState::incomplete;
}

// Reads until the request is complete or can't be read; ParseState::incomplete: the connection has ended.
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

net::Task<> handleRequest(ConnectionPtr connection, std::shared_ptr<PendingReply> reply,
                          HttpRequest request) {
  reply->response = co_await connection->handler(std::move(request));
  reply->isReady = true;
  connection->changed.notify();
}

net::Task<> writeReplies(ConnectionPtr connection) {
  auto &sched = connection->sched;
  auto &pending = connection->pending;
  while (!connection->isClosed) {
    if (pending.empty() || !pending.front()->isReady) {
      co_await sched.wait(connection->changed);
      continue;
    }
    const auto reply = pending.front();
    const auto text = serialized(reply->response, reply->isLast);
    const auto error = co_await connection->socket->write(text, {sched.now() + kTransferTimeout, nullptr});
    pending.pop_front();
    if (error != net::ErrorCode::none || reply->isLast) connection->isClosed = true;
    if (reply->isLast) connection->socket->shutdownWrite();
    connection->changed.notify();
  }
  connection->socket->shutdown(); // whoever reads here sees the end
}

} // namespace

HttpResponse httpError(int status, const char *reason) {
  return {status, nlohmann::json{{"error", reason}}.dump()};
}

net::Task<> serveHttpConnection(net::Scheduler &sched, std::unique_ptr<net::Socket> socket,
                                const HttpHandler &handler) {
  const auto connection = std::make_shared<Connection>(sched, std::move(socket), handler);
  sched.spawn(writeReplies(connection));
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
    const auto reply = std::make_shared<PendingReply>();
    connection->pending.push_back(reply);
    reply->isLast = state != ParseState::complete || !parser.get().keep_alive();
    if (state != ParseState::complete) {
      reply->response = httpError(400, reasonOf(state));
      reply->isReady = true;
      connection->changed.notify();
      co_return;
    }
    auto &message = parser.get();
    HttpRequest request{std::string(message.method_string()), std::string(message.target()),
                        std::move(message.body())};
    sched.spawn(handleRequest(connection, reply, std::move(request)));
    while (connection->pending.size() >= kMaxPendingReplies && !connection->isClosed)
      co_await sched.wait(connection->changed);
    if (reply->isLast) co_return;
  }
}

} // namespace myrtlehead::cluster
