// Limits the load on endpoints that are warming up to the part that their current capacity allows.
//
// Each instance limits its attempts at a cold endpoint, by a token bucket, to a multiple of the rate at which
// a warm endpoint completes requests for this instance. Because all instances do so, their total stays within
// the endpoint's capacity, even if many endpoints start at once. The bucket starts at a random level, so that
// the instances do not send their first attempts at the same time, and so that an instance with little
// traffic still sends an attempt now and then.
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

  // The share of its full capacity that an endpoint has at least, from 0 to 1; 1: the endpoint is warm.
  double warmupFraction(const Endpoint &endpoint, Nanoseconds now) const;
  // Whether one more attempt may be sent to the endpoint now. Refills the endpoint's tokens. maxRateMultiple
  // is the maximum rate of attempts as a multiple of a warm endpoint's completion rate, scaled by the warm-up
  // fraction; kUnlimitedRateMultiple sets no limit for a warm endpoint.
  bool hasCapacity(Endpoint &endpoint, double maxRateMultiple, Nanoseconds now) const;

  void onRequest() { ++requestsReceived_; }
  void onAttempt(Endpoint &endpoint) const;
  void onSuccess(const Endpoint &endpoint, Nanoseconds now);
  // The endpoint was restarted or has another build: earlier measurements no longer apply.
  static void onEndpointReplaced(Endpoint &endpoint, Nanoseconds now, RandomEngine &random);
  // Updates the completion rate of warm endpoints every half second. Must be called more often than that.
  void updateCompletionRate(Nanoseconds now);

  static constexpr double kUnlimitedRateMultiple = 1e9;

private:
  friend struct PolicyTestPeer;
  bool countsAsWarm(const Endpoint &endpoint, Nanoseconds now) const;

  const Deployment &deployment_;
  const RolloutTracker &rollout_;
  const EndpointSet &endpoints_;
  // Requests per second that a warm endpoint completes for this instance: the quotient of the two decaying
  // sums.
  double completionRate_ = 0;
  double completionsPerEndpoint_ = 0; // decaying sum
  double completionSeconds_ = 0;      // decaying sum
  double warmCompletions_ = 0;        // completions at warm endpoints since rateUpdatedAt_
  double requestsReceived_ = 0;       // since rateUpdatedAt_
  Nanoseconds rateUpdatedAt_;
};

} // namespace myrtlehead
