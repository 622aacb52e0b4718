// The configuration of a deployment: its routes, rollout settings and limits.
#pragma once

#include "policy/time.h"

#include <vector>

namespace myrtlehead {

// Whether a request may be executed more than once: always; within Route::idempotencyWindow if all attempts
// carry the same idempotency key; or never.
enum class Idempotency { idempotent, idempotentWithKey, notIdempotent };

// Which endpoints recognise a retry by its idempotency key: all endpoints, or only those in the zone or cell
// of the first attempt.
enum class IdempotencyScope { anywhere, zone, cell };

struct Route {
  Nanoseconds latencyObjective = 0;
  // How long endpoints remember a key, counted from the first attempt that may have been executed.
  Nanoseconds idempotencyWindow = 0;
  double priorityWeight = 1; // requests with a greater weight are shed later
  Idempotency idempotency = Idempotency::idempotent;
  IdempotencyScope idempotencyScope = IdempotencyScope::anywhere;
};

// What advances a rollout to its next stage: the vote of any instance, a quorum of votes, or a timer unless
// instances vote to hold.
enum class RolloutControl { anyVote, quorum, timer };

struct RolloutSettings {
  RolloutControl control = RolloutControl::anyVote;
  std::vector<double> stageCaps; // exposure cap of each stage: attempts at the candidate build per request
  double burstAttempts = 0;      // attempts at the candidate build that are allowed beyond the cap
  bool capPerRoute = false;      // each route has its own exposure budget
  bool stickyKeys = false;       // see StickyKeys
  // The baseline keeps all its endpoints until the release; otherwise the candidate replaces them one by one.
  bool keepsBaselineUntilRelease = false;
  int idempotentOnlyStages = 0;      // in this many first stages the candidate gets only idempotent requests
  double wrongAnswerReportShare = 0; // share of the wrong answers that clients report, 0 to 1
  int votesToPromote = 0;            // number of instances
  int votesToRollBack = 1;           // number of instances
  int votesToHold = 0;               // number of instances
  Nanoseconds voteLifetime = 0;      // a vote expires after this time
  double votesPerSecond = 1;         // the platform's rate limit for the votes of all instances together
};

// The meaning of one value in an endpoint's load report.
enum class LoadReportField { inFlight, queued, cpu, other };

struct Deployment {
  int ownIndex = 0;      // index of this instance, from 0 to instanceCount - 1
  int instanceCount = 1; // number of gateway instances
  int zone = 0;          // zone of this instance
  std::vector<Route> routes;
  std::vector<LoadReportField> loadReportFields; // in the order of the values in a load report
  std::vector<double> tenantQuotas;              // requests per second over all instances, by tenant
  double overQuotaWeight = 1; // factor on the priority weight of requests beyond a tenant's quota
  RolloutSettings rollout;
  Nanoseconds tickInterval = 0;     // resolution of the caller's timers
  Nanoseconds warmupTime = 0;       // time from an endpoint's start until it has its full capacity
  double warmupStartFraction = 1;   // share of its capacity that an endpoint has at its start
  Nanoseconds coldBudgetWindow = 0; // window over which the load on a cold endpoint is limited
  double coldBudgetMultiple = 1;    // maximum load over that window, as a multiple of the current capacity
  Nanoseconds maxRetryAfter = 0;    // upper limit of the Retry-After delay
  Nanoseconds pollInterval = 0;     // maximum interval between polls of the endpoint list without a watch
  double crossZoneCost = 0;         // cost of an attempt in another zone, in points set by the operators
  int maxAttempts = 1;              // maximum number of attempts for one request
  // The instance polls the fleet's discovery service for the endpoint list. Otherwise the list is pushed, or
  // a local agent that serves only this instance provides it.
  bool pollsEndpointList = false;
  bool hasPeers = false;        // instances can send messages to each other
  bool sendsRetryAfter = false; // shed requests are answered with a Retry-After delay
};

} // namespace myrtlehead
