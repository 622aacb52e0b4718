// The way from one process to another, as a relay on loopback that faults can be put on while connections
// stand.
#pragma once

#include "base/net/socket.h"

#include <list>
#include <memory>

namespace myrtlehead::lab {

class Link {
public:
  Link(net::Scheduler &sched, net::DescriptorBudget &budget, net::Address to);
  net::Address address() const { return net::localAddress(*listener_); }

  net::Nanoseconds delay = 0; // of each piece, each way
  bool stalls = false;        // takes connections and bytes, and passes none on, either way
  bool losesThere = false;    // what goes there vanishes; what comes back does not
  bool losesBack = false;     // the other way round
  void cut();                 // every connection is reset, and new ones are, until heal()
  void heal() { cut_ = false; }
  int ended = 0; // connections that endWithin() has reset
  void endWithin(std::size_t n) {
    left_ = n;
  } // resets whichever connection passes the n-th byte there from now

private:
  struct Pair {
    std::unique_ptr<net::Socket> from, to;
  };
  net::Task<> accept();
  net::Task<> serve(std::shared_ptr<Pair> pair);
  net::Task<> pump(std::shared_ptr<Pair> pair, bool there);
  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  net::Address to_;
  std::unique_ptr<net::Socket> listener_;
  std::list<std::weak_ptr<Pair>> open_;
  bool cut_ = false;
  std::size_t left_ = 0;
};

} // namespace myrtlehead::lab
