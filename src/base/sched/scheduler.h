// The scheduler: coroutines over epoll on one thread. Each wait ends by an event, at a time or by a
// cancellation, and unlinks itself from every queue when its coroutine is destroyed.
//
// Order: coroutines are resumed in the order in which they became ready. What becomes ready during a round
// waits for the next one, behind the descriptors' events and the timers.
#pragma once

#include "base/sched/task.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <map>

namespace myrtlehead::sched {

// Durations, and times on the scheduler's clock.
using Nanoseconds = std::int64_t;
// The time of a deadline that never passes.
constexpr Nanoseconds kNever = std::numeric_limits<Nanoseconds>::max();

class Wait;
class Scheduler;

// A node of an intrusive, circular list of waits. One without a wait is the list itself. It unlinks itself
// when it is destroyed.
struct WaitListNode {
  explicit WaitListNode(Wait *w = nullptr) : wait(w) {}
  WaitListNode(const WaitListNode &) = delete;
  WaitListNode &operator=(const WaitListNode &) = delete;
  ~WaitListNode() { unlink(); }
  // Whether it is linked to no other node: of the list itself, whether that is empty.
  bool isEmpty() const { return next == this; }
  void unlink();
  // Moves it to the end of `list`.
  void appendTo(WaitListNode &list);
  Wait *wait;
  WaitListNode *previous = this;
  WaitListNode *next = this;
};

// Why a wait has ended.
enum class WakeReason { notified, timedOut, cancelled };

// An event without a state: a notification wakes all that wait at that moment, and is not kept for others.
class Event {
public:
  void notify();

private:
  friend class Wait;
  WaitListNode waiters_;
};

// A lasting request to end what is done under it: it wakes all that wait, and each later wait at once.
class CancellationToken {
public:
  void cancel();
  bool isCancelled() const { return isCancelled_; }

private:
  friend class Wait;
  bool isCancelled_ = false;
  WaitListNode waiters_;
};

// Until when an operation may take, and what may cancel it before; nullptr: nothing.
struct Deadline {
  Nanoseconds at = kNever;
  CancellationToken *cancellation = nullptr;
};

// What a coroutine awaits to be suspended until an event, a deadline or a cancellation. Always suspends once.
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
  // Makes the coroutine ready to be resumed.
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

// Receives a file descriptor's epoll events, edge-triggered.
class DescriptorObserver {
public:
  virtual void onEvents(std::uint32_t events) = 0;

protected:
  ~DescriptorObserver() = default;
};

// The system's monotonic clock, or a simulated one that jumps to the next time at which anything is due: then
// no descriptor can be watched, and run() returns once nothing is due any more.
enum class Clock { system, simulated };

class Scheduler {
public:
  // Throws std::system_error where epoll can't be had.
  explicit Scheduler(Clock clock = Clock::system);
  ~Scheduler();
  Scheduler(const Scheduler &) = delete;
  Scheduler &operator=(const Scheduler &) = delete;

  // The time as it was read last: at the beginning of the round, and before each resumed coroutine.
  Nanoseconds now() const { return now_; }
  Wait wait(Event &event, Deadline deadline = {}) { return {*this, &event, deadline}; }
  // `duration` of 0: until the next round.
  Wait sleep(Nanoseconds duration, CancellationToken *cancellation = nullptr) {
    return {*this, nullptr, {now_ + duration, cancellation}};
  }
  // Runs a coroutine of its own, from the next round on; it is the scheduler's until it ends. An exception
  // that it throws ends it alone and goes to `onUncaughtException`.
  void spawn(Task<> task);
  // Throws std::system_error where the descriptor can't be watched.
  void watch(int fd, DescriptorObserver &observer);
  // Removes a registration; to be called before the descriptor is closed. Closing alone does not remove it
  // while a duplicate is open, as in a child process between fork and exec.
  void unwatch(int fd);
  void run(); // returns after halt()
  void halt() { isHalted_ = true; }
  // Destroys each spawned coroutine where it waits; for the end of the program.
  void destroyAllTasks() { roots_.clear(); }

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
  bool isHalted_ = false;
  WaitListNode ready_;
  std::multimap<Nanoseconds, Wait *> timers_; // by the time at which each is due
  std::list<Task<>> roots_;                   // the spawned coroutines
  std::list<std::list<Task<>>::iterator> finishedRoots_;
};

} // namespace myrtlehead::sched
