// Limits on pipelined requests: how much one connection may have in flight, and how many requests of all
// connections may be attempted at the same time. No I/O; time is an argument.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>

namespace myrtlehead::pipelining_limits {

using Nanoseconds = std::int64_t;

// What a connection occupies while its requests wait for answers, or its answers wait to be written.
struct ConnectionUsage {
  std::size_t requests = 0; // started and not yet answered completely
  std::size_t bytes = 0;    // of answers not yet written
};

// Until when a request behind others of its connection may wait to be admitted; `clientTimeout`: how long its
// client waits for the answer from `arrivedAt` on. Past that it is rejected, while its client still has the
// other half of that time for a retry elsewhere.
Nanoseconds admissionDeadline(Nanoseconds arrivedAt, Nanoseconds clientTimeout);

// One request's right to be attempted. It must not move while PipeliningLimits refers to it.
struct AdmissionTicket {
  enum State { outside, waiting, admitted } state = outside;
  std::function<void()> onAdmitted;               // called when it is admitted after a wait
  std::list<AdmissionTicket *>::iterator queueAt; // while it waits
};

// Whether a request is the first in flight on its connection.
enum class RequestPosition { first, behindOthers };

// Bounds the requests that are attempted at the same time. The first request in flight of each connection is
// always admitted, as the number of connections is bounded by itself; those behind it take what is left of
// the capacity, in the order in which they came.
class PipeliningLimits {
public:
  // `capacity`: of requests that are attempted at the same time.
  explicit PipeliningLimits(int capacity) : capacity_(capacity) {}

  // Whether a connection may start on a further message. A client that reads nothing, or that pipelines
  // without end, is not read on until some of its answers have been written; nor is one that has requests in
  // flight while many others wait. A connection with nothing in flight always may.
  bool mayStartMessage(const ConnectionUsage &usage) const;
  // Admits the request, or lets it wait.
  void enter(AdmissionTicket &ticket, RequestPosition position);
  // The requests ahead of it on its connection are answered: it is admitted, if it still waits.
  void onBecameFirst(AdmissionTicket &ticket);
  // It is answered, rejected or abandoned: the next one that waits is admitted.
  void leave(AdmissionTicket &ticket);
  int admittedCount() const { return admittedCount_; }
  std::size_t waitingCount() const { return waiting_.size(); }

private:
  void admit(AdmissionTicket &ticket);
  int capacity_;
  int admittedCount_ = 0;
  std::list<AdmissionTicket *> waiting_;
};

} // namespace myrtlehead::pipelining_limits
