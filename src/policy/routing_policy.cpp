#include "policy/routing_policy.h"

#include "policy/log_text.h"
#include "policy/rollout_roles.h"

#include <utility>

namespace myrtlehead {

namespace {

constexpr Nanoseconds kRecheckInterval = 20 * kMillisecond; // for requests that wait for an endpoint

// Divides the quotas evenly, as if all instances received the same traffic.
Deployment withQuotasPerInstance(Deployment deployment) {
  for (auto &quota : deployment.tenantQuotas) quota /= deployment.instanceCount;
  return deployment;
}

RandomEngine makeSeededEngine(std::uint64_t seed) {
  RandomEngine random;
  random.seed(static_cast<RandomEngine::result_type>(seed ^ seed >> 32));
  return random;
}

} // namespace

RoutingPolicy::RoutingPolicy(Deployment deployment, std::uint64_t seed, Nanoseconds now)
    : deployment_(withQuotasPerInstance(std::move(deployment))), random_(makeSeededEngine(seed)),
      stalls_(now), rollout_(deployment_, endpoints_), latency_(deployment_),
      slowStart_(deployment_, rollout_, endpoints_, now), outliers_(endpoints_, latency_, now),
      overload_(deployment_, endpoints_, outliers_, now),
      retries_(deployment_, latency_, outliers_, overload_), exposure_(deployment_, rollout_, endpoints_),
      stickyKeys_(deployment_), fusion_(deployment_, endpoints_, rollout_, stalls_),
      test_(deployment_, rollout_, latency_, outliers_, fusion_, random_),
      voter_(deployment_, endpoints_, rollout_, fusion_),
      balancer_(deployment_, latency_, outliers_, slowStart_, retries_, stickyKeys_),
      selector_(rollout_, endpoints_, exposure_, balancer_, slowStart_, overload_, test_) {}

RoutingDecision RoutingPolicy::route(Request &request, Nanoseconds now) {
  stalls_.onActivity(endpoints_, now, due_);
  if (request.finished || request.answerStarted || request.inFlight > 0) return {};
  if (!request.counted) countRequest(request);
  if (retries_.isTooCloseToDeadline(request, now)) return giveUp(request);
  if (request.attempts.empty() && drawUniform(random_) < overload_.shedFraction(request))
    return giveUp(request);
  if (auto *endpoint = selector_.choose(request, now, random_)) return forward(request, *endpoint, now);
  if (retries_.isQueuedTooLong(request, now)) return giveUp(request);
  return {RoutingDecision::wait};
}

void RoutingPolicy::countRequest(Request &request) {
  request.counted = true;
  slowStart_.onRequest();
  exposure_.onRequest(request);
  overload_.onRequest(request);
  retries_.onRequest();
}

RoutingDecision RoutingPolicy::onAttemptFinished(Request &request, std::size_t attemptIndex, Outcome outcome,
                                                 Nanoseconds duration, bool isAnswered, Nanoseconds now) {
  stalls_.onActivity(endpoints_, now, due_);
  auto &attempt = request.attempts[attemptIndex];
  if (!attempt.inFlight) return {};
  attempt.inFlight = false;
  attempt.mayHaveExecuted = !provesNotExecuted(outcome);
  --request.inFlight;
  --attempt.endpoint->inFlight;
  attempt.endpoint->lastOutcomeAt = now;
  countOutcome(request, attempt, outcome, duration, now);
  if (isAnswered) request.finished = true;
  if (request.finished || request.inFlight > 0) return {};
  auto *endpoint = retries_.mayRetry(request, now) ? selector_.choose(request, now, random_) : nullptr;
  if (endpoint == nullptr) return giveUp(request);
  retries_.onRetry();
  return forward(request, *endpoint, now);
}

void RoutingPolicy::countOutcome(const Request &request, const Attempt &attempt, Outcome outcome,
                                 Nanoseconds duration, Nanoseconds now) {
  auto &endpoint = *attempt.endpoint;
  outliers_.onConnectionOutcome(endpoint, outcome, now);
  overload_.onOutcome(outcome);
  if (!stalls_.stalledSince(attempt.sentAt)) {
    // An attempt sent before the start of the endpoint went to an earlier incarnation.
    if (attempt.sentAt >= endpoint.info.startedAt) {
      latency_.onOutcome(endpoint, outcome, duration, now);
      outliers_.onOutcome(endpoint, outcome, duration, now, due_);
    }
    const auto &route = deployment_.routes[static_cast<std::size_t>(request.route)];
    overload_.onTimelyOutcome(route, outcome, duration);
    test_.onOutcome(request, attempt, outcome, duration, now, due_);
  }
  if (outcome != Outcome::succeeded) return;
  stickyKeys_.onSuccess(request, attempt.build);
  slowStart_.onSuccess(endpoint, now);
}

RoutingDecision RoutingPolicy::forward(Request &request, Endpoint &endpoint, Nanoseconds now) {
  const auto &info = endpoint.info;
  Attempt attempt{
      .endpoint = &endpoint, .sentAt = now, .build = info.build, .zone = info.zone, .cell = info.cell};
  attempt.toCandidate = rollout_.isCandidate(info.build);
  if (attempt.toCandidate) exposure_.onAttempt(request);
  attempt.sentAboveMeanLoad = attempt.toCandidate && selector_.exceedsMeanLoad(endpoint, now);
  attempt.timeout = retries_.attemptTimeout(request, endpoint, now);
  request.attempts.push_back(attempt);
  ++request.inFlight;
  if (endpoint.inFlight++ == 0) endpoint.lastOutcomeAt = now;
  overload_.onAttempt();
  slowStart_.onAttempt(endpoint);
  return {RoutingDecision::forward, &endpoint, attempt.timeout, 0, retries_.sendBy(request)};
}

RoutingDecision RoutingPolicy::giveUp(Request &request) {
  request.finished = true;
  return retries_.giveUp(request);
}

Nanoseconds RoutingPolicy::recheckDelay(const Request &request) const {
  return request.inFlight > 0 ? 0 : kRecheckInterval;
}

DueActions RoutingPolicy::runDueTasks(Nanoseconds now) {
  stalls_.onActivity(endpoints_, now, due_);
  voter_.endEvaluationAfterRelease(rollout_, now);
  slowStart_.updateCompletionRate(now);
  overload_.update(now, due_);
  test_.reportRemainders(now, random_, due_);
  voter_.announcePosition(now, due_);
  voter_.castVote(now, due_);
  return std::exchange(due_, {});
}

void RoutingPolicy::onEndpointUpdate(Endpoint &endpoint, const EndpointInfo &info, Nanoseconds now) {
  // An endpoint that was restarted or has a new build keeps its name, but its measurements no longer apply.
  if (info.build != endpoint.info.build || info.startedAt != endpoint.info.startedAt) {
    LatencyTracker::onEndpointReplaced(endpoint);
    LoadBalancer::onEndpointReplaced(endpoint);
    OutlierDetector::onEndpointReplaced(endpoint);
    SlowStart::onEndpointReplaced(endpoint, now, random_);
  }
  endpoints_.onUpdate(endpoint, info);
}

void RoutingPolicy::onLoadReport(Endpoint &endpoint, const std::vector<float> &values, Nanoseconds now) {
  balancer_.onLoadReport(endpoint, values, now);
}

void RoutingPolicy::onRolloutState(const RolloutState &state, Nanoseconds now) {
  const auto change = rollout_.onState(state, now);
  if (change.isOlder) {
    due_.logLines.push_back(formatLine("older rollout state ignored: build %d %s, stage %d, cap %.3f",
                                       state.build, nameOf(state.phase), state.stage, state.exposureCap));
    return;
  }
  if (change.isNewBuild) {
    test_.onNewBuild();
    fusion_.onNewBuild();
  } else if (change.isNewStage) {
    fusion_.onNewStage();
  }
  if (rollout_.isRollingBackOrWithdrawn()) stickyKeys_.onRollback(state.build);
  if (!change.isChanged || change.isFirst) return;
  due_.logLines.push_back(formatLine("build %d %s, stage %d, cap %.3f", state.build, nameOf(state.phase),
                                     state.stage, state.exposureCap));
}

void RoutingPolicy::onVoteReply(VoteReply reply, Nanoseconds now) { voter_.onVoteReply(reply, now, random_); }

void RoutingPolicy::onPeerMessage(int from, const std::uint8_t *bytes, std::size_t size, Nanoseconds now) {
  if (from < 0 || from >= deployment_.instanceCount || from == deployment_.ownIndex) return;
  if (!rollout_.isKnown()) return;
  if (const auto position = decodePosition(bytes, size)) voter_.onPosition(from, *position, now);
  const auto report = decodeReport(bytes, size);
  if (report && isFusionCenter(deployment_)) fusion_.onReport(from, *report, due_);
}

// The report is evidence about the build that the endpoint ran when it sent the answer, so it is ignored if
// the endpoint has started since then.
void RoutingPolicy::onWrongAnswerReport(const Endpoint &endpoint, Nanoseconds timeSinceSent,
                                        Nanoseconds now) {
  if (now - timeSinceSent >= endpoint.info.startedAt) test_.onWrongAnswer(endpoint.info.build, due_);
}

void RoutingPolicy::onFailureCounts(int build, int route, std::uint32_t failures, std::uint32_t total,
                                    Nanoseconds now) {
  test_.onFailureCounts(build, route, failures, total, now, due_);
}

} // namespace myrtlehead
