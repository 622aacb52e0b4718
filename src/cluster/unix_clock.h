// Converts between Unix time and the scheduler's time.
#pragma once

#include "base/sched/scheduler.h"

namespace myrtlehead::cluster {

class UnixClock {
public:
  // `unixAtZero` is the Unix time, in ns, at which the scheduler's clock read 0.
  UnixClock(const sched::Scheduler &sched, sched::Nanoseconds unixAtZero)
      : sched_(sched), unixAtZero_(unixAtZero) {}
  sched::Nanoseconds now() const { return unixAtZero_ + sched_.now(); }
  // Returns the scheduler's time that corresponds to a Unix time; both are in ns.
  sched::Nanoseconds toSchedulerTime(sched::Nanoseconds unixTime) const { return unixTime - unixAtZero_; }

private:
  const sched::Scheduler &sched_;
  sched::Nanoseconds unixAtZero_;
};

} // namespace myrtlehead::cluster
