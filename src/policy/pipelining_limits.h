// Limits on pipelined requests: how much one connection may have in hand, and how many requests of all
// connections may be attempted at the same time. No I/O; time is an argument.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>

namespace myrtlehead::pipelining_limits {

using Nanoseconds = std::int64_t;

// What a connection holds while its requests wait for answers, or its answers wait to be written.
struct ConnectionUsage {
  std::size_t requests = 0; // taken up and not yet answered in full
  std::size_t bytes = 0;    // of answers not yet written
};

// Until when a request that stands behind others of its connection may wait for a place. Past that it is
// refused, while its client still has the other half of its time for another attempt elsewhere.
Nanoseconds waitsUntil(Nanoseconds arrived, Nanoseconds patience);

// One request's right to be attempted. It must not move while it is known to an Admission.
struct Ticket {
  enum State { outside, waiting, admitted } state = outside;
  std::function<void()> onAdmitted; // called when it is admitted after a wait
  std::list<Ticket *>::iterator at; // while it waits
};

// Bounds the requests that are attempted at the same time. The first request in hand of each connection is
// always admitted, as connections are bounded by themselves; those behind it take what is left of the places,
// in the order in which they came.
class Admission {
public:
  explicit Admission(int places) : places_(places) {}

  // Whether a connection may take up a further message. A client that reads nothing, or that pipelines
  // without end, is not read on until some of its answers have been written; nor is one that has requests in
  // hand while many others wait. A connection with nothing in hand always may.
  bool mayTakeUp(const ConnectionUsage &held) const;
  void enter(Ticket &ticket, bool first); // admits it, or lets it wait
  void becameFirst(Ticket &ticket);       // of its connection: admitted, if it still waits
  void leave(Ticket &ticket);             // answered, refused or abandoned; makes room for the next
  int attempted() const { return attempted_; }
  std::size_t waiting() const { return waiting_.size(); }

private:
  void admit(Ticket &ticket);
  int places_;
  int attempted_ = 0;
  std::list<Ticket *> waiting_;
};

} // namespace myrtlehead::pipelining_limits
