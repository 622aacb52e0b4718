// Shared by the tests: a small deployment, and the decisions of one instance in a given state.
#pragma once

#include <doctest/doctest.h>

#include "policy_test_peer.h"

namespace myrtlehead {

constexpr Nanoseconds kNow = 1000 * kSecond;

inline Deployment smallDeployment() {
  Deployment d;
  d.instanceCount = 3;
  Route read{.latencyObjective = kSecond / 2, .priorityWeight = 1};
  Route write{.latencyObjective = kSecond / 2,
              .idempotencyWindow = kSecond,
              .priorityWeight = 5,
              .idempotency = Idempotency::idempotentWithKey};
  Route once{.latencyObjective = kSecond / 2, .priorityWeight = 2, .idempotency = Idempotency::notIdempotent};
  d.routes = {read, write, once};
  d.rollout = {.control = RolloutControl::quorum,
               .stageCaps = {0.1, 0.5, 1},
               .burstAttempts = 2,
               .votesToPromote = 2,
               .voteLifetime = 10 * kSecond,
               .votesPerSecond = 100};
  d.tickInterval = 5 * kMillisecond;
  d.warmupTime = 4 * kSecond;
  d.warmupStartFraction = 0.4;
  d.coldBudgetWindow = 2 * kSecond;
  d.coldBudgetMultiple = 2;
  d.maxRetryAfter = kSecond;
  d.maxAttempts = 4;
  d.hasPeers = true;
  d.sendsRetryAfter = true;
  return d;
}

// A policy that knows so many endpoints of build 1, the baseline, and of build 2, the candidate.
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
    internals.capacityLossUntil() = 0; // it has served for a while
  }
  Endpoint &add(const EndpointInfo &info) {
    Endpoint &added = policy.addEndpoint();
    policy.onEndpointUpdate(added, info, kNow);
    policy.onEndpointListComplete(false);
    return added;
  }
  Endpoint &endpoint(std::size_t i) { return policy.endpoints()[i]; }
  static Request request(int route = 0, Nanoseconds timeout = 2 * kSecond) {
    Request out;
    out.route = route;
    out.receivedAt = kNow;
    out.deadline = kNow + timeout;
    return out;
  }
  // A request with one attempt in flight at the endpoint, which may have been executed or not.
  Request requestAttemptedAt(Endpoint &endpoint, int route, bool mayHaveExecuted) {
    Request out = request(route);
    out.counted = true;
    const auto &info = endpoint.info;
    out.attempts.push_back({.endpoint = &endpoint,
                            .sentAt = kNow,
                            .build = info.build,
                            .zone = info.zone,
                            .cell = info.cell,
                            .mayHaveExecuted = mayHaveExecuted});
    out.inFlight = 1;
    endpoint.inFlight = 1;
    internals.inFlight() = 1;
    return out;
  }
  // An attempt at the endpoint ends so, and its client has its answer.
  void observe(Endpoint &endpoint, Outcome outcome, Nanoseconds duration = 100 * kMillisecond,
               int route = 0) {
    Request out = requestAttemptedAt(endpoint, route, true);
    out.finished = true;
    policy.onAttemptFinished(out, 0, outcome, duration, true, kNow);
  }
  RoutingPolicy policy;
  PolicyTestPeer internals{policy};
};

} // namespace myrtlehead
