// What an instance saves of the endpoint merge for its next start. Times are the instance's, in nanoseconds.
#pragma once

#include "policy/endpoint_merge_types.h"

#include <string>
#include <utility>
#include <vector>

namespace myrtlehead::endpoint_merge {

struct Snapshot {
  struct SrvTarget {
    Target target;
    Nanoseconds removedAt = 0; // 0: present
  };
  struct RecordSet {
    std::string name;
    Nanoseconds answeredAt = 0;
    Nanoseconds validUntil = 0;
    std::vector<SrvTarget> targets;
  };
  struct Host {
    std::string name;
    std::vector<std::string> addresses;
    int release = -1; // -1: unknown
  };
  std::vector<RecordSet> sets;
  std::vector<Host> hosts;
  std::vector<Entry> listed;
  std::vector<std::pair<std::string, Nanoseconds>> departed; // address, latest mention
  std::vector<std::pair<std::string, Nanoseconds>> starts;   // address, start of its endpoint
};

} // namespace myrtlehead::endpoint_merge
