// An instance as a child process: its log is kept, and its resource usage is read from /proc.
#pragma once

#include "base/net/socket.h"

#include <memory>
#include <string>
#include <vector>

namespace myrtlehead::lab {

struct ResourceUsage {
  double cpuSeconds = 0;
  long residentKb = 0;
};

// Returns zeros if the process no longer exists.
ResourceUsage resourceUsageOf(int pid);

class Process {
public:
  // Starts `program`. Appends its standard error to `logFile` (if not empty) and keeps it for waitForLine().
  // Throws std::runtime_error if the program can't be started.
  Process(net::Scheduler &sched, net::DescriptorBudget &budget, const std::string &program,
          const std::vector<std::string> &arguments, const std::string &logFile);
  ~Process(); // kills the process if it still runs
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  // Returns the first complete log line that contains `words`, or "" if the process ends or `deadline` passes
  // first.
  net::Task<std::string> waitForLine(std::string words, net::Deadline deadline);
  // Sends SIGTERM and returns the exit code, or -1 if the process does not exit before `deadline` or was
  // ended by a signal.
  net::Task<int> terminate(net::Deadline deadline);
  void kill(int signal);
  bool isRunning();
  ResourceUsage resourceUsage() const { return resourceUsageOf(pid_); }
  int pid() const { return pid_; }

private:
  // Shared with the reading coroutine, so it can outlive the Process.
  struct Log {
    std::unique_ptr<net::Socket> socket;
    net::Buffer buffer;
    std::string text, file;
    sched::Event appended;
  };
  static net::Task<> readLog(std::shared_ptr<Log> log);
  net::Scheduler &sched_;
  int pid_ = 0;
  int status_ = 0;
  bool hasEnded_ = false;
  std::shared_ptr<Log> log_ = std::make_shared<Log>();
};

// Path of the program `name` in the folder of the running program.
std::string siblingProgram(const std::string &name);

} // namespace myrtlehead::lab
