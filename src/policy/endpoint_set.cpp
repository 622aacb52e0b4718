#include "policy/endpoint_set.h"

namespace myrtlehead {

void EndpointSet::onUpdate(Endpoint &endpoint, const EndpointInfo &info) {
  endpoint.info = info;
  endpoint.isReady = info.state == EndpointState::ready;
  endpoint.seenInListUpdate = true;
}

void EndpointSet::onUpdatesApplied(bool isFullList) {
  ready_.clear();
  for (auto &endpoint : endpoints_) {
    if (isFullList && !endpoint.seenInListUpdate) endpoint.isReady = false;
    endpoint.seenInListUpdate = false;
    if (endpoint.isReady) ready_.push_back(&endpoint);
  }
}

} // namespace myrtlehead
