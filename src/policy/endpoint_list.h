// The entries of the endpoint list as this instance last received them, and the addresses that the list
// removed.
#pragma once

#include "policy/address_memory.h"

#include <map>
#include <string>
#include <vector>

namespace myrtlehead::endpoint_merge {

// Whether an update contains the whole list, so that entries missing from it have been removed.
enum class ListUpdate { complete, partial };

class EndpointList {
public:
  void onUpdate(const std::vector<Entry> &entries, ListUpdate kind, Nanoseconds now);
  // The list is not available. Its latest entries stay in effect.
  void onFailed() { isDown_ = true; }
  // Restores the entries and departed addresses from a snapshot. The list counts as down until its next
  // update.
  void restore(const std::vector<Entry> &entries,
               const std::vector<std::pair<std::string, Nanoseconds>> &departed);

  bool isDown() const { return isDown_; }
  const std::map<std::string, Entry> &entries() const { return entries_; } // by endpoint name
  DepartedAddresses &departed() { return departed_; }
  const DepartedAddresses &departed() const { return departed_; }

private:
  void apply(const Entry &entry, Nanoseconds now);

  std::map<std::string, Entry> entries_; // by endpoint name; in service or draining
  DepartedAddresses departed_;
  bool isDown_ = false;
};

} // namespace myrtlehead::endpoint_merge
