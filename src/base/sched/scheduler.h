// The scheduler: coroutines over epoll on one thread. Each wait has an end (a signal, a time, a stop) and
// takes itself out of every queue when its coroutine is ended.
#pragma once

#include "base/sched/task.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <map>

namespace myrtlehead::sched {

using Nanoseconds = std::int64_t;
constexpr Nanoseconds kNever = std::numeric_limits<Nanoseconds>::max();

class Wait;
class Scheduler;

// A place in a ring of waits; leaves it by itself.
struct Hook {
  explicit Hook(Wait *w = nullptr) : wait(w) {}
  Hook(const Hook &) = delete;
  Hook &operator=(const Hook &) = delete;
  ~Hook() { leave(); }
  bool alone() const { return next == this; }
  void leave();
  void join(Hook &ring); // at its end
  Wait *wait;
  Hook *prev = this, *next = this;
};

enum class WakeReason { notified, timedOut, cancelled };

// Wakes all that wait for it at that moment.
class Event {
public:
  void notify();

private:
  friend class Wait;
  Hook ring_;
};

// A lasting request to stop what is done under it.
class CancellationToken {
public:
  void cancel();
  bool isCancelled() const { return isCancelled_; }

private:
  friend class Wait;
  bool isCancelled_ = false;
  Hook ring_;
};

// How long an operation may take, and what may call it off.
struct Deadline {
  Nanoseconds at = kNever;
  CancellationToken *stop = nullptr;
};

class Wait {
public:
  Wait(Scheduler &s, Event *signal, Deadline until) : sched_(s), signal_(signal), until_(until) {}
  ~Wait() { leaveAll(); }
  Wait(const Wait &) = delete;
  Wait &operator=(const Wait &) = delete;

  bool await_ready() const { return false; }
  void await_suspend(std::coroutine_handle<> h);
  WakeReason await_resume() const { return woken_; }
  void wake(WakeReason why);

private:
  friend class Scheduler;
  void leaveAll();
  Scheduler &sched_;
  Event *signal_;
  Deadline until_;
  WakeReason woken_ = WakeReason::notified;
  std::coroutine_handle<> coroutine_;
  Hook onSignal_{this}, onStop_{this}, onReady_{this};
  std::multimap<Nanoseconds, Wait *>::iterator timer_;
  bool timed_ = false;
};

// A file descriptor's events, edge by edge.
class DescriptorObserver {
public:
  virtual void onEvents(std::uint32_t events) = 0;

protected:
  ~DescriptorObserver() = default;
};

// The machine's clock, or one of the scheduler's own that jumps to the next time at which anything is due:
// then no descriptor can be watched, and the run ends once nothing is due any more.
enum class Clock { machine, own };

class Scheduler {
public:
  explicit Scheduler(Clock clock = Clock::machine);
  ~Scheduler();
  Scheduler(const Scheduler &) = delete;
  Scheduler &operator=(const Scheduler &) = delete;

  Nanoseconds now() const { return now_; }
  Wait wait(Event &signal, Deadline until = {}) { return {*this, &signal, until}; }
  Wait sleep(Nanoseconds time, CancellationToken *stop = nullptr) {
    return {*this, nullptr, {now_ + time, stop}};
  }
  // Runs a coroutine of its own, from the next round on; it is the scheduler's until it ends. What it throws
  // ends it alone and goes to `onThrow`.
  void spawn(Task<> task);
  void watch(int fd, DescriptorObserver &watched);
  // Removes a registration; to be called before the descriptor is closed. Closing alone does not remove it
  // while a duplicate is open, as in a child process between fork and exec.
  void unwatch(int fd);
  void run(); // until halt()
  void halt() { halted_ = true; }
  void endAll() { roots_.clear(); } // each coroutine where it waits; for the end of the program

  std::function<void(const char *)> onThrow;

private:
  friend class Wait;
  Task<> root(Task<> task, std::list<Task<>>::iterator *self);
  void poll();
  void expire();
  void resumeReady();
  void readClock();

  Clock clock_;
  int epoll_ = -1;
  Nanoseconds now_ = 0;
  bool halted_ = false;
  Hook ready_;
  std::multimap<Nanoseconds, Wait *> timers_;
  std::list<Task<>> roots_;
  std::list<std::list<Task<>>::iterator> ended_;
};

} // namespace myrtlehead::sched
