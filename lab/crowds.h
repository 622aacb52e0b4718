// An experiment: a crowd of clients before one instance, with few bytes and descriptors, beside usual
// clients. It tells what the kernel saw of the process, and what the usual clients and the nodes saw.
#pragma once

#include "lab/crowd_clients.h"

#include <cstdint>
#include <string>

namespace myrtlehead::lab {

struct CrowdOptions {
  std::string program; // the instance's
  std::string folder;  // for configurations and logs
  std::uint64_t seed = 1;
  int plays = 1;
  std::string kind;  // a name of kCrowdKindNames; empty: drawn by seed
  int clients = 0;   // 0: drawn by seed
  int memoryMb = 32; // the limit of the instance's memory
  int descriptors = 1024;
  int seconds = 6;            // that the crowd stays
  bool ignoresMemory = false; // does not compare the memory with the limit, as for a build with sanitizers
};

// Prints a line for each play and what was broken; returns the exit code.
int playCrowds(const CrowdOptions &options);

} // namespace myrtlehead::lab
