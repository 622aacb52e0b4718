// The way from one process to another, as a relay on loopback on which faults can be put while connections
// are open.
#pragma once

#include "base/net/socket.h"

#include <list>
#include <memory>

namespace myrtlehead::lab {

class Link {
public:
  // Listens on a port of loopback and relays each connection to `to`.
  Link(net::Scheduler &sched, net::DescriptorBudget &budget, net::Address to);
  net::Address address() const { return net::localAddress(*listener_); }

  net::Nanoseconds delay = 0;  // of each piece, in both directions
  bool isStalled = false;      // accepts connections and bytes, and forwards none, in both directions
  bool dropsRequests = false;  // what the connecting side sends vanishes; the rest is forwarded
  bool dropsResponses = false; // the other way round

  void cut(); // resets every connection, and new ones until heal()
  void heal() { isCut_ = false; }
  // Resets whichever connection forwards the n-th byte of requests from now.
  void resetAfter(std::size_t requestBytes) { bytesToReset_ = requestBytes; }
  // Connections that resetAfter() has reset.
  int resets() const { return resets_; }

private:
  enum class Direction { requests, responses };
  struct Relay {
    std::unique_ptr<net::Socket> client;
    std::unique_ptr<net::Socket> server;
  };
  net::Task<> accept();
  net::Task<> serve(std::shared_ptr<Relay> relay);
  net::Task<> pump(std::shared_ptr<Relay> relay, Direction direction);
  net::Task<> waitWhileStalled();
  bool drops(Direction direction) const;
  bool isResetDue(std::string &piece, Direction direction);

  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  net::Address to_;
  std::unique_ptr<net::Socket> listener_;
  std::list<std::weak_ptr<Relay>> relays_;
  bool isCut_ = false;
  std::size_t bytesToReset_ = 0; // 0: none is due
  int resets_ = 0;
};

} // namespace myrtlehead::lab
