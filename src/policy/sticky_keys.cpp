#include "policy/sticky_keys.h"

namespace myrtlehead {

bool StickyKeys::allows(const Request &request, const Endpoint &endpoint) const {
  if (!isEnabled_ || request.key == 0) return true;
  if (endpoint.info.build == kUnknownBuild) return false; // it might be an earlier one
  const auto known = builds_.find(request.key);
  return known == builds_.end() || endpoint.info.build >= known->second;
}

void StickyKeys::onSuccess(const Request &request, int build) {
  if (isEnabled_ && request.key != 0) builds_[request.key] = build;
}

void StickyKeys::onRollback(int build) {
  std::erase_if(builds_, [&](const auto &known) { return known.second >= build; });
}

} // namespace myrtlehead
