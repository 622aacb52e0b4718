// Keeps the newest rollout state that the platform has sent, and tells which builds are candidates.
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
    bool isOlder = false; // the state precedes the known one and was not stored
    bool isNewBuild = false;
    bool isNewStage = false; // the stage has changed, the build has not
    bool isChanged = false;  // build, stage or phase has changed
    bool isFirst = false;    // no state was known before
  };
  // Stores the state and returns what has changed. States arrive in answers to votes, on several event
  // streams and from several addresses, and so in any order. A state that the platform must have left before
  // it reached the known one is ignored, whichever arrives last.
  Change onState(const RolloutState &state, Nanoseconds now);

  bool isKnown() const { return isKnown_; }
  const RolloutState &state() const { return state_; }
  // Whether a build is a candidate, that is, newer than the newest released build. A build that the platform
  // has not announced yet counts as a candidate in its first stage. Before the platform has announced any
  // build, every build but the oldest ready one counts as a candidate in its first stage.
  bool isCandidate(int build) const;
  // The maximum number of attempts at the build for each request.
  double exposureCap(int build) const;
  int stageOf(int build) const;
  // When the present stage or phase began.
  Nanoseconds stageStartedAt() const { return stageStartedAt_; }
  // Whether the newest build is being evaluated. A build is evaluated only if it has been a candidate during
  // this incarnation. A build that was released earlier has no baseline to be compared with and is the
  // baseline itself.
  bool isEvaluated() const { return isEvaluated_; }
  // Makes the newest build the baseline.
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
