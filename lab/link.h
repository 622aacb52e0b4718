// A relay on loopback between two processes. Network faults can be injected while connections are open.
#pragma once

#include "base/net/socket.h"

#include <list>
#include <memory>

namespace myrtlehead::lab {

class Link {
public:
  // Listens on a loopback port and relays each connection to `target`.
  Link(net::Scheduler &sched, net::DescriptorBudget &budget, net::Address target);
  net::Address address() const { return net::localAddress(*listener_); }

  net::Nanoseconds delay = 0;  // added to each chunk, in both directions
  bool isStalled = false;      // accepts connections and bytes but forwards nothing, in both directions
  bool dropsRequests = false;  // discards the bytes from the connecting side
  bool dropsResponses = false; // discards the bytes to the connecting side

  void cut(); // closes every connection, and closes new ones until heal()
  void heal() { isCut_ = false; }
  // Closes the connection that forwards the n-th request byte from now.
  void resetAfter(std::size_t requestBytes) { bytesToReset_ = requestBytes; }
  // Number of connections that resetAfter() has closed.
  int resets() const { return resets_; }

private:
  enum class Direction { requests, responses };
  struct Relay {
    std::unique_ptr<net::Socket> client;
    std::unique_ptr<net::Socket> server;
  };
  net::Task<> accept();
  net::Task<> serve(std::shared_ptr<Relay> relay);
  net::Task<> forward(std::shared_ptr<Relay> relay, Direction direction);
  net::Task<> waitWhileStalled();
  bool drops(Direction direction) const;
  // Counts the chunk towards resetAfter(). If the reset is due within the chunk, cuts the chunk after the due
  // byte and returns true.
  bool countTowardsReset(std::string &chunk, Direction direction);

  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  net::Address target_;
  std::unique_ptr<net::Socket> listener_;
  std::list<std::weak_ptr<Relay>> relays_;
  bool isCut_ = false;
  std::size_t bytesToReset_ = 0; // 0: no reset is due
  int resets_ = 0;
};

} // namespace myrtlehead::lab
