// Records kept for single addresses: which addresses the endpoint list has removed, and when the endpoints at
// addresses from DNS records started. Both records are bounded in time and size.
#pragma once

#include "policy/endpoint_merge_types.h"

#include <map>
#include <string>

namespace myrtlehead::endpoint_merge {

// Addresses that the endpoint list has removed or is draining, with the time at which the list or a DNS
// record last contained each of them. A DNS record that still contains such an address does not put it back
// into service.
class DepartedAddresses {
public:
  void add(const std::string &address, Nanoseconds now) { lastSeenAt_[address] = now; }
  void erase(const std::string &address) { lastSeenAt_.erase(address); }
  bool contains(const std::string &address) const { return lastSeenAt_.contains(address); }
  bool empty() const { return lastSeenAt_.empty(); }
  // Extends the memory of a departed address that DNS records still contain. Ignores other addresses.
  void onSeenInDns(const std::string &address, Nanoseconds now);
  void forgetOlderThan(Nanoseconds memoryTime, Nanoseconds now);
  // Keeps the kMaxEndpoints addresses that were seen last.
  void limitSize();
  const std::map<std::string, Nanoseconds> &all() const { return lastSeenAt_; }

private:
  std::map<std::string, Nanoseconds> lastSeenAt_;
};

// Estimated start times of endpoints, by address. An endpoint counts as started when its address first
// appears, unless the address was in the first DNS answer.
class EndpointStartTimes {
public:
  struct StartTime {
    Nanoseconds startedAt = 0; // 0: the endpoint was there before the first answer
    Nanoseconds lastSeenAt = 0;
  };

  // Records that the address is in use and returns the start time of its endpoint. `appearedLater`: the first
  // DNS answer did not contain the address.
  Nanoseconds onAddressSeen(const std::string &address, bool appearedLater, Nanoseconds now);
  void forgetOlderThan(Nanoseconds memoryTime, Nanoseconds now);
  void restore(const std::string &address, Nanoseconds startedAt, Nanoseconds now) {
    startTimes_[address] = {startedAt, now};
  }
  const std::map<std::string, StartTime> &all() const { return startTimes_; }

private:
  std::map<std::string, StartTime> startTimes_;
};

} // namespace myrtlehead::endpoint_merge
