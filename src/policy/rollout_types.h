// The values of a rollout: its phases, the votes on it and the platform's replies to them.
#pragma once

#include "policy/time.h"

namespace myrtlehead {

enum class RolloutPhase { evaluating, rollingBack, released, withdrawn };

// What the platform says of the newest build.
struct RolloutState {
  int build = 0;
  int stage = 0;
  RolloutPhase phase = RolloutPhase::evaluating;
  double exposureCap = 0; // attempts at the build for each request
  Nanoseconds age = 0;    // since this state began
};

// abstain takes back an earlier vote.
enum class Verdict { abstain, promote, hold, rollBack };

struct Vote {
  Verdict verdict;
  int build;
  int stage;
  bool operator==(const Vote &) const = default;
};

// What came of a vote. outdated: it was not on the present build and stage, or means nothing there.
// timedOut: it may count.
enum class VoteReply { accepted, outdated, rateLimited, error, timedOut };

// A build number greater than any that can be announced: a candidate for ever.
constexpr int kUnknownBuild = 65536;

} // namespace myrtlehead
