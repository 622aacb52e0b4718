// The coroutine interface to the routing policy. Network code awaits the next attempt for a request and
// reports the outcome of each attempt. Control code reports changes of the endpoint list, the rollout and the
// peers. The router knows no wire protocol, and all decisions are made by the policy.
#pragma once

#include "base/log/log.h"
#include "base/sched/scheduler.h"
#include "policy/discovery_subscription.h"
#include "policy/endpoint_merge.h"
#include "policy/outlier_gossip.h"
#include "policy/priority_selector.h"
#include "policy/routing_policy.h"
#include "router/list_history.h"

#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace myrtlehead {

// An endpoint as network code sees it.
struct UpstreamEndpoint {
  std::string name;
  std::string address;                // IP address and port
  std::size_t index = 0;              // position in the order in which endpoints were added
  std::uint64_t version = 0;          // incremented when the build, start time, state or address changes
  bool isReady = false;               // according to the latest list
  Nanoseconds lastReadyAt = 0;        // when it was last listed as ready, or else when it was added
  Endpoint *policyEndpoint = nullptr; // the same endpoint in the policy
};

// A RoutingDecision for network code: waiting has been done already, and the timeout is a deadline.
struct AttemptDecision {
  // forward: send an attempt to `endpoint`. shed: reject the request; a retry is safe. fail: answer with an
  // error, because an attempt may have been executed. none: nothing is to be done.
  enum Action { forward, shed, fail, none } action = none;
  UpstreamEndpoint *endpoint = nullptr; // forward
  Nanoseconds deadline = 0;             // forward: the attempt times out at this time
  Nanoseconds sendBy = 0;               // forward: no byte of the request may be written later
  Nanoseconds retryAfter = 0;           // shed: delay before the client should retry; 0: unspecified
};

// The state of one request in flight.
class RequestContext {
public:
  // `timeout` is how long the client waits for the answer, counted from `now`.
  RequestContext(int route, std::uint64_t key, Nanoseconds timeout, bool isClientRetry, Nanoseconds now);

  // Whether an endpoint may have executed the request.
  bool mayHaveBeenExecuted() const;

private:
  friend class Router;
  Request request_;
  UpstreamEndpoint *endpoint_ = nullptr; // of the attempt in flight
  // The state on which the decision for the attempt in flight was based.
  std::uint64_t endpointVersion_ = 0;
  std::uint64_t rolloutVersion_ = 0;
  int build_ = 0;
};

using endpoint_merge::Entry;

class Router {
public:
  Router(sched::Scheduler &sched, Deployment deployment, std::uint64_t seed, log::Log &log);

  // Requests.

  // Waits until the policy has decided what to do with the request. Returns `none` if the token is cancelled.
  sched::Task<AttemptDecision> nextAttempt(RequestContext &context, sched::CancellationToken &cancellation);
  // Reports the outcome of the attempt in flight, and returns what to do with the request next.
  AttemptDecision onAttemptFinished(RequestContext &context, Outcome outcome);
  // Whether the decision for the attempt in flight still holds; otherwise the attempt must not be sent. The
  // endpoint must be unchanged. The rollout must be unchanged as well, unless the attempt goes to a build
  // older than the newest.
  bool isStillCurrent(const RequestContext &context) const;
  void onClientDisconnected(RequestContext &context);
  // Reports the load values that came with the attempt in flight, in the order of the deployment's fields.
  void onLoadReport(const RequestContext &context, const std::vector<float> &values);

  // The endpoint list.

  // Returns when the endpoint list must be polled, and records the poll as sent.
  sched::Task<> awaitListPollDue();
  // If `isComplete` is true, endpoints that are not among the entries are removed.
  void onEndpointUpdates(const std::vector<Entry> &entries, bool isComplete);
  // Reports any message of an open watch.
  void onWatchMessage(MessageSource source);
  // Reports that a poll or a watch has ended. `isLast` is true if no other poll or watch is open.
  void onListCallEnded(CallEnding ending, OtherCalls others, bool isLast);
  void onDiscoveryAddressChanged();
  UpstreamEndpoint *findEndpoint(const std::string &name);

  // Passes all further endpoint lists through the merge, which adds the endpoints of DNS records. The merge
  // must outlive the router.
  void setEndpointMerge(endpoint_merge::EndpointMerge &merge);
  // Applies the merged endpoints again, after a change of the merge or when its next change is due.
  void onEndpointMergeChanged();

  // The rollout.
  sched::Task<Vote> nextVote();
  void onVoteReply(VoteReply reply);
  void onRolloutState(const RolloutState &state);
  void onWrongAnswerReport(const std::string &endpoint, Nanoseconds timeSinceSent);

  // Messages to and from other instances.
  sched::Task<PeerMessage> nextPeerMessage();
  void onPeerMessage(int from, std::string_view bytes);

  // Runs the tasks of the policy when they are due. Never returns.
  sched::Task<> run();

private:
  AttemptDecision toAttemptDecision(RequestContext &context, const RoutingDecision &decision);
  UpstreamEndpoint &getOrAddEndpoint(const std::string &name);
  UpstreamEndpoint &reuseOrAddEndpoint();
  void applyUpdates(const std::vector<Entry> &entries, bool isComplete);
  void renameEndpointsByAddress(const std::vector<Entry> &entries);
  void updatePriorityShares();
  void applyGossip(const GossipMessage &message);
  void updateListFreshness();
  void logRejection(const RequestContext &context);
  void runDueTasks();
  double drawPollJitter();
  double drawForPriorityGroup();
  Nanoseconds now() const { return sched_.now(); }

  sched::Scheduler &sched_;
  log::Log &log_;
  RoutingPolicy policy_;
  endpoint_merge::EndpointMerge *merge_ = nullptr; // null: endpoints come from the endpoint list alone
  priority_selector::PrioritySelector prioritySelector_;
  RandomEngine priorityRandom_;
  OutlierGossip gossip_; // used only if the deployment has peers
  RandomEngine gossipRandom_;
  DiscoverySubscription subscription_;
  RandomEngine subscriptionRandom_;
  ListHistory listHistory_;
  Nanoseconds rejectionLoggedAt_ = 0; // 0: never
  std::deque<UpstreamEndpoint> endpoints_;
  std::unordered_map<std::string, UpstreamEndpoint *> endpointsByName_;
  std::unordered_map<const Endpoint *, UpstreamEndpoint *> endpointsByPolicyEndpoint_;
  std::uint64_t rolloutVersion_ = 0; // incremented when the rollout's state changes
  std::deque<Vote> pendingVotes_;
  std::deque<PeerMessage> pendingPeerMessages_;
  sched::Event activity_; // wakes up run()
  sched::Event pollScheduleChanged_;
  sched::Event voteQueued_;
  sched::Event messageQueued_;
  bool isIdle_ = true; // nothing was reported since run() last ran the due tasks
};

} // namespace myrtlehead
