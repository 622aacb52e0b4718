// Warns when the process has little memory left below its limit.
#pragma once

#include "base/log/log.h"
#include "base/sched/scheduler.h"
#include "downstream/listener.h"

namespace myrtlehead::app {

// Compares the resident memory with the limit twice a second, and logs a line with what holds memory while
// more than three quarters are in use, at most one in ten seconds. Never returns.
sched::Task<> watchMemory(sched::Scheduler &sched, const downstream::Listener &listener,
                          std::size_t limitBytes, log::Log &log);

} // namespace myrtlehead::app
