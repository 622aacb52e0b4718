// Limits the attempts at a candidate build to a part of the requests: within any window, to burstAttempts
// plus the cap times the requests received.
//
// The window is kept as credit: each request adds the cap, each attempt at a candidate takes one, and no more
// than burstAttempts is ever saved up. So the limit holds for every window that is yet to end as well, also
// where requests become fewer.
#pragma once

#include "policy/deployment.h"
#include "policy/request.h"
#include "policy/rollout_tracker.h"

#include <vector>

namespace myrtlehead {

class ExposureBudget {
public:
  ExposureBudget(const Deployment &deployment, const RolloutTracker &rollout, const EndpointSet &endpoints);

  // A request was received.
  void onRequest(const Request &request);
  // An attempt at a candidate is sent.
  void onAttempt(const Request &request) { creditOf(request) -= 1; }
  // Whether the candidate build may be sent the request now.
  bool allows(const Request &request, int build) const;

private:
  friend struct PolicyTestPeer;
  std::size_t indexOf(const Request &request) const;
  double &creditOf(const Request &request) { return credits_[indexOf(request)]; }
  double lowestCap() const;

  const Deployment &deployment_;
  const RolloutTracker &rollout_;
  const EndpointSet &endpoints_;
  std::vector<double> credits_; // attempts: one for all routes, or one a route
};

} // namespace myrtlehead
