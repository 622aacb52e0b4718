// Types of a rollout: its state, the votes on it and the platform's replies to the votes.
#pragma once

#include "policy/time.h"

namespace myrtlehead {

enum class RolloutPhase { evaluating, rollingBack, released, withdrawn };

// The state of the newest build, as the platform reports it.
struct RolloutState {
  int build = 0;
  int stage = 0;
  RolloutPhase phase = RolloutPhase::evaluating;
  double exposureCap = 0; // attempts at the build for each request, at most
  Nanoseconds age = 0;    // time since the stage or phase began

  // Whether both are the same apart from their age.
  bool isSameAs(const RolloutState &other) const {
    return build == other.build && stage == other.stage && phase == other.phase &&
           exposureCap == other.exposureCap;
  }
};

// An abstention withdraws an earlier vote.
enum class Verdict { abstain, promote, hold, rollBack };

struct Vote {
  Verdict verdict;
  int build;
  int stage;
  bool operator==(const Vote &) const = default;
};

// The result of a vote. outdated: the vote was not on the present build and stage, or has no meaning in the
// present phase. timedOut: there was no reply, and the vote may have been counted.
enum class VoteReply { accepted, outdated, rateLimited, error, timedOut };

// The build of an endpoint whose build is not known. It is greater than any build number that can be
// announced, so that the endpoint always counts as a candidate.
constexpr int kUnknownBuild = 65536;

} // namespace myrtlehead
