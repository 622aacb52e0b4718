// The endpoint list as this instance last saw it, and the addresses that it has removed.
#pragma once

#include "policy/address_memory.h"

#include <map>
#include <string>
#include <vector>

namespace myrtlehead::endpoint_merge {

// Whether entries that an update of the list doesn't mention have been removed.
enum class ListUpdate { complete, partial };

class EndpointList {
public:
  void onUpdate(const std::vector<Entry> &entries, ListUpdate kind, Nanoseconds now);
  // The list can't be had: its latest entries stay in effect.
  void onFailed() { isDown_ = true; }
  void restore(const std::vector<Entry> &entries,
               const std::vector<std::pair<std::string, Nanoseconds>> &departed);

  bool isDown() const { return isDown_; }
  const std::map<std::string, Entry> &entries() const { return entries_; } // by name
  DepartedAddresses &departed() { return departed_; }
  const DepartedAddresses &departed() const { return departed_; }

private:
  void apply(const Entry &entry, Nanoseconds now);

  std::map<std::string, Entry> entries_; // by name: in service or draining
  DepartedAddresses departed_;
  bool isDown_ = false;
};

} // namespace myrtlehead::endpoint_merge
