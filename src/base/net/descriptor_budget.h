// The budget of open descriptors. Clients may not take the last of them: endpoints and control connections go
// first.
#pragma once

#include "base/sched/scheduler.h"

namespace myrtlehead::net {

class DescriptorBudget {
public:
  explicit DescriptorBudget(int most) : most_(most) {}
  int left() const { return most_ - used_; }
  int most() const { return most_; }
  void take() { ++used_; }
  void give() {
    --used_;
    freed.notify();
  }
  sched::Event freed;

private:
  int most_, used_ = 0;
};

} // namespace myrtlehead::net
