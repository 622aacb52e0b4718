// Serves metrics over HTTP: GET /metrics, in Prometheus' text format, version 0.0.4.
#pragma once

#include "base/net/socket.h"

#include <memory>

namespace prometheus {
class Registry;
}

namespace myrtlehead::admin {

class MetricsServer {
public:
  // Listens at `address`; throws std::system_error where that can't be. All arguments must outlive the
  // server.
  MetricsServer(net::Scheduler &sched, net::DescriptorBudget &budget, prometheus::Registry &registry,
                net::Address address);
  // Accepts connections, a few at a time, for as long as the instance lives.
  net::Task<> accept();
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
