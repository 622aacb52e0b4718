// A budget of memory for large messages. A large message reserves memory before it is read into it, so that
// many concurrent messages cannot exhaust the memory of the process.
#pragma once

#include "base/sched/scheduler.h"

#include <algorithm>
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

  // What acquire() asks others. Either function may be empty.
  struct Sharing {
    std::function<std::size_t()> bytesToLeave; // to be left free for others, in bytes
    // Takes memory from an owner that holds it too long. Returns when to call it again: at once if memory was
    // released, sched::kNever if no owner can be asked.
    std::function<sched::Nanoseconds()> reclaim;
  };
  // Waits until `bytes` bytes are available beside those that are to be left free for others, and stores
  // their reservation in `out`. Both functions of `sharing` are called again after each notification of
  // MemoryBudget::released.
  static sched::Task<Result> acquire(sched::Scheduler &scheduler, MemoryBudget &budget, std::size_t bytes,
                                     sched::Deadline deadline, Sharing sharing, MemoryReservation &out) {
    if (bytes > budget.capacity_) co_return Result::unavailable;
    auto woken = sched::WakeReason::notified;
    for (;;) {
      const auto bytesToLeave = sharing.bytesToLeave ? sharing.bytesToLeave() : 0;
      if (budget.available_ >= bytes + bytesToLeave && out.tryAcquire(budget, bytes))
        co_return Result::acquired;
      const auto reclaimAt = sharing.reclaim ? sharing.reclaim() : sched::kNever;
      if (reclaimAt <= scheduler.now()) continue;
      const bool isOver = scheduler.now() >= deadline.at || woken == sched::WakeReason::cancelled;
      if (isOver) co_return Result::unavailable;
      const sched::Deadline retryAt{std::min(deadline.at, reclaimAt), deadline.cancellation};
      woken = co_await scheduler.wait(budget.released, retryAt);
    }
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
