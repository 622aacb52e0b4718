// What a deployment is: its routes, its rollout settings and its limits, as the operators configure them.
#pragma once

#include "policy/time.h"

#include <vector>

namespace myrtlehead {

// Whether a request may be executed twice: freely, within a window if both attempts carry the same
// idempotency key, or never.
enum class Idempotency { idempotent, idempotentWithKey, notIdempotent };

// Where a retry of a request with an idempotency key is recognised: at any endpoint, or only at those of the
// zone or the cell that the first attempt went to.
enum class IdempotencyScope { anywhere, zone, cell };

struct Route {
  Nanoseconds latencyObjective = 0;
  Nanoseconds idempotencyWindow = 0; // from the first attempt on, for which endpoints know the key
  double priorityWeight = 1;         // greater ones are shed last
  Idempotency idempotency = Idempotency::idempotent;
  IdempotencyScope idempotencyScope = IdempotencyScope::anywhere;
};

// How a rollout moves on: by any instance's vote, by a number of votes, or by itself unless it is held.
enum class RolloutControl { anyVote, quorum, timer };

struct RolloutSettings {
  RolloutControl control = RolloutControl::anyVote;
  std::vector<double> stageCaps;          // by stage: attempts at the candidate build for each request
  double burstAttempts = 0;               // at the candidate build, beyond the cap
  bool capPerRoute = false;               // each route has a budget of its own
  bool stickyKeys = false;                // a key that a build has answered goes to no earlier build
  bool keepsBaselineUntilRelease = false; // until the release, rather than being replaced machine by machine
  int idempotentOnlyStages = 0;           // the first stages, in which only idempotent requests may go there
  double wrongAnswerReportShare = 0;      // of the wrong answers, the part that clients report
  int votesToPromote = 0;                 // instances
  int votesToRollBack = 1;                // instances
  int votesToHold = 0;                    // instances
  Nanoseconds voteLifetime = 0;           // a vote lapses after this
  double votesPerSecond = 1;              // that the platform accepts, of all instances together
};

// A value of an endpoint's load report.
enum class LoadReportField { inFlight, queued, cpu, other };

struct Deployment {
  int ownIndex = 0;      // of this instance, from 0
  int instanceCount = 1; // of the proxy
  int zone = 0;          // of this instance
  std::vector<Route> routes;
  std::vector<LoadReportField> loadReportFields;
  std::vector<double> tenantQuotas; // requests a second, over all instances
  double overQuotaWeight = 1;       // factor on the priority weight beyond a tenant's quota
  RolloutSettings rollout;
  Nanoseconds tickInterval = 0;
  Nanoseconds warmupTime = 0;       // of an endpoint, from its start
  double warmupStartFraction = 1;   // of its capacity, at its start
  Nanoseconds coldBudgetWindow = 0; // over which the load on a cold endpoint is limited
  double coldBudgetMultiple = 1;    // of its present capacity, at most, over that window
  Nanoseconds maxRetryAfter = 0;
  Nanoseconds pollInterval = 0;   // an instance that watches no endpoint list polls it at least so often
  double crossZoneCost = 0;       // of an attempt in another zone, in the operators' points
  int maxAttempts = 1;            // for one request
  bool pollsEndpointList = false; // rather than being sent it
  bool hasPeers = false;          // instances may send messages to each other
  bool sendsRetryAfter = false;   // with a request that is shed
};

} // namespace myrtlehead
