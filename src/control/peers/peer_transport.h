// Notes between instances: datagrams, told apart by the sender's address.
#pragma once

#include "base/net/socket.h"
#include "router/router.h"

namespace myrtlehead::peers {

constexpr std::size_t kMostBytes = 256;

class PeerTransport {
public:
  PeerTransport(net::Scheduler &sched, net::DescriptorBudget &budget, Router &router, net::Address listen,
                std::vector<net::Address> peers, net::Address all)
      : sched_(sched), socket_(net::bindUdp(sched, budget, listen)), router_(router),
        peers_(std::move(peers)), all_(all) {}

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
