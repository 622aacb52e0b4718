// Fixture shared by the tests of the endpoint merge: a merge of an endpoint list and one SRV name.
#pragma once

#include "policy/endpoint_merge.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace myrtlehead::endpoint_merge {

constexpr Nanoseconds kNow = 1000 * kSecond;
constexpr Nanoseconds kTtl = 60 * kSecond;
constexpr Nanoseconds kStaleTime = 3600 * kSecond;

struct MergeFixture {
  explicit MergeFixture(int release = 3, int size = 0, int instanceCount = 1)
      : merge({}, kStaleTime, 0, subsetting::Subset(instanceCount, 0, size)) {
    merge.addSrvName("_pg._tcp.maps.example", release, -1);
  }
  static std::string host(int i) { return "s-" + std::to_string(i) + ".maps.example"; }
  static std::string ip(int i) { return "127.0.1." + std::to_string(i); }
  static std::string address(int i) { return ip(i) + ":6432"; }
  // Applies an SRV answer with these endpoints, and their addresses. Returns whether another look-up is due
  // soon.
  bool answer(const std::vector<int> &endpoints, DnsRecordsResult result = DnsRecordsResult::records) {
    std::vector<Target> targets;
    for (const int i : endpoints) targets.push_back({host(i), 6432, 0, 1});
    const auto next = merge.onSrvAnswer(0, result, targets, now + kTtl, now);
    for (const int i : endpoints) merge.onAddressAnswer(host(i), DnsRecordsResult::records, {ip(i)});
    return next == NextLookup::soon;
  }
  // Applies an update of the endpoint list.
  void list(const std::vector<std::pair<int, EndpointState>> &endpoints,
            ListUpdate kind = ListUpdate::complete) {
    std::vector<Entry> entries;
    for (const auto &[i, state] : endpoints)
      entries.push_back({"n" + std::to_string(i), address(i), {.build = 3, .state = state}});
    merge.onEndpointList(entries, kind, now);
  }
  // Returns the endpoint at address(i) in the merged set.
  std::optional<Entry> find(int i) {
    for (const auto &entry : merge.mergedEndpoints(now))
      if (entry.address == address(i)) return entry;
    return std::nullopt;
  }
  bool isInService(int i) {
    const auto entry = find(i);
    return entry && entry->info.state == EndpointState::ready;
  }
  EndpointMerge merge;
  Nanoseconds now = kNow;
};

} // namespace myrtlehead::endpoint_merge
