// The routing policy of one instance decides where each request goes, what follows each outcome and how the
// instance votes on the newest build. The other classes in this directory implement one rule each; this class
// owns them and defines the order in which they are applied.
//
// The policy does no I/O: the caller passes the current time, carries out the decisions and reports events.
// All randomness comes from the seed.
#pragma once

#include "policy/build_selector.h"
#include "policy/deployment.h"
#include "policy/due_actions.h"
#include "policy/endpoint_set.h"
#include "policy/exposure_budget.h"
#include "policy/fusion_center.h"
#include "policy/latency_tracker.h"
#include "policy/load_balancer.h"
#include "policy/outlier_detector.h"
#include "policy/overload_controller.h"
#include "policy/random.h"
#include "policy/request.h"
#include "policy/retry_policy.h"
#include "policy/rollout_tracker.h"
#include "policy/rollout_voter.h"
#include "policy/sequential_test.h"
#include "policy/slow_start.h"
#include "policy/stall_detector.h"
#include "policy/sticky_keys.h"

namespace myrtlehead {

class RoutingPolicy {
public:
  RoutingPolicy(Deployment deployment, std::uint64_t seed, Nanoseconds now);
  RoutingPolicy(const RoutingPolicy &) = delete;
  RoutingPolicy &operator=(const RoutingPolicy &) = delete;

  // Decides about a request that has no attempt in flight.
  RoutingDecision route(Request &request, Nanoseconds now);
  // Decides about a request after an attempt. attemptIndex: index into Request::attempts. isAnswered: the
  // client has received its final answer.
  RoutingDecision onAttemptFinished(Request &request, std::size_t attemptIndex, Outcome outcome,
                                    Nanoseconds duration, bool isAnswered, Nanoseconds now);
  // Delay until route() should be called again for a waiting request; 0: an attempt is in flight, so
  // onAttemptFinished() comes next.
  Nanoseconds recheckDelay(const Request &request) const;
  // Delay until runDueTasks() should be called again.
  Nanoseconds dueTaskInterval() const { return StallDetector::kCheckInterval; }
  // Must be called after each batch of notifications, and every dueTaskInterval(). Returns the votes,
  // messages and log lines since the last call.
  DueActions runDueTasks(Nanoseconds now);

  // Notifications of the endpoint list.
  Endpoint &addEndpoint() { return endpoints_.add(); }
  void onEndpointUpdate(Endpoint &endpoint, const EndpointInfo &info, Nanoseconds now);
  // See EndpointSet::onUpdatesApplied().
  void onEndpointUpdatesApplied(bool isFullList) { endpoints_.onUpdatesApplied(isFullList); }
  // See OutlierDetector::requireSuccessSince().
  void requireSuccessSince(Nanoseconds since) { outliers_.requireSuccessSince(since); }
  void onLoadReport(Endpoint &endpoint, const std::vector<float> &values, Nanoseconds now);

  // Notifications of the rollout and of other instances. A state older than the known one is ignored.
  void onRolloutState(const RolloutState &state, Nanoseconds now);
  void onVoteReply(VoteReply reply, Nanoseconds now);
  void onPeerMessage(int from, const std::uint8_t *bytes, std::size_t size, Nanoseconds now);
  // A client has reported a wrong answer of the endpoint. `timeSinceSent`: the age of the answer.
  void onWrongAnswerReport(const Endpoint &endpoint, Nanoseconds timeSinceSent, Nanoseconds now);
  // See SequentialTest::onFailureCounts().
  void onFailureCounts(int build, int route, std::uint32_t failures, std::uint32_t total, Nanoseconds now);

  // Notifications of a request.
  void onAnswerStarted(Request &request) { request.answerStarted = true; }
  void onClientDisconnected(Request &request) { request.finished = true; }

  // The newest rollout state that is known.
  const RolloutState &rolloutState() const { return rollout_.state(); }
  // The deployment as configured, except that tenantQuotas holds this instance's share of the quotas.
  const Deployment &deployment() const { return deployment_; }
  std::deque<Endpoint> &endpoints() { return endpoints_.all(); }
  const std::vector<Endpoint *> &readyEndpoints() const { return endpoints_.ready(); }
  Nanoseconds requiredSuccessSince() const { return outliers_.requiredSuccessSince(); }

private:
  friend struct PolicyTestPeer;
  void countRequest(Request &request);
  void countOutcome(const Request &request, const Attempt &attempt, Outcome outcome, Nanoseconds duration,
                    Nanoseconds now);
  RoutingDecision forward(Request &request, Endpoint &endpoint, Nanoseconds now);
  RoutingDecision giveUp(Request &request);

  Deployment deployment_;
  RandomEngine random_;
  EndpointSet endpoints_;
  StallDetector stalls_;
  RolloutTracker rollout_;
  LatencyTracker latency_;
  SlowStart slowStart_;
  OutlierDetector outliers_;
  OverloadController overload_;
  RetryPolicy retries_;
  ExposureBudget exposure_;
  StickyKeys stickyKeys_;
  FusionCenter fusion_;
  SequentialTest test_;
  RolloutVoter voter_;
  LoadBalancer balancer_;
  BuildSelector selector_;
  DueActions due_; // collected until runDueTasks() returns them
};

} // namespace myrtlehead
