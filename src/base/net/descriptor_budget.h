// The budget of open file descriptors. Each Socket holds one descriptor of the budget during its lifetime.
// The budget itself refuses nothing: code that accepts clients checks available() and leaves the last
// descriptors to connections to endpoints and to the control plane, which have precedence.
#pragma once

#include "base/sched/scheduler.h"

namespace myrtlehead::net {

class DescriptorBudget {
public:
  explicit DescriptorBudget(int limit) : limit_(limit) {}
  // Negative if more than limit() descriptors are in use, as acquire() does not enforce the limit.
  int available() const { return limit_ - used_; }
  int limit() const { return limit_; }
  void acquire() { ++used_; }
  void release() {
    --used_;
    released.notify();
  }
  sched::Event released; // notified after each release()

private:
  int limit_;
  int used_ = 0;
};

} // namespace myrtlehead::net
