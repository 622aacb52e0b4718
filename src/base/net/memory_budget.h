// A budget of memory for large messages. A large message reserves its size before the rest of it is read, so
// that many concurrent messages cannot exhaust the memory of the process.
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

// The bytes that one message has reserved in a budget. The destructor releases them.
class MemoryReservation {
public:
  // `unavailable` means that the bytes did not become available before the deadline or a cancellation, or
  // that the request exceeds the capacity of the budget.
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

  // Waits until `bytes` bytes are available and stores their reservation in `out`.
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
