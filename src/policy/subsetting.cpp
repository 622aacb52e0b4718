#include "policy/subsetting.h"

#include <algorithm>
#include <xxhash.h>

namespace myrtlehead::subsetting {

namespace {

// By this fraction of its size the mean subset may be off before the number of instances for an endpoint
// changes.
constexpr double kSizeTolerance = 0.25;

} // namespace

Subset::Subset(int instanceCount, int ownIndex, int size) : ownIndex_(ownIndex), size_(size) {
  for (int i = 0; i < instanceCount; ++i) {
    const std::uint32_t number = static_cast<std::uint32_t>(i);
    instanceKeys_.push_back(XXH3_64bits(&number, sizeof number));
  }
}

int Subset::computeOwnRank(const std::string &endpoint) const {
  const auto endpointKey = XXH3_64bits(endpoint.data(), endpoint.size());
  const auto scoreOf = [&](std::size_t instance) {
    const std::uint64_t both[2] = {endpointKey, instanceKeys_[instance]};
    return XXH3_64bits(both, sizeof both);
  };
  const auto ownScore = scoreOf(static_cast<std::size_t>(ownIndex_));
  int rank = 0;
  for (std::size_t i = 0; i < instanceKeys_.size(); ++i) {
    const auto score = scoreOf(i);
    rank += score > ownScore || (score == ownScore && static_cast<int>(i) < ownIndex_);
  }
  return rank;
}

// Guards against all connections moving where the set's size crosses a step: the number stays while the mean
// subset is near enough to the size.
void Subset::updateInstancesPerEndpoint(std::size_t endpointCount) {
  const auto instanceCount = static_cast<double>(instanceKeys_.size());
  const auto all = static_cast<double>(endpointCount);
  const double meanSize = instancesPerEndpoint_ * all / instanceCount;
  const bool isTooSmall = meanSize < size_ * (1 - kSizeTolerance);
  const bool isTooLarge = meanSize > size_ * (1 + kSizeTolerance) + all / instanceCount;
  if (instancesPerEndpoint_ != 0 && !isTooSmall && !isTooLarge) return;
  const int wanted = static_cast<int>(size_ * instanceCount / all + 0.999); // rounded up
  instancesPerEndpoint_ = std::clamp(wanted, 1, static_cast<int>(instanceKeys_.size()));
}

std::vector<bool> Subset::select(const std::vector<std::string> &endpoints) {
  const auto count = endpoints.size();
  if (size_ == 0 || count <= 2 * static_cast<std::size_t>(size_)) {
    ownRanks_.clear();
    instancesPerEndpoint_ = 0;
    return std::vector<bool>(count, true);
  }
  updateInstancesPerEndpoint(count);
  std::map<std::string, int> ranksByName;
  std::vector<int> ranks(count);
  for (std::size_t i = 0; i < count; ++i) {
    const auto known = ownRanks_.find(endpoints[i]);
    const bool isKnown = known != ownRanks_.end();
    ranks[i] = isKnown ? known->second : computeOwnRank(endpoints[i]);
    ranksComputed_ += !isKnown;
    ranksByName.emplace(endpoints[i], ranks[i]);
  }
  ownRanks_.swap(ranksByName);
  std::vector<bool> selected(count);
  const auto least = static_cast<std::ptrdiff_t>(std::max(size_ / 2, 1));
  for (int maxRank = instancesPerEndpoint_;; ++maxRank) { // ends: at the number of instances all are selected
    for (std::size_t i = 0; i < count; ++i) selected[i] = ranks[i] < maxRank;
    if (std::count(selected.begin(), selected.end(), true) >= least) return selected;
  }
}

} // namespace myrtlehead::subsetting
