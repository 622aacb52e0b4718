// Memory for large messages: each reserves its size before it is read on, so that many at once can't use up
// the process's memory.
#pragma once

#include "base/sched/scheduler.h"

#include <utility>

namespace myrtlehead::net {

class MemoryBudget {
public:
  explicit MemoryBudget(std::size_t capacity) : available_(capacity), capacity_(capacity) {}
  std::size_t capacity() const { return capacity_; }   // bytes
  std::size_t available() const { return available_; } // bytes

private:
  friend class MemoryReservation;
  std::size_t available_;
  std::size_t capacity_;
  sched::Event released_;
};

// What one message has reserved of a budget; released when it is destroyed.
class MemoryReservation {
public:
  // unavailable: not before the deadline, or more than the budget's capacity.
  enum class Result { acquired, unavailable };

  MemoryReservation() = default;
  MemoryReservation(MemoryReservation &&other) noexcept
      : budget_(other.budget_), bytes_(std::exchange(other.bytes_, 0)) {}
  MemoryReservation &operator=(MemoryReservation &&other) noexcept {
    std::swap(budget_, other.budget_);
    std::swap(bytes_, other.bytes_);
    return *this;
  }
  ~MemoryReservation() { release(); }

  // Waits until `bytes` are available, and reserves them in `out`.
  static sched::Task<Result> acquire(sched::Scheduler &scheduler, MemoryBudget &budget, std::size_t bytes,
                                     sched::Deadline deadline, MemoryReservation &out) {
    if (bytes > budget.capacity_) co_return Result::unavailable;
    while (budget.available_ < bytes) {
      const auto woken = co_await scheduler.wait(budget.released_, deadline);
      if (woken != sched::WakeReason::notified) co_return Result::unavailable;
    }
    budget.available_ -= bytes;
    out.release();
    out.budget_ = &budget;
    out.bytes_ = bytes;
    co_return Result::acquired;
  }
  void release() {
    if (bytes_ == 0) return;
    budget_->available_ += std::exchange(bytes_, 0);
    budget_->released_.notify();
  }
  bool isAcquired() const { return bytes_ > 0; }

private:
  MemoryBudget *budget_ = nullptr;
  std::size_t bytes_ = 0;
};

} // namespace myrtlehead::net
