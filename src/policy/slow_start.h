// Limits the load on endpoints that are warming up: an endpoint that is not yet warm gets a part of the load
// that its present capacity allows.
//
// Limits the rate of attempts at a cold endpoint to a multiple of what a warm one completes for this
// instance. As each instance does so, the total stays within the endpoint's capacity, also when many
// endpoints start at once. The token bucket starts at a random level, so that instances do not send their
// first attempts together, and an instance with little traffic still sends one now and then.
#pragma once

#include "policy/deployment.h"
#include "policy/random.h"
#include "policy/request.h"
#include "policy/rollout_tracker.h"

namespace myrtlehead {

class SlowStart {
public:
  SlowStart(const Deployment &deployment, const RolloutTracker &rollout, const EndpointSet &endpoints,
            Nanoseconds now)
      : deployment_(deployment), rollout_(rollout), endpoints_(endpoints), rateUpdatedAt_(now) {}

  // The least share of its capacity that an endpoint has by now; 1: it is warm.
  double warmupFraction(const Endpoint &endpoint, Nanoseconds now) const;
  // Whether the endpoint may be sent one more attempt now. maxRateMultiple: most that it may get, as a
  // multiple of what a warm endpoint completes, scaled by its warm-up fraction; kUnlimitedRateMultiple: no
  // limit on a warm one. Refills the endpoint's tokens.
  bool hasCapacity(Endpoint &endpoint, double maxRateMultiple, Nanoseconds now) const;

  void onRequest() { ++requestsReceived_; }
  void onAttempt(Endpoint &endpoint) const;
  void onSuccess(const Endpoint &endpoint, Nanoseconds now);
  // The endpoint was restarted or has another build: earlier measurements no longer apply.
  static void onEndpointReplaced(Endpoint &endpoint, Nanoseconds now, RandomEngine &random);
  // To be called often: takes up what warm endpoints have completed, every half second.
  void updateCompletionRate(Nanoseconds now);

  static constexpr double kUnlimitedRateMultiple = 1e9;

private:
  friend struct PolicyTestPeer;
  bool countsAsWarm(const Endpoint &endpoint, Nanoseconds now) const;

  const Deployment &deployment_;
  const RolloutTracker &rollout_;
  const EndpointSet &endpoints_;
  double completionRate_ = 0;       // requests a second that a warm endpoint completes for this instance
  double completedPerEndpoint_ = 0; // decaying sum, with the time of which it is the quotient
  double completionSeconds_ = 0;
  double completedAtWarm_ = 0;  // since rateUpdatedAt_
  double requestsReceived_ = 0; // since rateUpdatedAt_
  Nanoseconds rateUpdatedAt_;
};

} // namespace myrtlehead
