// Fixture shared by the tests of the connections to control planes.
#pragma once

#include "fixtures.h"

#include "control/discovery/endpoint_watch.h"
#include "control/rollout/rollout_client.h"

namespace myrtlehead {

// An instance whose control connections all lead to one scripted HTTP server.
struct ControlFixture {
  explicit ControlFixture(ScriptedServer::Script script)
      : server(loop, std::move(script)), router(loop.sched, deployment(), 7, loop.log),
        watch(loop.sched, loop.budget, router, loop.log, *net::parseAddress(server.address()), {"hall-a"}, 0),
        rolloutClient(loop.sched, loop.budget, router, loop.log, *net::parseAddress(server.address()),
                      {"read", "write"}, 100 * kMillisecond) {}
  static Deployment deployment() {
    auto d = smallDeployment();
    d.pollsEndpointList = true;
    return d;
  }
  EventLoop loop;
  ScriptedServer server;
  Router router;
  discovery::EndpointWatch watch;
  rollout::RolloutClient rolloutClient;
};

// Reads one request and returns its method and target, or "" if the connection has ended.
inline sched::Task<std::string> readRequestLine(net::Socket &s, net::Buffer &b) {
  http::Head head;
  std::size_t size = 0;
  while (http::parseRequest(b.view(), head, size) != http::ParseStatus::complete)
    if (co_await s.read(b, {}) != net::ErrorCode::none) co_return "";
  b.consume(size);
  co_return head.method + " " + head.target;
}

// Returns the text as one chunk of a chunked body.
inline std::string chunk(std::string_view text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + std::string(text) + "\r\n";
}

// The head of a chunked response, which stays open: a watch or an event stream.
inline const std::string kChunkedResponseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Returns a watch event line with one endpoint, s-1.
inline std::string watchEvent(int index, const char *status, int build = 1) {
  return "{\"index\":" + std::to_string(index) +
         ",\"snapshot\":false,\"endpoints\":[{\"name\":\"s-1\",\"address\":"
         "\"127.0.0.1:9\",\"status\":\"" +
         status + "\",\"release\":" + std::to_string(build) + "}]}\n";
}

} // namespace myrtlehead
