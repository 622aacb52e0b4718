// Random histories of a cluster: the program's own tasks and rules, with members, disks, endpoints and links
// in memory, on a simulated clock. A seed always gives the same history.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace myrtlehead::lab {

struct HistoryOptions {
  int members = 5;
  int jobs = 24;
  int faults = 20;
};

struct HistoryResult {
  int accepted = 0; // jobs that a member has confirmed; then how they ended
  int done = 0;
  int failed = 0;
  int abandoned = 0;
  int executions = 0; // that have begun at an endpoint
  int kills = 0;      // faults by kind
  int pauses = 0;
  int partitions = 0;
  std::vector<std::string> violations; // what must never happen, with the job
};

HistoryResult runHistory(const HistoryOptions &options, std::uint64_t seed);

} // namespace myrtlehead::lab
