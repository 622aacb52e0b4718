// A single-threaded scheduler that runs coroutines on top of epoll. A wait ends with an event, at a deadline
// or with a cancellation. If a waiting coroutine is destroyed, its wait removes itself from every queue.
//
// Order: coroutines are resumed in the order in which they became ready. A coroutine that becomes ready
// during a round is resumed in the next round, after that round has polled the descriptors and expired the
// timers.
#pragma once

#include "base/sched/task.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <map>

namespace myrtlehead::sched {

// A duration, or a point in time on the clock of the scheduler.
using Nanoseconds = std::int64_t;
// The time of a deadline that never expires.
constexpr Nanoseconds kNever = std::numeric_limits<Nanoseconds>::max();

class Wait;
class Scheduler;

// A node of an intrusive, circular, doubly linked list of waits. A node whose `wait` is null is the head of a
// list. The destructor removes the node from its list.
struct WaitListNode {
  explicit WaitListNode(Wait *w = nullptr) : wait(w) {}
  WaitListNode(const WaitListNode &) = delete;
  WaitListNode &operator=(const WaitListNode &) = delete;
  ~WaitListNode() { unlink(); }
  // Returns true if no other node is linked to this one. For the head of a list: the list is empty.
  bool isEmpty() const { return next == this; }
  void unlink();
  // Removes this node from its list and appends it to `list`.
  void appendTo(WaitListNode &list);
  Wait *wait;
  WaitListNode *previous = this;
  WaitListNode *next = this;
};

// The reason why a wait ended.
enum class WakeReason { notified, timedOut, cancelled };

// A stateless event: notify() wakes the coroutines that wait at that moment and has no effect on later waits.
class Event {
public:
  void notify();

private:
  friend class Wait;
  WaitListNode waiters_;
};

// A request to end the operations that use the token. cancel() is permanent: it wakes the coroutines that
// wait, and every later wait with the token ends at once.
class CancellationToken {
public:
  void cancel();
  bool isCancelled() const { return isCancelled_; }

private:
  friend class Wait;
  bool isCancelled_ = false;
  WaitListNode waiters_;
};

// The time at which an operation is abandoned, and a token that may cancel it earlier.
struct Deadline {
  Nanoseconds at = kNever;
  CancellationToken *cancellation = nullptr; // null if the operation cannot be cancelled
};

// An awaitable that suspends a coroutine until an event, a deadline or a cancellation. The coroutine is
// always suspended, even if the wait ends at once.
class Wait {
public:
  Wait(Scheduler &scheduler, Event *event, Deadline deadline)
      : scheduler_(scheduler), event_(event), deadline_(deadline) {}
  ~Wait() { unlinkAll(); }
  Wait(const Wait &) = delete;
  Wait &operator=(const Wait &) = delete;

  bool await_ready() const { return false; }
  void await_suspend(std::coroutine_handle<> coroutine);
  WakeReason await_resume() const { return wakeReason_; }
  // Ends the wait: puts the coroutine into the queue of ready coroutines.
  void wake(WakeReason reason);

private:
  friend class Scheduler;
  void unlinkAll();
  Scheduler &scheduler_;
  Event *event_;
  Deadline deadline_;
  WakeReason wakeReason_ = WakeReason::notified;
  std::coroutine_handle<> coroutine_;
  WaitListNode eventNode_{this};
  WaitListNode cancellationNode_{this};
  WaitListNode readyNode_{this};
  std::multimap<Nanoseconds, Wait *>::iterator timer_;
  bool hasTimer_ = false;
};

// Receives the edge-triggered epoll events of a file descriptor.
class DescriptorObserver {
public:
  virtual void onEvents(std::uint32_t events) = 0;

protected:
  ~DescriptorObserver() = default;
};

// `system` is the monotonic clock of the system. `simulated` jumps to the time of the next timer if no
// coroutine is ready; no descriptor can be watched then, and run() returns as soon as no coroutine is ready
// and no timer is left.
enum class Clock { system, simulated };

class Scheduler {
public:
  // Throws std::system_error if the epoll instance cannot be created.
  explicit Scheduler(Clock clock = Clock::system);
  ~Scheduler();
  Scheduler(const Scheduler &) = delete;
  Scheduler &operator=(const Scheduler &) = delete;

  // The time at which the clock was last read. The clock is read before and after the descriptors are polled
  // and before each coroutine is resumed.
  Nanoseconds now() const { return now_; }
  // The number of the current round, counted from 1.
  std::uint64_t round() const { return round_; }
  Wait wait(Event &event, Deadline deadline = {}) { return {*this, &event, deadline}; }
  // With a `duration` of 0 the coroutine is resumed in the next round.
  Wait sleep(Nanoseconds duration, CancellationToken *cancellation = nullptr) {
    return {*this, nullptr, {now_ + duration, cancellation}};
  }
  // Starts an independent coroutine in the next round. The scheduler owns it until it ends. An exception
  // thrown by the coroutine ends only that coroutine and is reported to `onUncaughtException`.
  void spawn(Task<> task);
  // Reports the events of `fd` to `observer` until unwatch(). Throws std::system_error if epoll rejects `fd`.
  void watch(int fd, DescriptorObserver &observer);
  // Removes the registration of `fd`. Must be called before the descriptor is closed: the kernel keeps the
  // registration while a duplicate of the descriptor is open, as in a child process between fork and exec.
  void unwatch(int fd);
  void run(); // returns after halt(), or as described at Clock::simulated
  void halt() { isHalted_ = true; }
  // Destroys all spawned coroutines at the point where they wait. Used at the end of the program.
  void destroyAllTasks() { roots_.clear(); }

  // Called with what() of an exception that ended a spawned coroutine.
  std::function<void(const char *what)> onUncaughtException;

private:
  friend class Wait;
  Task<> runRoot(Task<> task, std::list<Task<>>::iterator *self);
  void poll();
  void advanceSimulatedClock();
  int epollTimeoutMs() const;
  void expireTimers();
  void resumeReady();
  void readClock();

  Clock clock_;
  int epoll_ = -1;
  Nanoseconds now_ = 0;
  std::uint64_t round_ = 0;
  bool isHalted_ = false;
  WaitListNode ready_;
  std::multimap<Nanoseconds, Wait *> timers_; // by deadline
  std::list<Task<>> roots_;                   // the spawned coroutines
  std::list<std::list<Task<>>::iterator> finishedRoots_;
};

} // namespace myrtlehead::sched
