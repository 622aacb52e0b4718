#include "policy/sticky_keys.h"

namespace myrtlehead {

bool StickyKeys::allows(const Request &request, const Endpoint &endpoint) const {
  if (!isEnabled_ || request.key == 0) return true;
  if (endpoint.info.build == kUnknownBuild) return false; // may be an earlier build
  const auto entry = builds_.find(request.key);
  return entry == builds_.end() || endpoint.info.build >= entry->second;
}

void StickyKeys::onSuccess(const Request &request, int build) {
  if (isEnabled_ && request.key != 0) builds_[request.key] = build;
}

void StickyKeys::onRollback(int build) {
  std::erase_if(builds_, [&](const auto &entry) { return entry.second >= build; });
}

} // namespace myrtlehead
