// The plain values that pass through the guard's door: what a deployment is, what is listed and told, what is
// answered and what falls due.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace myrtlehead {

using Nanoseconds = std::int64_t;
constexpr Nanoseconds kMillisecond = 1'000'000, kSecond = 1'000'000'000;
constexpr Nanoseconds kNoDeadline = std::numeric_limits<Nanoseconds>::max();

enum class Idempotency { idempotent, idempotentWithKey, notIdempotent };
enum class IdempotencyScope { anywhere, zone, cell };
enum class RolloutControl { anyVote, quorum, timer };
enum class LoadReportField { inFlight, queued, cpu, other };

struct Route {
  Nanoseconds latencyObjective = 0;
  Nanoseconds idempotencyWindow = 0;
  double priorityWeight = 1;
  Idempotency idempotency = Idempotency::idempotent;
  IdempotencyScope idempotencyScope = IdempotencyScope::anywhere;
};

struct RolloutSettings {
  RolloutControl control = RolloutControl::anyVote;
  std::vector<double> stageCaps;
  double freeAttempts = 0;
  bool capPerRoute = false, stickyKeys = false;
  bool baselineStays = false; // until the release, rather than making room one by one
  int idempotentOnlyStages = 0;
  double reportedWrongShare = 0; // of the wrong answers, how many are flagged
  int votesToPromote = 0, votesToRollBack = 1, votesToHold = 0;
  Nanoseconds voteLifetime = 0;
  double votesPerSecond = 1; // votes a second, of all instances
};

struct Deployment {
  int ownIndex = 0, instanceCount = 1, zone = 0;
  std::vector<Route> routes;
  std::vector<LoadReportField> loadReportFields;
  std::vector<double> tenantQuotas; // requests a second inside each tenant's share, over all instances
  double overQuotaWeight = 1;       // what is left of the importance beyond it
  RolloutSettings rollout;
  Nanoseconds tickInterval = 0;
  Nanoseconds warmupTime = 0, coldBudgetWindow = 0, maxRetryAfter = 0;
  Nanoseconds pollInterval = 0; // an instance that follows no list asks for it at least so often
  double warmupStartFraction = 1, coldBudgetMultiple = 1;
  double crossZoneCost = 0;
  int maxAttempts = 1;
  bool pollsEndpointList = false, hasPeers = false, sendsRetryAfter = false;
};

struct Endpoint;
struct Request;

enum class Outcome { succeeded, failed, rejected, timedOut, unreachable, reset, cancelled, notSent };

// Whether an outcome proves that the attempt never ran.
inline bool neverExecuted(Outcome o) {
  return o == Outcome::rejected || o == Outcome::unreachable || o == Outcome::notSent;
}

enum class EndpointState { ready, draining, gone };
enum class RolloutPhase { evaluating, rollingBack, released, withdrawn };
enum class VoteReply { accepted, outdated, rateLimited, error, timedOut };
enum class Verdict { abstain, promote, hold, rollBack };

constexpr int kUnknownBuild = 65536; // later than any that can be told: on trial for ever

struct EndpointInfo {
  int build = 0, zone = 0, cell = 0;
  Nanoseconds startedAt = 0; // 0: long ago
  EndpointState state = EndpointState::ready;
  int priorityGroup = 0; // its group by preference, 0 first
  double weight = 1;     // of the largest in its group
};

struct RolloutState {
  int build = 0, stage = 0;
  RolloutPhase phase = RolloutPhase::evaluating;
  double cap = 0;
  Nanoseconds age = 0; // since this state began
};

// What to do with a request now. hold: nothing yet, ask again after wait().
struct RoutingDecision {
  enum Action { forward, wait, shed, fail, none } action = none;
  Endpoint *endpoint = nullptr;
  Nanoseconds timeout = 0;    // send: give the attempt up after this
  Nanoseconds retryAfter = 0; // shed: time for the client to come back, 0 for none
  Nanoseconds sendBy = 0;     // send: its last byte may not leave later
};

struct Vote {
  Verdict verdict;
  int build, stage;
  bool operator==(const Vote &) const = default;
};

struct PeerMessage {
  int to; // number of the instance; -1: every other one
  std::vector<std::uint8_t> bytes;
};

struct DueActions {
  std::vector<Vote> votes;
  std::vector<PeerMessage> notes;
  std::vector<std::string> lines;
};

} // namespace myrtlehead
