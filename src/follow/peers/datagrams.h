// Notes between marshals: datagrams, told apart by the sender's address.
#pragma once

#include "base/net/socket.h"
#include "marshal/marshal.h"

namespace myrtlehead::peers {

constexpr std::size_t kMostBytes = 256;

class Datagrams {
public:
  Datagrams(net::Scheduler &sched, net::Descriptors &budget, Marshal &marshal, net::Address listen,
            std::vector<net::Address> peers, net::Address all)
      : sched_(sched), socket_(net::datagramsAt(sched, budget, listen)), marshal_(marshal),
        peers_(std::move(peers)), all_(all) {}

  net::Task<> send();
  net::Task<> receive();
  net::Address address() const { return net::localAddress(*socket_); }

private:
  net::Scheduler &sched_;
  std::unique_ptr<net::Socket> socket_;
  Marshal &marshal_;
  std::vector<net::Address> peers_;
  net::Address all_;
};

} // namespace myrtlehead::peers
