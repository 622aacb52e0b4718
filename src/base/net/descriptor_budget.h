// The budget of open descriptors. Clients may not use the last of them: endpoints and control connections go
// first. Each Socket acquires one for as long as it exists.
#pragma once

#include "base/sched/scheduler.h"

namespace myrtlehead::net {

class DescriptorBudget {
public:
  explicit DescriptorBudget(int limit) : limit_(limit) {}
  // May be negative: acquire() does not ask.
  int available() const { return limit_ - used_; }
  int limit() const { return limit_; }
  void acquire() { ++used_; }
  void release() {
    --used_;
    released.notify();
  }
  sched::Event released;

private:
  int limit_;
  int used_ = 0;
};

} // namespace myrtlehead::net
