#include "base/sched/scheduler.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <ctime>
#include <sys/epoll.h>
#include <system_error>
#include <unistd.h>

namespace myrtlehead::sched {

void Hook::leave() {
  prev->next = next;
  next->prev = prev;
  prev = next = this;
}

void Hook::join(Hook &ring) {
  leave();
  prev = ring.prev;
  next = &ring;
  ring.prev->next = this;
  ring.prev = this;
}

void Event::notify() {
  while (!ring_.alone()) ring_.next->wait->wake(WakeReason::notified);
}

void CancellationToken::cancel() {
  isCancelled_ = true;
  while (!ring_.alone()) ring_.next->wait->wake(WakeReason::cancelled);
}

void Wait::await_suspend(std::coroutine_handle<> h) {
  coroutine_ = h;
  if (until_.stop != nullptr && until_.stop->isCancelled()) return wake(WakeReason::cancelled);
  if (until_.stop != nullptr) onStop_.join(until_.stop->ring_);
  if (signal_ != nullptr) onSignal_.join(signal_->ring_);
  if (until_.at != kNever) {
    timer_ = sched_.timers_.emplace(until_.at, this);
    timed_ = true;
  }
}

void Wait::leaveAll() {
  onSignal_.leave();
  onStop_.leave();
  onReady_.leave();
  if (timed_) sched_.timers_.erase(timer_);
  timed_ = false;
}

void Wait::wake(WakeReason why) {
  leaveAll();
  woken_ = why;
  onReady_.join(sched_.ready_);
}

Scheduler::Scheduler(Clock clock) : clock_(clock) {
  if (clock_ == Clock::own) return;
  epoll_ = epoll_create1(EPOLL_CLOEXEC);
  if (epoll_ < 0) throw std::system_error(errno, std::generic_category(), "epoll");
  readClock();
}

Scheduler::~Scheduler() {
  roots_.clear();
  if (epoll_ >= 0) close(epoll_);
}

void Scheduler::readClock() {
  if (clock_ == Clock::own) return;
  timespec t{};
  clock_gettime(CLOCK_MONOTONIC, &t);
  now_ = t.tv_sec * Nanoseconds{1'000'000'000} + t.tv_nsec;
}

Task<> Scheduler::root(Task<> task, std::list<Task<>>::iterator *self) {
  const auto me = *self; // read before the first wait
  co_await sleep(0);
  try {
    co_await task;
  } catch (const std::exception &e) {
    if (onThrow) onThrow(e.what());
  }
  ended_.push_back(me);
}

void Scheduler::spawn(Task<> task) {
  auto at = roots_.end();
  roots_.push_back(root(std::move(task), &at));
  at = std::prev(roots_.end());
  at->start();
}

void Scheduler::watch(int fd, DescriptorObserver &watched) {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.ptr = &watched;
  if (epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event) != 0)
    throw std::system_error(errno, std::generic_category(), "epoll");
}

void Scheduler::unwatch(int fd) {
  epoll_event ignored{}; // kernels before 2.6.9 want one
  epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, &ignored);
}

// Guards against timing out what has already arrived while this process stood still: descriptors are read
// before the clocks.
void Scheduler::run() {
  while (!halted_) {
    poll();
    expire();
    resumeReady();
    for (const auto &it : ended_) roots_.erase(it);
    ended_.clear();
  }
}

// No coroutine runs in here, so nothing that an event points to can go away.
void Scheduler::poll() {
  if (clock_ == Clock::own) {
    if (ready_.alone() && !timers_.empty()) now_ = std::max(now_, timers_.begin()->first);
    halted_ = halted_ || (ready_.alone() && timers_.empty());
    return;
  }
  std::array<epoll_event, 256> events;
  int timeout = -1;
  readClock();
  if (!ready_.alone()) {
    timeout = 0;
  } else if (!timers_.empty()) {
    const Nanoseconds left = std::clamp<Nanoseconds>(timers_.begin()->first - now_, 0, 60'000'000'000);
    timeout = static_cast<int>((left + 999'999) / 1'000'000);
  }
  const int n = epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), timeout);
  readClock();
  for (int i = 0; i < n; ++i)
    static_cast<DescriptorObserver *>(events[static_cast<std::size_t>(i)].data.ptr)
        ->onEvents(events[static_cast<std::size_t>(i)].events);
}

void Scheduler::expire() {
  while (!timers_.empty() && timers_.begin()->first <= now_)
    timers_.begin()->second->wake(WakeReason::timedOut);
}

// One round: what becomes ready meanwhile waits for the next, behind the descriptors.
void Scheduler::resumeReady() {
  Hook round;
  while (!ready_.alone()) ready_.next->join(round);
  while (!round.alone() && !halted_) {
    Wait *wait = round.next->wait;
    wait->onReady_.leave();
    readClock();
    wait->coroutine_.resume();
  }
  while (!round.alone()) round.next->join(ready_);
}

} // namespace myrtlehead::sched
