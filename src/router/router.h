// The facade before the decisions, in blocking style: network code awaits what to do with a request and
// reports what came of each attempt; control code notifies of the endpoint list, the rollout and the peers.
// It knows no protocol and decides nothing.
#pragma once

#include "base/log/log.h"
#include "base/sched/scheduler.h"
#include "policy/discovery_subscription.h"
#include "policy/endpoint_merge.h"
#include "policy/outlier_gossip.h"
#include "policy/priority_selector.h"
#include "policy/routing_policy.h"

#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace myrtlehead {

// An endpoint as network code knows it.
struct UpstreamEndpoint {
  std::string name;
  std::string address;                // IP address and port
  std::size_t index = 0;              // in the order in which endpoints were first listed
  std::uint64_t version = 0;          // grows with each change of its build, start, state or address
  bool isReady = false;               // by the latest list
  Nanoseconds lastReadyAt = 0;        // when it was last listed as ready, or was first met
  Endpoint *policyEndpoint = nullptr; // as the decisions know it
};

// RoutingDecision for network code: any waiting has been done, and the timeout is a deadline.
struct AttemptDecision {
  enum Action { forward, shed, fail, none } action = none;
  UpstreamEndpoint *endpoint = nullptr; // forward
  Nanoseconds deadline = 0;             // forward: give the attempt up then
  Nanoseconds sendBy = 0;               // forward: its last byte may not leave later
  Nanoseconds retryAfter = 0;           // shed: when the client should come back; 0: not said
};

// One request in flight, from the moment that it was received.
class RequestContext {
public:
  // timeout: how long the client waits from `now` on.
  RequestContext(int route, std::uint64_t key, Nanoseconds timeout, bool isClientRetry, Nanoseconds now);

private:
  friend class Router;
  Request request_;
  UpstreamEndpoint *endpoint_ = nullptr; // of the attempt in flight
  std::uint64_t endpointVersion_ = 0;    // when the attempt was decided on, as are the next two
  std::uint64_t rolloutVersion_ = 0;
  int build_ = 0;
};

using endpoint_merge::Entry;

class Router {
public:
  Router(sched::Scheduler &sched, Deployment deployment, std::uint64_t seed, log::Log &log);

  // Requests.

  // Returns once there is something to do with the request, or the token is cancelled.
  sched::Task<AttemptDecision> nextAttempt(RequestContext &context, sched::CancellationToken &cancellation);
  // The attempt in flight has ended. Returns what to do next.
  AttemptDecision onAttemptFinished(RequestContext &context, Outcome outcome);
  // Whether the endpoint and the rollout are unchanged since the attempt in flight was decided on; if not, it
  // must not be sent.
  bool isStillCurrent(const RequestContext &context) const;
  void onClientDisconnected(RequestContext &context);
  // The load report that came with the attempt in flight, in the order of the deployment's fields.
  void onLoadReport(const RequestContext &context, const std::vector<float> &values);

  // The endpoint list.

  // Returns when the list must be polled, and records the poll.
  sched::Task<> awaitListPollDue();
  // isComplete: endpoints that are not among the entries are gone.
  void onEndpointUpdates(const std::vector<Entry> &entries, bool isComplete);
  // Any message of an open watch.
  void onWatchMessage(MessageSource source);
  // A call for the list or a watch has ended. isLast: nothing else is open.
  void onListCallEnded(CallEnd end, OtherCalls others, bool isLast);
  void onDiscoveryAddressChanged();
  UpstreamEndpoint *findEndpoint(const std::string &name);

  // From now on the list goes through the merge, which adds the endpoints of DNS records and must live as
  // long.
  void setEndpointMerge(endpoint_merge::EndpointMerge &merge);
  // The merge holds something new, or its time has come.
  void onEndpointMergeChanged();

  // The rollout.
  sched::Task<Vote> nextVote();
  void onVoteReply(VoteReply reply);
  void onRolloutState(const RolloutState &state);
  void onWrongAnswerReport(const std::string &endpoint, Nanoseconds sentAgo);

  // Other instances.
  sched::Task<PeerMessage> nextPeerMessage();
  void onPeerMessage(int from, std::string_view bytes);

  // Does what falls due of itself, for as long as the instance lives.
  sched::Task<> run();

private:
  AttemptDecision toAttempt(RequestContext &context, const RoutingDecision &decision);
  UpstreamEndpoint &endpointNamed(const std::string &name);
  UpstreamEndpoint &reuseOrAddEndpoint();
  void applyUpdates(const std::vector<Entry> &entries, bool isComplete);
  void adoptLeadingNames(const std::vector<Entry> &entries);
  void observePriorityGroups();
  void applyGossip(const GossipMessage &message);
  void updateListTrust();
  void runDueTasks();
  double drawForList();
  double drawForGroups();
  Nanoseconds now() const { return sched_.now(); }

  sched::Scheduler &sched_;
  log::Log &log_;
  RoutingPolicy policy_;
  endpoint_merge::EndpointMerge *merge_ = nullptr; // null: the list alone
  priority_selector::PrioritySelector prioritySelector_;
  RandomEngine priorityRandom_;
  OutlierGossip gossip_; // where instances may send each other messages
  RandomEngine gossipRandom_;
  DiscoverySubscription subscription_;
  RandomEngine subscriptionRandom_;
  std::deque<UpstreamEndpoint> endpoints_;
  std::unordered_map<std::string, UpstreamEndpoint *> byName_;
  std::unordered_map<const Endpoint *, UpstreamEndpoint *> byEndpoint_;
  RolloutState rolloutState_;
  std::uint64_t rolloutVersion_ = 0; // grows with each change of the rollout's state
  std::deque<Vote> votes_;
  std::deque<PeerMessage> messages_;
  sched::Event activity_; // run() must not wait any longer
  sched::Event listRequestChanged_;
  sched::Event voteQueued_;
  sched::Event messageQueued_;
  bool isIdle_ = true; // nothing has come in since the last look
};

} // namespace myrtlehead
