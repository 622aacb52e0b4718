#include "app/memory_watch.h"

#include "policy/message_memory.h"

#include <cstdio>
#include <malloc.h>
#include <memory>
#include <unistd.h>

namespace myrtlehead::app {

namespace {

constexpr sched::Nanoseconds kInterval = 500'000'000;
constexpr sched::Nanoseconds kLogInterval = 10'000'000'000;

// Returns 0 if the system does not tell.
std::size_t residentBytes() {
  const std::unique_ptr<std::FILE, int (*)(std::FILE *)> file(std::fopen("/proc/self/statm", "re"),
                                                              &std::fclose);
  long total = 0;
  long resident = 0;
  if (file == nullptr || std::fscanf(file.get(), "%ld %ld", &total, &resident) != 2) return 0;
  return static_cast<std::size_t>(resident) * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace

sched::Task<> watchMemory(sched::Scheduler &sched, const downstream::Listener &listener,
                          std::size_t limitBytes, log::Log &log) {
  for (;;) {
    co_await sched.sleep(kInterval);
    const auto resident = residentBytes();
    if (!message_memory::isShort(resident, limitBytes)) continue;
    const auto usage = listener.usage();
    const auto heap = mallinfo2();
    log.warning("memory is short", {{"resident", resident},
                                    {"limit", limitBytes},
                                    {"connections", usage.connections},
                                    {"requests", usage.requests},
                                    {"large_messages_bytes", usage.largeMessageBytes},
                                    {"large_answers_bytes", usage.largeAnswerBytes},
                                    {"allocated_bytes", heap.uordblks + heap.hblkhd},
                                    {"free_in_allocator_bytes", heap.fordblks}});
    co_await sched.sleep(kLogInterval);
  }
}

} // namespace myrtlehead::app
