// Messages between the instances of the proxy: one a UDP datagram. A sender is known by its address.
#pragma once

#include "base/net/socket.h"
#include "router/router.h"

namespace myrtlehead::peers {

constexpr std::size_t kMaxDatagramBytes = 256; // by the operators' protocol

class PeerTransport {
public:
  // `peers`: the addresses of all instances, by their numbers; `all`: the address that reaches every other
  // one. Throws std::system_error where `listen` can't be bound.
  PeerTransport(net::Scheduler &sched, net::DescriptorBudget &budget, Router &router, net::Address listen,
                std::vector<net::Address> peers, net::Address all)
      : sched_(sched), socket_(net::bindUdp(sched, budget, listen)), router_(router),
        peers_(std::move(peers)), all_(all) {}

  // These run for as long as the instance.
  net::Task<> send();
  net::Task<> receive();

  net::Address address() const { return net::localAddress(*socket_); }

private:
  net::Scheduler &sched_;
  std::unique_ptr<net::Socket> socket_;
  Router &router_;
  std::vector<net::Address> peers_;
  net::Address all_;
};

} // namespace myrtlehead::peers
