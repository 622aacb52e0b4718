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

using Ns = std::int64_t;
constexpr Ns kNever = std::numeric_limits<Ns>::max();

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

enum class Woken { signalled, timedOut, stopped };

// Wakes all that wait for it at that moment.
class Signal {
public:
  void notify();

private:
  friend class Wait;
  Hook ring_;
};

// A lasting request to stop what is done under it.
class Stop {
public:
  void request();
  bool requested() const { return requested_; }

private:
  friend class Wait;
  bool requested_ = false;
  Hook ring_;
};

// How long an operation may take, and what may call it off.
struct Until {
  Ns at = kNever;
  Stop *stop = nullptr;
};

class Wait {
public:
  Wait(Scheduler &s, Signal *signal, Until until) : sched_(s), signal_(signal), until_(until) {}
  ~Wait() { leaveAll(); }
  Wait(const Wait &) = delete;
  Wait &operator=(const Wait &) = delete;

  bool await_ready() const { return false; }
  void await_suspend(std::coroutine_handle<> h);
  Woken await_resume() const { return woken_; }
  void wake(Woken why);

private:
  friend class Scheduler;
  void leaveAll();
  Scheduler &sched_;
  Signal *signal_;
  Until until_;
  Woken woken_ = Woken::signalled;
  std::coroutine_handle<> coroutine_;
  Hook onSignal_{this}, onStop_{this}, onReady_{this};
  std::multimap<Ns, Wait *>::iterator timer_;
  bool timed_ = false;
};

// A file descriptor's events, edge by edge.
class Watched {
public:
  virtual void happened(std::uint32_t events) = 0;

protected:
  ~Watched() = default;
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

  Ns now() const { return now_; }
  Wait wait(Signal &signal, Until until = {}) { return {*this, &signal, until}; }
  Wait sleep(Ns time, Stop *stop = nullptr) { return {*this, nullptr, {now_ + time, stop}}; }
  // Runs a coroutine of its own, from the next round on; it is the scheduler's until it ends. What it throws
  // ends it alone and goes to `onThrow`.
  void spawn(Task<> task);
  void watch(int fd, Watched &watched);
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
  Ns now_ = 0;
  bool halted_ = false;
  Hook ready_;
  std::multimap<Ns, Wait *> timers_;
  std::list<Task<>> roots_;
  std::list<std::list<Task<>>::iterator> ended_;
};

} // namespace myrtlehead::sched
