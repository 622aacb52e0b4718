// A scenario: a fleet, what it is asked, and what befalls it, from TOML or drawn by chance.
#pragma once

#include "lab/load.h"
#include "lab/node.h"

#include <string>
#include <vector>

namespace myrtlehead::lab {

struct Event {
  Nanoseconds at = 0;
  Nanoseconds lasts = 0; // 0: for good
  Nanoseconds every = 0; // 0: once
  std::string
      what; // crash, hang, slow, errors, resets, drain, names, lose, flap, offer, offer_bad, list, restart
  std::string server = {}; // "s-3"; "*": each in its turn
  std::string fault = {};  // of names: silent, servfail, truncate, ...
  double amount = 0;       // slow: times; errors, resets, lose: part
};

struct Scenario {
  std::string name = "unnamed";
  std::uint64_t seed = 1;
  int servers = 8, marshals = 1;
  ServiceModel work;
  bool listed = true, named = false;
  bool namesForget = false; // names drop what drains, rather than name it on
  int ttl = 2;              // seconds, of name records
  int release = 1;          // told for the names; -1: unknown
  double cap = 0.3, free = 2;
  int memoryMb = 192, descriptors = 1024; // limits of each instance
  LoadSettings load;
  std::vector<Event> events;
  std::string settings; // TOML that the instances' settings get besides
  std::string stateFolder;
};

// Throws std::runtime_error, with the line, for a key or value that can't be used.
Scenario readScenario(const std::string &file);
// One with some faults at some times; the same for the same seed.
Scenario drawScenario(std::uint64_t seed);
std::string describe(const Event &event);

} // namespace myrtlehead::lab
