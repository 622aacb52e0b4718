#include "admin/metrics_server.h"

#include "format/http/http.h"

#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace myrtlehead::admin {

namespace {

constexpr int kMaxConnections = 4;
constexpr sched::Nanoseconds kRequestTimeout = 2'000'000'000; // from accepting to the end of the response
// accept() is retried after this time even if the listener was not reported as readable.
constexpr sched::Nanoseconds kAcceptInterval = 2'000'000'000;

std::string responseTo(const http::Head &request, prometheus::Registry &registry) {
  const bool isKnown = request.target == "/metrics" && request.method == "GET";
  const auto body = isKnown ? prometheus::TextSerializer().Serialize(registry.Collect()) : "unknown\n";
  return std::string("HTTP/1.1 ") + (isKnown ? "200 OK" : "404 Not Found") +
         "\r\nContent-Type: text/plain; version=0.0.4\r\nConnection: close\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

MetricsServer::MetricsServer(net::Scheduler &sched, net::DescriptorBudget &budget,
                             prometheus::Registry &registry, net::Address address)
    : sched_(sched), budget_(budget), registry_(registry), listener_(net::listenTcp(sched, budget, address)) {
}

net::Task<> MetricsServer::accept() {
  for (;;) {
    auto socket = net::tryAccept(sched_, budget_, *listener_);
    if (socket && openConnections_ < kMaxConnections)
      sched_.spawn(serve(std::move(*socket)));
    else if (!socket)
      co_await listener_->waitReadable({sched_.now() + kAcceptInterval, nullptr});
  }
}

// Answers one request and closes the connection. A request that cannot be parsed gets no response.
net::Task<> MetricsServer::serve(std::unique_ptr<net::Socket> socket) {
  struct ConnectionCount {
    int &count;
    ~ConnectionCount() { --count; }
  } connectionCount{++openConnections_};
  const net::Deadline deadline{sched_.now() + kRequestTimeout, nullptr};
  net::Buffer buffer;
  http::Head head;
  std::size_t headSize = 0;
  auto parsed = http::Parsed::more;
  while ((parsed = http::parseRequest(buffer.view(), head, headSize)) == http::Parsed::more) {
    const auto error = co_await socket->read(buffer, deadline);
    if (error != net::ErrorCode::none) co_return;
  }
  if (parsed == http::Parsed::bad) co_return;
  const auto response = responseTo(head, registry_);
  const auto error = co_await socket->write(response, deadline);
  if (error == net::ErrorCode::none) socket->shutdownWrite();
}

} // namespace myrtlehead::admin
