#include "policy/subsetting.h"

#include <algorithm>
#include <xxhash.h>

namespace myrtlehead::subsetting {

namespace {

// The mean subset size may differ from the configured size by this fraction before the number of instances
// per endpoint is computed again.
constexpr double kSizeTolerance = 0.25;

} // namespace

Subset::Subset(int instanceCount, int ownIndex, int size) : ownIndex_(ownIndex), size_(size) {
  for (int i = 0; i < instanceCount; ++i) {
    const std::uint32_t index = static_cast<std::uint32_t>(i);
    instanceKeys_.push_back(XXH3_64bits(&index, sizeof index));
  }
}

int Subset::computeOwnRank(const std::string &endpoint) const {
  const auto endpointKey = XXH3_64bits(endpoint.data(), endpoint.size());
  const auto scoreOf = [&](std::size_t instance) {
    const std::uint64_t keys[2] = {endpointKey, instanceKeys_[instance]};
    return XXH3_64bits(keys, sizeof keys);
  };
  const auto ownScore = scoreOf(static_cast<std::size_t>(ownIndex_));
  int rank = 0;
  for (std::size_t i = 0; i < instanceKeys_.size(); ++i) {
    const auto score = scoreOf(i);
    rank += score > ownScore || (score == ownScore && static_cast<int>(i) < ownIndex_);
  }
  return rank;
}

// Keeps the number of instances per endpoint while the mean subset size is within the tolerance. Otherwise a
// small change of the endpoint count could change the number for every endpoint and so move all connections.
void Subset::updateInstancesPerEndpoint(std::size_t endpointCount) {
  const auto instanceCount = static_cast<double>(instanceKeys_.size());
  const auto all = static_cast<double>(endpointCount);
  const double meanSize = instancesPerEndpoint_ * all / instanceCount;
  const bool isTooSmall = meanSize < size_ * (1 - kSizeTolerance);
  const bool isTooLarge = meanSize > size_ * (1 + kSizeTolerance) + all / instanceCount;
  if (instancesPerEndpoint_ != 0 && !isTooSmall && !isTooLarge) return;
  const int needed = static_cast<int>(size_ * instanceCount / all + 0.999); // rounded up
  instancesPerEndpoint_ = std::clamp(needed, 1, static_cast<int>(instanceKeys_.size()));
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
  const auto minSelected = static_cast<std::ptrdiff_t>(std::max(size_ / 2, 1));
  for (int maxRank = instancesPerEndpoint_;; ++maxRank) { // terminates: maxRank == instance count selects all
    for (std::size_t i = 0; i < count; ++i) selected[i] = ranks[i] < maxRank;
    if (std::count(selected.begin(), selected.end(), true) >= minSelected) return selected;
  }
}

} // namespace myrtlehead::subsetting
