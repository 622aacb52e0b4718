// Selects the subset of a large set of endpoints that one instance uses. For each endpoint, all instances are
// ranked by rendezvous hashing (xxHash), and the endpoint is used by the first N of them. N is the same for
// every endpoint, so each endpoint has connections from the same number of instances, and adding or removing
// an endpoint or an instance changes only its own connections. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace myrtlehead::subsetting {

class Subset {
public:
  // `ownIndex`: index of this instance among `instanceCount`, starting at 0. `size`: approximate number of
  // endpoints to use; 0: all.
  Subset(int instanceCount, int ownIndex, int size);

  // Returns, for each of `endpoints` (distinct names), whether this instance uses it. All endpoints are used
  // if there are at most 2 * `size`; otherwise at least `size` / 2 are used.
  std::vector<bool> select(const std::vector<std::string> &endpoints);
  int instancesPerEndpoint() const { return instancesPerEndpoint_; } // 0: every instance uses all endpoints
  // Number of ranks computed since construction. For tests of the rank cache.
  std::uint64_t ranksComputed() const { return ranksComputed_; }

private:
  int computeOwnRank(const std::string &endpoint) const;
  void updateInstancesPerEndpoint(std::size_t endpointCount);

  std::vector<std::uint64_t> instanceKeys_; // hash of each instance's index
  int ownIndex_;
  int size_;
  int instancesPerEndpoint_ = 0;
  std::map<std::string, int> ownRanks_; // this instance's rank for each endpoint of the latest select()
  std::uint64_t ranksComputed_ = 0;
};

} // namespace myrtlehead::subsetting
