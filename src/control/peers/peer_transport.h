// Sends and receives the messages between the instances of the proxy, one UDP datagram each. A sender is
// identified by its address.
#pragma once

#include "base/net/socket.h"
#include "router/router.h"

namespace myrtlehead::peers {

constexpr std::size_t kMaxDatagramBytes = 256; // limit of the operators' protocol

class PeerTransport {
public:
  // `peers`: the addresses of all instances, by index. `broadcastAddress`: the address that reaches every
  // other instance. Throws std::system_error if the address `listen` can't be bound.
  PeerTransport(net::Scheduler &sched, net::DescriptorBudget &budget, Router &router, net::Address listen,
                std::vector<net::Address> peers, net::Address broadcastAddress)
      : sched_(sched), socket_(net::bindUdp(sched, budget, listen)), router_(router),
        peers_(std::move(peers)), broadcastAddress_(broadcastAddress) {}

  // These coroutines run for the lifetime of the instance. Datagrams that are too long or come from unknown
  // senders are ignored.
  net::Task<> send();
  net::Task<> receive();

  net::Address address() const { return net::localAddress(*socket_); }

private:
  net::Scheduler &sched_;
  std::unique_ptr<net::Socket> socket_;
  Router &router_;
  std::vector<net::Address> peers_;
  net::Address broadcastAddress_;
};

} // namespace myrtlehead::peers
