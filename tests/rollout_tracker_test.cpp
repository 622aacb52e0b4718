// RolloutTracker: the newest rollout state, whatever the order in which states arrive.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy_fixture.h"

#include <algorithm>

using namespace myrtlehead;

namespace {

// The states through which a platform passes: a build that is released and then sent back, and one that is
// sent back on trial, its cap falling on the way.
std::vector<RolloutState> statesInOrder() {
  using enum RolloutPhase;
  return {{1, 2, released, 1},     {2, 0, evaluating, 0.1},  {2, 1, evaluating, 0.5},
          {2, 2, evaluating, 1},   {2, 2, released, 1},      {2, 2, rollingBack, 0.5},
          {2, 2, rollingBack, 0},  {2, 2, withdrawn, 0},     {3, 0, evaluating, 0.1},
          {3, 1, evaluating, 0.5}, {3, 1, rollingBack, 0.5}, {3, 0, rollingBack, 0.1},
          {3, 0, rollingBack, 0},  {3, 0, withdrawn, 0}};
}

} // namespace

// Guards against an older state that undoes a newer one because it arrives later.
TEST_CASE("an older rollout state never takes the place of a newer one") {
  const auto states = statesInOrder();
  for (std::size_t older = 0; older < states.size(); ++older)
    for (std::size_t newer = older; newer < states.size(); ++newer) {
      CAPTURE(older);
      CAPTURE(newer);
      const auto deployment = smallDeployment();
      const EndpointSet endpoints;
      RolloutTracker tracker(deployment, endpoints);
      CHECK(!tracker.onState(states[older], kNow).isOlder);
      CHECK(!tracker.onState(states[newer], kNow).isOlder);
      CHECK(tracker.state().isSameAs(states[newer]));
      CHECK(tracker.onState(states[older], kNow).isOlder == (older != newer));
      CHECK(tracker.state().isSameAs(states[newer]));
    }
}

TEST_CASE("an older rollout state changes neither the cap nor the start of the phase") {
  PolicyFixture fixture(smallDeployment(), 1, 1);
  fixture.policy.onRolloutState({2, 1, RolloutPhase::rollingBack, 0, 0}, kNow);
  fixture.policy.onRolloutState({2, 1, RolloutPhase::evaluating, 0.5, 8 * kSecond}, kNow + kSecond);
  CHECK(fixture.policy.rolloutState().exposureCap == 0);
  CHECK(fixture.internals.stageStartedAt() == kNow);
  const auto lines = fixture.policy.runDueTasks(kNow + kSecond).logLines;
  CHECK(
      std::ranges::any_of(lines, [](const std::string &line) { return line.starts_with("older rollout"); }));
}
