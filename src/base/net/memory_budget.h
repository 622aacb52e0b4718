// Memory for large messages: each has its place before it is read on, so that many at once can't take it all.
#pragma once

#include "base/sched/scheduler.h"

#include <utility>

namespace myrtlehead::net {

class MemoryBudget {
public:
  explicit MemoryBudget(std::size_t bytes) : left_(bytes), most_(bytes) {}
  std::size_t most() const { return most_; }
  std::size_t left() const { return left_; }

private:
  friend class MemoryReservation;
  std::size_t left_, most_;
  sched::Event freed_;
};

// What one message holds of it, until it goes.
class MemoryReservation {
public:
  MemoryReservation() = default;
  MemoryReservation(MemoryReservation &&other) noexcept
      : of_(other.of_), bytes_(std::exchange(other.bytes_, 0)) {}
  MemoryReservation &operator=(MemoryReservation &&other) noexcept {
    std::swap(of_, other.of_);
    std::swap(bytes_, other.bytes_);
    return *this;
  }
  ~MemoryReservation() { leave(); }

  // False: it was not to be had in time, or never will be.
  static sched::Task<bool> take(sched::Scheduler &sched, MemoryBudget &of, std::size_t bytes,
                                sched::Deadline until, MemoryReservation &out) {
    if (bytes > of.most_) co_return false;
    while (of.left_ < bytes) {
      const auto woken = co_await sched.wait(of.freed_, until);
      if (woken != sched::WakeReason::notified) co_return false;
    }
    of.left_ -= bytes;
    out.leave();
    out.of_ = &of;
    out.bytes_ = bytes;
    co_return true;
  }
  void leave() {
    if (bytes_ == 0) return;
    of_->left_ += std::exchange(bytes_, 0);
    of_->freed_.notify();
  }
  bool held() const { return bytes_ > 0; }

private:
  MemoryBudget *of_ = nullptr;
  std::size_t bytes_ = 0;
};

} // namespace myrtlehead::net
