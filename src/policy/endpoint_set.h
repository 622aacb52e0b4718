// The endpoints that an instance knows, as its endpoint list tells them.
#pragma once

#include "policy/endpoint.h"

#include <deque>
#include <vector>

namespace myrtlehead {

class EndpointSet {
public:
  // A new endpoint, unlisted yet. It keeps its address for as long as the set lives.
  Endpoint &add() { return endpoints_.emplace_back(); }
  // Takes up what the list says of an endpoint; it counts among ready() after onUpdatesApplied().
  void onUpdate(Endpoint &endpoint, const EndpointInfo &info);
  // All updates of one message have been taken up. isFullList: endpoints that were not in it are gone.
  void onUpdatesApplied(bool isFullList);

  std::deque<Endpoint> &all() { return endpoints_; }
  const std::deque<Endpoint> &all() const { return endpoints_; }
  // Those in the latest list and ready, in the order in which they were added.
  const std::vector<Endpoint *> &ready() const { return ready_; }

private:
  std::deque<Endpoint> endpoints_;
  std::vector<Endpoint *> ready_;
};

} // namespace myrtlehead
