// What clients that pipeline see: the share served in time, latency and the instance's processor time, by the
// number of requests that they keep outstanding on a connection.
#pragma once

#include <string>

namespace myrtlehead::lab {

struct PipelineMeasure {
  std::string program; // the instance's
  std::string before;  // an earlier version's, measured in turn; empty: none
  std::string folder;  // for configurations and logs
  int runs = 5;
};

// Prints a table; returns the exit code.
int measurePipelines(const PipelineMeasure &measure);

} // namespace myrtlehead::lab
