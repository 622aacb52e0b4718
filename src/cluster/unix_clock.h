// Unix time on the scheduler's clock.
#pragma once

#include "base/sched/scheduler.h"

namespace myrtlehead::cluster {

class UnixClock {
public:
  // `unixAtZero`: the Unix time, in ns, at which the scheduler's clock read 0.
  UnixClock(const sched::Scheduler &sched, sched::Nanoseconds unixAtZero)
      : sched_(sched), unixAtZero_(unixAtZero) {}
  sched::Nanoseconds now() const { return unixAtZero_ + sched_.now(); }
  // The scheduler's time at that Unix time.
  sched::Nanoseconds schedulerTime(sched::Nanoseconds unixTime) const { return unixTime - unixAtZero_; }

private:
  const sched::Scheduler &sched_;
  sched::Nanoseconds unixAtZero_;
};

} // namespace myrtlehead::cluster
