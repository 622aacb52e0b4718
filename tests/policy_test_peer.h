// Access to the private state of the decision classes, for tests that start from a state which takes long to
// reach by events.
#pragma once

#include "policy/routing_policy.h"

namespace myrtlehead {

struct PolicyTestPeer {
  explicit PolicyTestPeer(RoutingPolicy &tested) : policy(tested) {}

  Deployment &deployment() { return policy.deployment_; }
  RandomEngine &random() { return policy.random_; }

  RolloutState &rolloutState() { return policy.rollout_.state_; }
  bool &isRolloutKnown() { return policy.rollout_.isKnown_; }
  bool &isEvaluated() { return policy.rollout_.isEvaluated_; }
  Nanoseconds &stageStartedAt() { return policy.rollout_.stageStartedAt_; }

  double &meanLatency() { return policy.latency_.mean_; }
  double &connectionLossRate() { return policy.outliers_.connectionLossRate_; }
  Nanoseconds &capacityLossUntil() { return policy.outliers_.capacityLossUntil_; }

  double &completionRate() { return policy.slowStart_.completionRate_; }
  std::vector<double> &exposureCredits() { return policy.exposure_.credits_; }
  std::map<std::uint64_t, int> &stickyBuilds() { return policy.stickyKeys_.builds_; }

  double &shed() { return policy.overload_.shed_; }
  double &integralShed() { return policy.overload_.integralShed_; }
  double &latencyRatio() { return policy.overload_.latencyRatio_; }
  double &medianLatencyRatio() { return policy.overload_.medianLatencyRatio_; }
  double &meanObjective() { return policy.overload_.meanObjective_; } // seconds
  double &completed() { return policy.overload_.completed_; }
  int &inFlight() { return policy.overload_.inFlight_; }
  std::vector<double> &quotaExcess() { return policy.overload_.quotaExcess_; }

  auto &evidence(std::size_t channel) { return policy.test_.channels_[channel]; }
  auto &allEvidence() { return policy.test_.channels_; }
  auto &fused(std::size_t channel) { return policy.fusion_.channels_[channel]; }
  auto &allFused() { return policy.fusion_.channels_; }
  double &stageOutcomes() { return policy.fusion_.stageOutcomes_; }
  bool &isJudgedBad() { return policy.fusion_.isJudgedBad_; }

  Vote &announcedPosition() { return policy.voter_.announcedPosition_; }
  Vote &lastVote() { return policy.voter_.lastVote_; }
  Vote &wantedVote() { return policy.voter_.wantedVote_; }
  Nanoseconds &renewAt() { return policy.voter_.renewAt_; }

  RoutingPolicy &policy;
};

} // namespace myrtlehead
