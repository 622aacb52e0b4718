// Where metrics are asked for: GET /metrics, in Prometheus' text format, version 0.0.4.
#pragma once

#include "base/net/socket.h"

#include <memory>

namespace prometheus {
class Registry;
}

namespace myrtlehead::admin {

class MetricsServer {
public:
  // Throws std::system_error where the address can't be had.
  MetricsServer(net::Scheduler &sched, net::DescriptorBudget &budget, prometheus::Registry &registry,
                net::Address at);
  net::Task<> accept(); // for as long as the program lives
  net::Address address() const { return net::localAddress(*listener_); }

private:
  net::Task<> serve(std::unique_ptr<net::Socket> socket);
  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  prometheus::Registry &registry_;
  std::unique_ptr<net::Socket> listener_;
  int open_ = 0;
};

} // namespace myrtlehead::admin
