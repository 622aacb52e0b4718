// Histories of a fleet drawn by chance: the same tasks and decisions as in the program, members, disks, nodes
// and links in memory, on a clock of the run's own. One seed is one history, for ever.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace myrtlehead::lab {

struct Drawn {
  int members = 5, jobs = 24, faults = 20;
};

struct History {
  int taken = 0, done = 0, failed = 0, givenUp = 0; // jobs that a member has confirmed, and how they ended
  int begun = 0, kills = 0, pauses = 0, cuts = 0;
  std::vector<std::string> breaches; // what the rules forbid, with the job
};

History playHistory(const Drawn &drawn, std::uint64_t seed);

} // namespace myrtlehead::lab
