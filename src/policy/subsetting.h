// Which endpoints of a large set one instance uses. Each endpoint ranks all instances by rendezvous hashing
// (xxHash) and is used by the first few of them, the same number for every endpoint: so each endpoint has
// connections from equally many instances, and an endpoint or instance that comes or goes moves its own
// connections and no others. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace myrtlehead::subsetting {

class Subset {
public:
  // The instance `ownIndex` of `instanceCount`, counted from 0. `size`: endpoints to use, about; 0: all.
  Subset(int instanceCount, int ownIndex, int size);

  // For each of `endpoints`, which are distinct names, whether this instance uses it. All are used where
  // there are at most twice `size`; otherwise at least half of `size`.
  std::vector<bool> select(const std::vector<std::string> &endpoints);
  int instancesPerEndpoint() const { return instancesPerEndpoint_; } // 0: every instance uses all
  // How many endpoints this instance's rank was computed for, ever. For tests of the cache.
  std::uint64_t ranksComputed() const { return ranksComputed_; }

private:
  int computeOwnRank(const std::string &endpoint) const;
  void updateInstancesPerEndpoint(std::size_t endpointCount);

  std::vector<std::uint64_t> instanceKeys_; // hashes, by instance
  int ownIndex_;
  int size_;
  int instancesPerEndpoint_ = 0;
  std::map<std::string, int> ownRanks_; // for the endpoints of the latest set
  std::uint64_t ranksComputed_ = 0;
};

} // namespace myrtlehead::subsetting
