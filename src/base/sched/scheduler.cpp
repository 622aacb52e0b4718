#include "base/sched/scheduler.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <ctime>
#include <sys/epoll.h>
#include <system_error>
#include <unistd.h>

namespace myrtlehead::sched {

namespace {

constexpr std::size_t kMaxEventsPerPoll = 256;
constexpr Nanoseconds kNanosecondsPerSecond = 1'000'000'000;
constexpr Nanoseconds kNanosecondsPerMillisecond = 1'000'000;
constexpr Nanoseconds kMaxPollTime =
    60 * kNanosecondsPerSecond; // epoll_wait takes its timeout as an int in milliseconds

} // namespace

void WaitListNode::unlink() {
  previous->next = next;
  next->previous = previous;
  previous = this;
  next = this;
}

void WaitListNode::appendTo(WaitListNode &list) {
  unlink();
  previous = list.previous;
  next = &list;
  list.previous->next = this;
  list.previous = this;
}

void Event::notify() {
  while (!waiters_.isEmpty()) waiters_.next->wait->wake(WakeReason::notified);
}

void CancellationToken::cancel() {
  isCancelled_ = true;
  while (!waiters_.isEmpty()) waiters_.next->wait->wake(WakeReason::cancelled);
}

void Wait::await_suspend(std::coroutine_handle<> coroutine) {
  coroutine_ = coroutine;
  auto *cancellation = deadline_.cancellation;
  if (cancellation != nullptr && cancellation->isCancelled()) return wake(WakeReason::cancelled);
  if (cancellation != nullptr) cancellationNode_.appendTo(cancellation->waiters_);
  if (event_ != nullptr) eventNode_.appendTo(event_->waiters_);
  if (deadline_.at != kNever) {
    timer_ = scheduler_.timers_.emplace(deadline_.at, this);
    hasTimer_ = true;
  }
}

void Wait::unlinkAll() {
  eventNode_.unlink();
  cancellationNode_.unlink();
  readyNode_.unlink();
  if (hasTimer_) scheduler_.timers_.erase(timer_);
  hasTimer_ = false;
}

void Wait::wake(WakeReason reason) {
  unlinkAll();
  wakeReason_ = reason;
  readyNode_.appendTo(scheduler_.ready_);
}

Scheduler::Scheduler(Clock clock) : clock_(clock) {
  if (clock_ == Clock::simulated) return;
  epoll_ = epoll_create1(EPOLL_CLOEXEC);
  if (epoll_ < 0) throw std::system_error(errno, std::generic_category(), "cannot create an epoll instance");
  readClock();
}

Scheduler::~Scheduler() {
  roots_.clear();
  if (epoll_ >= 0) close(epoll_);
}

void Scheduler::readClock() {
  if (clock_ == Clock::simulated) return;
  timespec time{};
  clock_gettime(CLOCK_MONOTONIC, &time);
  now_ = time.tv_sec * kNanosecondsPerSecond + time.tv_nsec;
}

Task<> Scheduler::runRoot(Task<> task, std::list<Task<>>::iterator *self) {
  // `self` points into the stack frame of spawn(), so it is read before the first suspension.
  const auto position = *self;
  co_await sleep(0);
  try {
    co_await task;
  } catch (const std::exception &e) {
    if (onUncaughtException) onUncaughtException(e.what());
  }
  finishedRoots_.push_back(position);
}

void Scheduler::spawn(Task<> task) {
  auto position = roots_.end();
  roots_.push_back(runRoot(std::move(task), &position));
  position = std::prev(roots_.end());
  position->start();
}

void Scheduler::watch(int fd, DescriptorObserver &observer) {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.ptr = &observer;
  if (epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event) != 0)
    throw std::system_error(errno, std::generic_category(), "cannot register a descriptor with epoll");
}

void Scheduler::unwatch(int fd) {
  epoll_event ignored{}; // kernels before 2.6.9 require a non-null pointer
  epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, &ignored);
}

// Descriptors are polled before timers expire, so that data that arrived while this process was not running
// is read instead of timing out.
void Scheduler::run() {
  while (!isHalted_) {
    ++round_;
    poll();
    expireTimers();
    resumeReady();
    for (const auto &root : finishedRoots_) roots_.erase(root);
    finishedRoots_.clear();
  }
}

// No coroutine is resumed or destroyed in this function, so the observer of each event still exists.
void Scheduler::poll() {
  if (clock_ == Clock::simulated) return advanceSimulatedClock();
  std::array<epoll_event, kMaxEventsPerPoll> events;
  readClock();
  const int count = epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), epollTimeoutMs());
  readClock();
  for (int i = 0; i < count; ++i) {
    const auto &event = events[static_cast<std::size_t>(i)];
    static_cast<DescriptorObserver *>(event.data.ptr)->onEvents(event.events);
  }
}

void Scheduler::advanceSimulatedClock() {
  if (ready_.isEmpty() && !timers_.empty()) now_ = std::max(now_, timers_.begin()->first);
  isHalted_ = isHalted_ || (ready_.isEmpty() && timers_.empty());
}

int Scheduler::epollTimeoutMs() const {
  constexpr int kNoTimeout = -1;
  if (!ready_.isEmpty()) return 0;
  if (timers_.empty()) return kNoTimeout;
  const auto remaining = std::clamp<Nanoseconds>(timers_.begin()->first - now_, 0, kMaxPollTime);
  // The timeout is rounded up, so that the timer is due when epoll_wait returns.
  return static_cast<int>((remaining + kNanosecondsPerMillisecond - 1) / kNanosecondsPerMillisecond);
}

void Scheduler::expireTimers() {
  while (!timers_.empty() && timers_.begin()->first <= now_)
    timers_.begin()->second->wake(WakeReason::timedOut);
}

// Resumes the coroutines that are ready at the start of the round. Coroutines that become ready during the
// round wait for the next one, after the descriptors have been polled.
void Scheduler::resumeReady() {
  WaitListNode round;
  while (!ready_.isEmpty()) ready_.next->appendTo(round);
  while (!round.isEmpty() && !isHalted_) {
    Wait *wait = round.next->wait;
    wait->readyNode_.unlink();
    readClock();
    wait->coroutine_.resume();
  }
  while (!round.isEmpty()) round.next->appendTo(ready_);
}

} // namespace myrtlehead::sched
