// A instance as a process of its own, its log kept, its costs read from /proc.
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

ResourceUsage resourceUsageOf(int pid);

class Process {
public:
  // Starts `program`; standard error goes to the file and is searched for words on the way.
  Process(net::Scheduler &sched, net::DescriptorBudget &budget, const std::string &program,
          const std::vector<std::string> &arguments, const std::string &logFile);
  ~Process(); // killed, if it still runs
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  // The first line that holds the words, once it is written; "" if the process ends or `until` comes first.
  net::Task<std::string> waitForLine(std::string words, net::Deadline until);
  net::Task<int>
  terminate(net::Deadline until); // SIGTERM, then its exit code; -1: it did not end in time, or was killed
  void kill(int signal);
  bool isRunning();
  ResourceUsage resourceUsage() const { return resourceUsageOf(pid_); }
  int pid() const { return pid_; }

private:
  struct Log { // outlives the process for as long as it is read
    std::unique_ptr<net::Socket> socket;
    net::Buffer buffer;
    std::string all, file;
    sched::Event more;
  };
  static net::Task<> read(std::shared_ptr<Log> log);
  net::Scheduler &sched_;
  int pid_ = 0;
  int status_ = 0;
  bool ended_ = false;
  std::shared_ptr<Log> log_ = std::make_shared<Log>();
};

// Where the running program's neighbour of this name stands.
std::string siblingProgram(const std::string &name);

} // namespace myrtlehead::lab
