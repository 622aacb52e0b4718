#include "policy/subsetting.h"

#include <algorithm>
#include <xxhash.h>

namespace myrtlehead::subsetting {

namespace {
constexpr double kSlack = 0.25; // of the size, before the number of instances for a server changes
}

Subset::Subset(int instanceCount, int ownIndex, int size) : ownIndex_(ownIndex), size_(size) {
  for (int i = 0; i < instanceCount; ++i) {
    const std::uint32_t number = static_cast<std::uint32_t>(i);
    keys_.push_back(XXH3_64bits(&number, sizeof number));
  }
}

int Subset::rankOfMe(const std::string &server) const {
  const auto name = XXH3_64bits(server.data(), server.size());
  const auto score = [&](std::size_t router) {
    const std::uint64_t both[2] = {name, keys_[router]};
    return XXH3_64bits(both, sizeof both);
  };
  const auto mine = score(static_cast<std::size_t>(ownIndex_));
  int rank = 0;
  for (std::size_t i = 0; i < keys_.size(); ++i) {
    const auto theirs = score(i);
    rank += theirs > mine || (theirs == mine && static_cast<int>(i) < ownIndex_);
  }
  return rank;
}

std::vector<bool> Subset::held(const std::vector<std::string> &servers) {
  const auto n = servers.size();
  if (size_ == 0 || n <= 2 * static_cast<std::size_t>(size_)) {
    rank_.clear();
    each_ = 0;
    return std::vector<bool>(n, true);
  }
  // Guards against all connections moving where the set's size crosses a step: the number stays while the
  // mean subset is near enough to the size.
  const auto instanceCount = static_cast<double>(keys_.size()), all = static_cast<double>(n);
  const double mean = each_ * all / instanceCount;
  if (each_ == 0 || mean < size_ * (1 - kSlack) || mean > size_ * (1 + kSlack) + all / instanceCount)
    each_ = std::clamp(static_cast<int>(size_ * instanceCount / all + 0.999), 1,
                       static_cast<int>(keys_.size()));
  std::map<std::string, int> ranks;
  std::vector<int> rank(n);
  for (std::size_t i = 0; i < n; ++i) {
    const auto known = rank_.find(servers[i]);
    rank[i] = known != rank_.end() ? known->second : rankOfMe(servers[i]);
    ranked_ += known == rank_.end();
    ranks.emplace(servers[i], rank[i]);
  }
  rank_.swap(ranks);
  std::vector<bool> out(n);
  const auto least = static_cast<std::ptrdiff_t>(std::max(size_ / 2, 1));
  for (int most = each_;; ++most) { // ends: at the number of instances it holds all
    for (std::size_t i = 0; i < n; ++i) out[i] = rank[i] < most;
    if (std::count(out.begin(), out.end(), true) >= least) return out;
  }
}

} // namespace myrtlehead::subsetting
