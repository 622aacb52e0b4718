#include "admin/metrics_server.h"

#include "format/http/http.h"

#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace myrtlehead::admin {

namespace {
constexpr int kMostOpen = 4;
constexpr sched::Nanoseconds kWithin = 2'000'000'000; // for a request, and for reading its answer
} // namespace

MetricsServer::MetricsServer(net::Scheduler &sched, net::DescriptorBudget &budget,
                             prometheus::Registry &registry, net::Address at)
    : sched_(sched), budget_(budget), registry_(registry), listener_(net::listenTcp(sched, budget, at)) {}

net::Task<> MetricsServer::accept() {
  for (;;) {
    auto socket = net::tryAccept(sched_, budget_, *listener_);
    if (socket && open_ < kMostOpen)
      sched_.spawn(serve(std::move(*socket)));
    else if (!socket)
      co_await listener_->waitReadable({sched_.now() + kWithin, nullptr});
  }
}

net::Task<> MetricsServer::serve(std::unique_ptr<net::Socket> socket) {
  struct Open {
    int &n;
    ~Open() { --n; }
  } open{++open_};
  const net::Deadline until{sched_.now() + kWithin, nullptr};
  net::Buffer buffer;
  http::Head head;
  std::size_t size = 0;
  auto parsed = http::Parsed::more;
  while ((parsed = http::parseRequest(buffer.view(), head, size)) == http::Parsed::more) {
    const auto cause = co_await socket->read(buffer, until);
    if (cause != net::ErrorCode::none) co_return;
  }
  if (parsed == http::Parsed::bad) co_return;
  const bool known = head.target == "/metrics" && head.method == "GET";
  const auto body = known ? prometheus::TextSerializer().Serialize(registry_.Collect()) : "unknown\n";
  auto out = std::string("HTTP/1.1 ") + (known ? "200 OK" : "404 Not Found") +
             "\r\nContent-Type: text/plain; version=0.0.4\r\nConnection: close\r\nContent-Length: " +
             std::to_string(body.size()) + "\r\n\r\n" + body;
  const auto written = co_await socket->write(out, until);
  if (written == net::ErrorCode::none) socket->shutdownWrite();
}

} // namespace myrtlehead::admin
