#include "policy/rollout_tracker.h"

#include <algorithm>
#include <utility>

namespace myrtlehead {

RolloutTracker::Change RolloutTracker::onState(const RolloutState &state, Nanoseconds now) {
  Change change;
  change.isNewBuild = !isKnown_ || state.build != state_.build;
  change.isNewStage = !change.isNewBuild && state.stage != state_.stage;
  change.isChanged = change.isNewBuild || state.stage != state_.stage || state.phase != state_.phase;
  isEvaluated_ = state.phase != RolloutPhase::released || (!change.isNewBuild && isEvaluated_);
  change.isFirst = !std::exchange(isKnown_, true);
  state_ = state;
  if (change.isChanged) stageStartedAt_ = now - state.age;
  return change;
}

bool RolloutTracker::isCandidate(int build) const {
  if (isKnown_)
    return build > state_.build || (build == state_.build && state_.phase != RolloutPhase::released);
  return std::ranges::any_of(endpoints_.ready(),
                             [&](const Endpoint *endpoint) { return endpoint->info.build < build; });
}

double RolloutTracker::exposureCap(int build) const {
  if (isKnown_ && build == state_.build) return state_.exposureCap;
  return settings_.stageCaps.empty() ? 0 : settings_.stageCaps.front();
}

int RolloutTracker::stageOf(int build) const { return isKnown_ && build == state_.build ? state_.stage : 0; }

} // namespace myrtlehead
