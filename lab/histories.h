// Randomised simulations ("histories") of a cluster under faults. They run the program's own cluster code
// with simulated disks, endpoints and links on a simulated clock. The same seed always gives the same
// history.
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
  int accepted = 0; // jobs that a member has confirmed to the client
  // The number of jobs in each final state.
  int done = 0;
  int failed = 0;
  int abandoned = 0;
  int executions = 0; // executions that were started at an endpoint
  // The number of injected faults of each kind.
  int kills = 0;
  int pauses = 0;
  int partitions = 0;
  // The broken rules, with the job concerned: for example a lost job, a final state that changed, or a job
  // that is not idempotent and was executed twice.
  std::vector<std::string> violations;
};

// Runs one history to its end and returns what happened and which rules were broken.
HistoryResult runHistory(const HistoryOptions &options, std::uint64_t seed);

} // namespace myrtlehead::lab
