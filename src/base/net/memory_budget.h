// A budget of memory for large messages. A large message reserves memory before it is read into it, so that
// many concurrent messages cannot exhaust the memory of the process.
#pragma once

#include "base/sched/scheduler.h"

#include <functional>
#include <utility>

namespace myrtlehead::net {

class MemoryBudget {
public:
  explicit MemoryBudget(std::size_t capacity) : available_(capacity), capacity_(capacity) {}
  std::size_t capacity() const { return capacity_; }   // bytes
  std::size_t available() const { return available_; } // bytes

  sched::Event released; // notified after each release of memory

private:
  friend class MemoryReservation;
  std::size_t available_;
  std::size_t capacity_;
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

  // Waits until `bytes` bytes are available beside those that are to be left free for others, and stores
  // their reservation in `out`. `bytesToLeave` is called again after each notification of
  // MemoryBudget::released.
  static sched::Task<Result> acquire(sched::Scheduler &scheduler, MemoryBudget &budget, std::size_t bytes,
                                     sched::Deadline deadline, std::function<std::size_t()> bytesToLeave,
                                     MemoryReservation &out) {
    if (bytes > budget.capacity_) co_return Result::unavailable;
    while (budget.available_ < bytes + bytesToLeave() || !out.tryAcquire(budget, bytes)) {
      const auto woken = co_await scheduler.wait(budget.released, deadline);
      if (woken != sched::WakeReason::notified) co_return Result::unavailable;
    }
    co_return Result::acquired;
  }
  // Reserves `bytes` bytes in place of what is reserved now. Returns false if they are not available.
  bool tryAcquire(MemoryBudget &budget, std::size_t bytes) {
    if (budget.available_ < bytes) return false;
    budget.available_ -= bytes;
    release();
    budget_ = &budget;
    bytes_ = bytes;
    return true;
  }
  // Releases what exceeds `bytes` bytes.
  void shrink(std::size_t bytes) {
    if (bytes_ <= bytes) return;
    budget_->available_ += bytes_ - bytes;
    bytes_ = bytes;
    budget_->released.notify();
  }
  void release() { shrink(0); }
  bool isAcquired() const { return bytes_ > 0; }

private:
  MemoryBudget *budget_ = nullptr;
  std::size_t bytes_ = 0;
};

} // namespace myrtlehead::net
