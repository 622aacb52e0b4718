// Limits the attempts at candidate builds to a share of the requests: any time window may hold at most
// burstAttempts plus the exposure cap times the requests received in it.
//
// The limit is kept as a token bucket: each request adds the cap, each attempt at a candidate takes 1, and
// the bucket holds at most burstAttempts. The limit therefore also holds for windows that have not ended yet,
// and while the request rate falls.
#pragma once

#include "policy/deployment.h"
#include "policy/request.h"
#include "policy/rollout_tracker.h"

#include <vector>

namespace myrtlehead {

class ExposureBudget {
public:
  ExposureBudget(const Deployment &deployment, const RolloutTracker &rollout, const EndpointSet &endpoints);

  // A request has been received.
  void onRequest(const Request &request);
  // An attempt at a candidate is being sent.
  void onAttempt(const Request &request) { creditOf(request) -= 1; }
  // Whether the request may be sent to the candidate build now.
  bool allows(const Request &request, int build) const;

private:
  friend struct PolicyTestPeer;
  std::size_t creditIndex(const Request &request) const;
  double &creditOf(const Request &request) { return credits_[creditIndex(request)]; }
  double lowestCap() const;

  const Deployment &deployment_;
  const RolloutTracker &rollout_;
  const EndpointSet &endpoints_;
  std::vector<double> credits_; // in attempts; a single credit for all routes, or one for each route
};

} // namespace myrtlehead
