// Which servers of a large set one instance holds. Each server ranks all instances by rendezvous hashing
// (xxHash) and is held by the first few, as many for every server: so all servers have the same number of
// instances, and a server or instance that comes or goes moves its own connections and no others. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace myrtlehead::subsetting {

class Subset {
public:
  // `me` of `instances`, numbered from 0; `size`: servers to hold, about. 0: all.
  Subset(int instanceCount, int ownIndex, int size);

  // By the order of `servers`, which are distinct names: whether this instance holds it. All, where the set
  // is no larger than twice the size; at least half of the size otherwise.
  std::vector<bool> held(const std::vector<std::string> &servers);
  int marshalsEach() const { return each_; }       // that hold a server
  std::uint64_t ranked() const { return ranked_; } // servers whose order of instances was computed, ever

private:
  int rankOfMe(const std::string &server) const;
  std::vector<std::uint64_t> keys_; // by instance
  int ownIndex_, size_, each_ = 0;
  std::map<std::string, int> rank_; // of this instance with a server, for the servers of the last set
  std::uint64_t ranked_ = 0;
};

} // namespace myrtlehead::subsetting
