// The rollout as this instance has been notified of it, and which builds are candidates.
#pragma once

#include "policy/deployment.h"
#include "policy/endpoint_set.h"
#include "policy/rollout_types.h"

namespace myrtlehead {

class RolloutTracker {
public:
  RolloutTracker(const Deployment &deployment, const EndpointSet &endpoints)
      : settings_(deployment.rollout), endpoints_(endpoints) {}

  struct Change {
    bool isNewBuild = false;
    bool isNewStage = false; // of the same build
    bool isChanged = false;  // build, stage or phase
    bool isFirst = false;    // nothing was known before
  };
  Change onState(const RolloutState &state, Nanoseconds now);

  bool isKnown() const { return isKnown_; }
  const RolloutState &state() const { return state_; }
  // Whether a build is a candidate: newer than the newest released one. One that the platform has not named
  // yet counts as a candidate in its first stage; before it has named any, so does every build but the oldest
  // ready one.
  bool isCandidate(int build) const;
  // Attempts at the build for each request, at most.
  double exposureCap(int build) const;
  int stageOf(int build) const;
  // When the present stage or phase began.
  Nanoseconds stageStartedAt() const { return stageStartedAt_; }
  // Whether the newest build is judged: it has been a candidate in this incarnation. One that was released
  // before has no baseline to be compared with; it is the baseline.
  bool isEvaluated() const { return isEvaluated_; }
  // The newest build is the baseline from now on.
  void endEvaluation() { isEvaluated_ = false; }
  bool isRollingBackOrWithdrawn() const {
    return state_.phase == RolloutPhase::rollingBack || state_.phase == RolloutPhase::withdrawn;
  }

private:
  friend struct PolicyTestPeer;
  const RolloutSettings &settings_;
  const EndpointSet &endpoints_;
  RolloutState state_;
  bool isKnown_ = false;
  bool isEvaluated_ = false;
  Nanoseconds stageStartedAt_ = 0;
};

} // namespace myrtlehead
