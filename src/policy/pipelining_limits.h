// Limits on pipelined requests: how much a single connection may have in flight, and how many requests of all
// connections may be attempted concurrently. No I/O; time is an argument.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>

namespace myrtlehead::pipelining_limits {

using Nanoseconds = std::int64_t;

// What a connection currently has in flight.
struct ConnectionUsage {
  std::size_t requests = 0;     // requests that are started and not completely answered
  std::size_t answerBytes = 0;  // bytes of answers that are not written yet
  std::size_t requestBytes = 0; // bytes of the texts of these requests
};

// Returns until when a request behind others on its connection may wait for admission. `clientTimeout` is how
// long the client waits for the answer, counted from `arrivedAt`. A request that is not admitted by then is
// rejected, which leaves its client half of the timeout for a retry elsewhere.
Nanoseconds admissionDeadline(Nanoseconds arrivedAt, Nanoseconds clientTimeout);

// Whether a request is the first in flight on its connection.
enum class RequestPosition { first, behindOthers };

// How many of `capacity` bytes for large answers the answer to a request must leave free for others. An
// answer behind others on its connection keeps its memory until those are written, however long that takes.
std::size_t answerMemoryToLeave(RequestPosition position, std::size_t capacity);

// The admission state of one request. The ticket must not move while PipeliningLimits refers to it.
struct AdmissionTicket {
  enum State { notRequested, waiting, admitted } state = notRequested;
  std::function<void()> onAdmitted;                     // called when the request is admitted after a wait
  std::list<AdmissionTicket *>::iterator queuePosition; // valid only in state `waiting`
};

// Bounds the number of requests that are attempted concurrently. The first request in flight on a connection
// is always admitted, because the number of connections is bounded separately. Requests behind the first are
// admitted in order of arrival while capacity is left.
class PipeliningLimits {
public:
  // `capacity` is the maximum number of requests attempted concurrently.
  explicit PipeliningLimits(int capacity) : capacity_(capacity) {}

  // Whether a connection may start another message. A connection is not read further while too many bytes of
  // its answers are unwritten, while its requests in flight are too many or too large, or while it has
  // requests in flight and too many requests of all connections wait for admission. A connection with no
  // requests in flight and no unwritten answers may always start a message.
  bool mayStartMessage(const ConnectionUsage &usage) const;
  // Admits the request if capacity is free or it is the first on its connection; otherwise queues it.
  void requestAdmission(AdmissionTicket &ticket, RequestPosition position);
  // Admits the request if it still waits, because all requests ahead of it on its connection are answered.
  void onBecameFirst(AdmissionTicket &ticket);
  // Gives the ticket back after the request was answered, rejected or abandoned, and admits the next request
  // in the queue if capacity is free.
  void release(AdmissionTicket &ticket);
  int admittedCount() const { return admittedCount_; }
  std::size_t waitingCount() const { return waiting_.size(); }

private:
  void admit(AdmissionTicket &ticket);
  int capacity_;
  int admittedCount_ = 0;
  std::list<AdmissionTicket *> waiting_; // in order of arrival
};

} // namespace myrtlehead::pipelining_limits
