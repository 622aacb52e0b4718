// An HTTP server that answers GET /metrics in the Prometheus text format, version 0.0.4.
#pragma once

#include "base/net/socket.h"

#include <memory>

namespace prometheus {
class Registry;
}

namespace myrtlehead::admin {

class MetricsServer {
public:
  // Listens at `address`; throws std::system_error if it cannot. The references must outlive the server.
  MetricsServer(net::Scheduler &sched, net::DescriptorBudget &budget, prometheus::Registry &registry,
                net::Address address);
  // Accepts connections until the task is destroyed. Connections beyond a small limit are closed at once.
  net::Task<> accept();
  // Returns the address that the server listens at, with the actual port if port 0 was given.
  net::Address address() const { return net::localAddress(*listener_); }

private:
  net::Task<> serve(std::unique_ptr<net::Socket> socket);
  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  prometheus::Registry &registry_;
  std::unique_ptr<net::Socket> listener_;
  int openConnections_ = 0;
};

} // namespace myrtlehead::admin
