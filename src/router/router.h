// The facade before the decision module, in blocking style: network code awaits what to do and reports what
// came of it. It knows no protocol and decides nothing; the guard's facts and due lists stay behind it.
#pragma once

#include "base/log/log.h"
#include "base/sched/scheduler.h"
#include "policy/discovery_subscription.h"
#include "policy/endpoint_merge.h"
#include "policy/guard.h"
#include "policy/outlier_gossip.h"
#include "policy/priority_selector.h"

#include <deque>
#include <unordered_map>

namespace myrtlehead {

// An endpoint as network code knows it.
struct UpstreamEndpoint {
  std::string name, address;
  std::size_t index = 0;     // in the order of first listing
  std::uint64_t changes = 0; // grows with each change of its build, start, mode or address
  bool listed = false;       // named by the list, and ready
  Nanoseconds namedAt = 0;   // when it was last named as ready, or was first met
  Endpoint *node = nullptr;
};

struct AttemptDecision {
  enum Action { forward, shed, fail, none } action = none;
  UpstreamEndpoint *endpoint = nullptr;
  Nanoseconds deadline = 0;   // forward: give the attempt up then
  Nanoseconds sendBy = 0;     // forward: its last byte may not leave later
  Nanoseconds retryAfter = 0; // shed: time for the client to come back, 0 for none
};

// One request in hand, from the moment that it was taken.
class RequestContext {
public:
  RequestContext(int route, std::uint64_t key, Nanoseconds patience, bool repeat, Nanoseconds now);

private:
  friend class Router;
  Request rq_;
  UpstreamEndpoint *target_ = nullptr; // of the attempt that is out
  std::uint64_t changes_ = 0, news_ = 0;
  int build_ = 0;
};

using endpoint_merge::Entry;

class Router {
public:
  Router(sched::Scheduler &sched, Deployment deployment, std::uint64_t seed, log::Log &log);

  // Requests.
  sched::Task<AttemptDecision>
  nextAttempt(RequestContext &call, sched::CancellationToken &stop); // returns once there is something to do
  AttemptDecision onAttemptFinished(RequestContext &call, Outcome outcome); // of the attempt that was out
  bool isStillCurrent(
      const RequestContext &call) const; // whether list and news stand as when the attempt was picked
  void onClientDisconnected(RequestContext &call); // the client has gone away
  void onLoadReport(const RequestContext &call,
                    const std::vector<float> &values); // as reported with the attempt that is out

  // The endpoint list.
  sched::Task<>
  nextListRequest(); // returns when a subscription is to be asked for, and takes it as asked for
  void onEndpointUpdates(const std::vector<Entry> &entries, bool whole);
  void
  onListMessage(bool here); // a sign of life, or what listed() was told; here: at discovery's present place
  void onListClosed(discovery_subscription::Ended how, discovery_subscription::Others others,
                    bool last); // last: nothing is open
  void onDiscoveryMoved();      // discovery is somewhere else from now on
  UpstreamEndpoint *findEndpoint(const std::string &name);

  // Name records: from now on the list and they make one set by the rule of `sources`, which must live as
  // long.
  void mergeWith(endpoint_merge::EndpointMerge &sources);
  void onMergeChanged(); // what names have told has changed, or its time has come

  // The platform.
  sched::Task<Vote> nextVote();
  void onVoteReply(VoteReply reply);
  void onRolloutState(const RolloutState &news);
  void onWrongAnswerReport(const std::string &node, int route, Nanoseconds age);

  // Other instances.
  sched::Task<PeerMessage> nextPeerMessage();
  void onPeerMessage(int from, std::string_view bytes);

  sched::Task<> run(); // asks the module round, for as long as the instance lives

private:
  AttemptDecision carryOut(RequestContext &call, const RoutingDecision &decision);
  UpstreamEndpoint &known(const std::string &name);
  void apply(const std::vector<Entry> &entries, bool whole);
  double listDraw();
  void rename(const std::vector<Entry> &entries);
  void observeGroups();
  void doubt(const outlier_gossip::Telling &telling);
  void round();
  Nanoseconds now() const { return sched_.now(); }

  sched::Scheduler &sched_;
  log::Log &log_;
  Guard guard_;
  endpoint_merge::EndpointMerge *sources_ = nullptr; // none: the list alone
  priority_selector::PrioritySelector preference_;
  std::knuth_b groupChance_;
  outlier_gossip::OutlierGossip repute_; // where instances may speak to each other
  std::knuth_b reputeChance_;
  discovery_subscription::DiscoverySubscription subscription_;
  std::knuth_b listChance_;
  std::deque<UpstreamEndpoint> targets_;
  std::unordered_map<std::string, UpstreamEndpoint *> byName_;
  std::unordered_map<const Endpoint *, UpstreamEndpoint *> byNode_;
  RolloutState news_;
  std::uint64_t newsChanges_ = 0;
  std::deque<Vote> votes_;
  std::deque<PeerMessage> notes_;
  sched::Event touched_, listSignal_, voteSignal_, noteSignal_;
  bool untouched_ = true;
};

} // namespace myrtlehead
