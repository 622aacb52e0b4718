#include "policy/rollout_tracker.h"

#include <algorithm>
#include <utility>

namespace myrtlehead {

namespace {

// The order in which a build passes through the phases; it may leave out some.
int phaseOrder(RolloutPhase phase) {
  switch (phase) {
  case RolloutPhase::evaluating:
    return 0;
  case RolloutPhase::released:
    return 1;
  case RolloutPhase::rollingBack:
    return 2;
  case RolloutPhase::withdrawn:
    return 3;
  }
  return 0;
}

// Whether the platform was in `state` before it was in `other`. Builds are numbered in the order in which
// they are offered. Within a phase a build's stage rises, or its cap falls while it is rolled back.
bool precedes(const RolloutState &state, const RolloutState &other) {
  if (state.build != other.build) return state.build < other.build;
  if (state.phase != other.phase) return phaseOrder(state.phase) < phaseOrder(other.phase);
  const bool isForward = phaseOrder(state.phase) < phaseOrder(RolloutPhase::rollingBack);
  return isForward ? state.stage < other.stage : state.exposureCap > other.exposureCap;
}

} // namespace

RolloutTracker::Change RolloutTracker::onState(const RolloutState &state, Nanoseconds now) {
  Change change;
  change.isOlder = isKnown_ && precedes(state, state_);
  if (change.isOlder) return change;
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
