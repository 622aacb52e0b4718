#include "policy/address_memory.h"

#include <algorithm>
#include <vector>

namespace myrtlehead::endpoint_merge {

namespace {

// Guards against addresses that are ever new: of more than `maxSize` entries those with the latest times
// stay.
template <class Map, class TimeOf> void keepLatest(Map &map, std::size_t maxSize, TimeOf timeOf) {
  if (map.size() <= maxSize) return;
  std::vector<Nanoseconds> times;
  for (const auto &[key, value] : map) times.push_back(timeOf(value));
  std::nth_element(times.begin(), times.end() - static_cast<std::ptrdiff_t>(maxSize), times.end());
  const Nanoseconds oldestKept = times[times.size() - maxSize];
  std::erase_if(map, [&](const auto &item) { return timeOf(item.second) < oldestKept; });
}

} // namespace

void DepartedAddresses::onMention(const std::string &address, Nanoseconds now) {
  const auto departed = lastMentions_.find(address);
  if (departed != lastMentions_.end()) departed->second = now;
}

void DepartedAddresses::forgetOlderThan(Nanoseconds memoryTime, Nanoseconds now) {
  std::erase_if(lastMentions_, [&](const auto &item) { return now - item.second > memoryTime; });
}

void DepartedAddresses::limitSize() {
  keepLatest(lastMentions_, kMaxEndpoints, [](Nanoseconds time) { return time; });
}

Nanoseconds FirstSightings::onSight(const std::string &address, bool cameLater, Nanoseconds now) {
  auto &sighting = sightings_.try_emplace(address, Sighting{cameLater ? now : 0, now}).first->second;
  sighting.lastSeenAt = now;
  return sighting.startedAt;
}

void FirstSightings::forgetOlderThan(Nanoseconds memoryTime, Nanoseconds now) {
  std::erase_if(sightings_, [&](const auto &item) { return now - item.second.lastSeenAt > memoryTime; });
  keepLatest(sightings_, kMaxEndpoints, [](const Sighting &sighting) { return sighting.lastSeenAt; });
}

} // namespace myrtlehead::endpoint_merge
