#include "policy/endpoint_list.h"

#include <set>

namespace myrtlehead::endpoint_merge {

void EndpointList::apply(const Entry &entry, Nanoseconds now) {
  const auto previous = entries_.find(entry.name);
  const bool isKnown = previous != entries_.end();
  const auto address = entry.address.empty() && isKnown ? previous->second.address : entry.address;
  if (isKnown && previous->second.address != address) departed_.add(previous->second.address, now);
  if (entry.info.state == EndpointState::gone)
    entries_.erase(entry.name);
  else
    entries_[entry.name] = {entry.name, address, entry.info};
  if (entry.info.state == EndpointState::ready)
    departed_.erase(address);
  else if (!address.empty())
    departed_.add(address, now);
}

void EndpointList::onUpdate(const std::vector<Entry> &entries, ListUpdate kind, Nanoseconds now) {
  isDown_ = false;
  std::set<std::string> mentioned;
  for (const auto &entry : entries) {
    mentioned.insert(entry.name);
    apply(entry, now);
  }
  if (kind == ListUpdate::complete)
    std::erase_if(entries_, [&](const auto &item) {
      const bool isGone = !mentioned.contains(item.first);
      if (isGone) departed_.add(item.second.address, now);
      return isGone;
    });
  // An address is not departed if an endpoint with another name is in service there.
  for (const auto &[name, entry] : entries_)
    if (entry.info.state == EndpointState::ready) departed_.erase(entry.address);
  departed_.limitSize();
}

void EndpointList::restore(const std::vector<Entry> &entries,
                           const std::vector<std::pair<std::string, Nanoseconds>> &departed) {
  for (const auto &entry : entries) entries_.try_emplace(entry.name, entry);
  for (const auto &[address, lastSeenAt] : departed) departed_.add(address, lastSeenAt);
  isDown_ = true;
}

} // namespace myrtlehead::endpoint_merge
