#include "policy/address_memory.h"

#include <algorithm>
#include <vector>

namespace myrtlehead::endpoint_merge {

namespace {

// Keeps the `maxSize` entries with the latest times, and any others with the same time as the oldest of them.
// This bounds the memory if every update brings new addresses.
template <class Map, class TimeOf> void keepLatest(Map &map, std::size_t maxSize, TimeOf timeOf) {
  if (map.size() <= maxSize) return;
  std::vector<Nanoseconds> times;
  for (const auto &[key, value] : map) times.push_back(timeOf(value));
  std::nth_element(times.begin(), times.end() - static_cast<std::ptrdiff_t>(maxSize), times.end());
  const Nanoseconds oldestKept = times[times.size() - maxSize];
  std::erase_if(map, [&](const auto &item) { return timeOf(item.second) < oldestKept; });
}

} // namespace

void DepartedAddresses::onSeenInDns(const std::string &address, Nanoseconds now) {
  const auto departed = lastSeenAt_.find(address);
  if (departed != lastSeenAt_.end()) departed->second = now;
}

void DepartedAddresses::forgetOlderThan(Nanoseconds memoryTime, Nanoseconds now) {
  std::erase_if(lastSeenAt_, [&](const auto &item) { return now - item.second > memoryTime; });
}

void DepartedAddresses::limitSize() {
  keepLatest(lastSeenAt_, kMaxEndpoints, [](Nanoseconds time) { return time; });
}

Nanoseconds EndpointStartTimes::onAddressSeen(const std::string &address, bool appearedLater,
                                              Nanoseconds now) {
  auto &startTime = startTimes_.try_emplace(address, StartTime{appearedLater ? now : 0, now}).first->second;
  startTime.lastSeenAt = now;
  return startTime.startedAt;
}

void EndpointStartTimes::forgetOlderThan(Nanoseconds memoryTime, Nanoseconds now) {
  std::erase_if(startTimes_, [&](const auto &item) { return now - item.second.lastSeenAt > memoryTime; });
  keepLatest(startTimes_, kMaxEndpoints, [](const StartTime &startTime) { return startTime.lastSeenAt; });
}

} // namespace myrtlehead::endpoint_merge
