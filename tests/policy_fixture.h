// Fixture for the tests of the routing policy: a small deployment, and the policy of one instance in a given
// state.
#pragma once

#include <doctest/doctest.h>

#include "policy_test_peer.h"

namespace myrtlehead {

constexpr Nanoseconds kNow = 1000 * kSecond;

inline Deployment smallDeployment() {
  Deployment deployment;
  deployment.instanceCount = 3;
  Route read{.latencyObjective = kSecond / 2, .priorityWeight = 1};
  Route write{.latencyObjective = kSecond / 2,
              .idempotencyWindow = kSecond,
              .priorityWeight = 5,
              .idempotency = Idempotency::idempotentWithKey};
  Route notIdempotent{
      .latencyObjective = kSecond / 2, .priorityWeight = 2, .idempotency = Idempotency::notIdempotent};
  deployment.routes = {read, write, notIdempotent};
  deployment.rollout = {.control = RolloutControl::quorum,
                        .stageCaps = {0.1, 0.5, 1},
                        .burstAttempts = 2,
                        .votesToPromote = 2,
                        .voteLifetime = 10 * kSecond,
                        .votesPerSecond = 100};
  deployment.tickInterval = 5 * kMillisecond;
  deployment.warmupTime = 4 * kSecond;
  deployment.warmupStartFraction = 0.4;
  deployment.coldBudgetWindow = 2 * kSecond;
  deployment.coldBudgetMultiple = 2;
  deployment.maxRetryAfter = kSecond;
  deployment.maxAttempts = 4;
  deployment.hasPeers = true;
  deployment.sendsRetryAfter = true;
  return deployment;
}

// A routing policy with `baseline` endpoints of build 1, the baseline, and `candidate` endpoints of build 2,
// the candidate.
struct PolicyFixture {
  explicit PolicyFixture(Deployment deployment = smallDeployment(), int baseline = 2, int candidate = 0,
                         RolloutPhase phase = RolloutPhase::evaluating)
      : policy(std::move(deployment), 7, kNow) {
    for (int i = 0; i < baseline; ++i) add({.build = 1});
    for (int i = 0; i < candidate; ++i) add({.build = 2});
    internals.rolloutState() = candidate > 0 ? RolloutState{2, 0, phase, 0.1}
                                             : RolloutState{1, 2, RolloutPhase::released, 1};
    internals.isRolloutKnown() = true;
    internals.isEvaluated() = candidate > 0;
    internals.completionRate() = 10;
    internals.capacityLossUntil() = 0; // the instance has not started just now
  }
  Endpoint &add(const EndpointInfo &info) {
    Endpoint &added = policy.addEndpoint();
    policy.onEndpointUpdate(added, info, kNow);
    policy.onEndpointUpdatesApplied(false);
    return added;
  }
  Endpoint &endpoint(std::size_t i) { return policy.endpoints()[i]; }
  static Request request(int route = 0, Nanoseconds timeout = 2 * kSecond) {
    Request result;
    result.route = route;
    result.receivedAt = kNow;
    result.deadline = kNow + timeout;
    return result;
  }
  // A request with one attempt in flight at the endpoint.
  Request requestAttemptedAt(Endpoint &endpoint, int route, bool mayHaveExecuted) {
    Request result = request(route);
    result.counted = true;
    const auto &info = endpoint.info;
    result.attempts.push_back({.endpoint = &endpoint,
                               .sentAt = kNow,
                               .build = info.build,
                               .zone = info.zone,
                               .cell = info.cell,
                               .mayHaveExecuted = mayHaveExecuted});
    result.inFlight = 1;
    endpoint.inFlight = 1;
    internals.inFlight() = 1;
    return result;
  }
  // Ends an attempt at the endpoint with the outcome; its client has received the final answer.
  void observe(Endpoint &endpoint, Outcome outcome, Nanoseconds duration = 100 * kMillisecond,
               int route = 0) {
    Request observed = requestAttemptedAt(endpoint, route, true);
    observed.finished = true;
    policy.onAttemptFinished(observed, 0, outcome, duration, true, kNow);
  }
  RoutingPolicy policy;
  PolicyTestPeer internals{policy};
};

} // namespace myrtlehead
