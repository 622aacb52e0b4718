// The endpoints that an instance knows, kept up to date from its endpoint list.
#pragma once

#include "policy/endpoint.h"

#include <deque>
#include <vector>

namespace myrtlehead {

class EndpointSet {
public:
  // Adds an endpoint that no list contains yet. The returned reference stays valid for the lifetime of the
  // set.
  Endpoint &add() { return endpoints_.emplace_back(); }
  // Applies what the list says of an endpoint. ready() reflects it after onUpdatesApplied().
  void onUpdate(Endpoint &endpoint, const EndpointInfo &info);
  // To be called once all updates of one message have been applied. `isFullList`: whether the message
  // contained the whole list, so that endpoints missing from it are no longer in service.
  void onUpdatesApplied(bool isFullList);

  std::deque<Endpoint> &all() { return endpoints_; }
  const std::deque<Endpoint> &all() const { return endpoints_; }
  // The endpoints that are ready according to the latest list, in the order in which they were added.
  const std::vector<Endpoint *> &ready() const { return ready_; }

private:
  std::deque<Endpoint> endpoints_;
  std::vector<Endpoint *> ready_;
};

} // namespace myrtlehead
