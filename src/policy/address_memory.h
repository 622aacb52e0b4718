// What is remembered of single addresses: which of them the endpoint list has removed, and since when those
// from DNS records are known. Both are bounded in time and size.
#pragma once

#include "policy/endpoint_merge_types.h"

#include <map>
#include <string>

namespace myrtlehead::endpoint_merge {

// Addresses that the endpoint list has removed or drains, with the time of the latest mention by the list or
// by DNS records. DNS records that still have them don't bring them back.
class DepartedAddresses {
public:
  void add(const std::string &address, Nanoseconds now) { lastMentions_[address] = now; }
  void erase(const std::string &address) { lastMentions_.erase(address); }
  bool contains(const std::string &address) const { return lastMentions_.contains(address); }
  bool empty() const { return lastMentions_.empty(); }
  // DNS records still have the address: if it has departed, it is remembered for longer.
  void onMention(const std::string &address, Nanoseconds now);
  void forgetOlderThan(Nanoseconds memoryTime, Nanoseconds now);
  // Forgets those with the oldest mention above kMaxEndpoints.
  void limitSize();
  const std::map<std::string, Nanoseconds> &all() const { return lastMentions_; }

private:
  std::map<std::string, Nanoseconds> lastMentions_;
};

// When the endpoint at an address is taken to have started: at the first sight of the address, where it came
// into view while this instance was looking.
class FirstSightings {
public:
  struct Sighting {
    Nanoseconds startedAt = 0; // 0: before this instance looked
    Nanoseconds lastSeenAt = 0;
  };

  // The start of the endpoint at an address that is in view. `cameLater`: it was not there at the start.
  Nanoseconds onSight(const std::string &address, bool cameLater, Nanoseconds now);
  void forgetOlderThan(Nanoseconds memoryTime, Nanoseconds now);
  void restore(const std::string &address, Nanoseconds startedAt, Nanoseconds now) {
    sightings_[address] = {startedAt, now};
  }
  const std::map<std::string, Sighting> &all() const { return sightings_; }

private:
  std::map<std::string, Sighting> sightings_;
};

} // namespace myrtlehead::endpoint_merge
