#include "router/router.h"

#include <algorithm>
#include <xxhash.h>

namespace myrtlehead {

namespace {

constexpr Nanoseconds kEndpointRetention = 120 * kSecond; // twice the default of the longest route timeout
constexpr std::uint16_t kFingerprintCount = 0xffff;       // fingerprints are 1 to 0xffff; 0 means none
constexpr Nanoseconds kRejectionLogInterval = kSecond;

std::uint16_t fingerprintOf(const std::string &name) {
  return static_cast<std::uint16_t>(1 + XXH64(name.data(), name.size(), 0) % kFingerprintCount);
}

ListEvent listEventOf(CallEnd end) {
  switch (end) {
  case CallEnd::rejected:
    return ListEvent::callRejected;
  case CallEnd::unreachable:
    return ListEvent::callUnreachable;
  case CallEnd::connectionRefused:
    return ListEvent::callRefused;
  case CallEnd::watchClosed:
    return ListEvent::watchClosed;
  case CallEnd::watchSilent:
    return ListEvent::watchSilent;
  }
  return ListEvent::none;
}

} // namespace

RequestContext::RequestContext(int route, std::uint64_t key, Nanoseconds timeout, bool isClientRetry,
                               Nanoseconds now) {
  request_.route = route;
  request_.key = key;
  request_.receivedAt = now;
  request_.deadline = now + timeout;
  request_.isClientRetry = isClientRetry;
}

bool RequestContext::mayHaveBeenExecuted() const {
  return std::ranges::any_of(request_.attempts, &Attempt::mayHaveExecuted);
}

// Each engine of random numbers has its own seed, so that the draws for one purpose don't change the
// decisions for another. The value seed + 2 is not used.
Router::Router(sched::Scheduler &sched, Deployment deployment, std::uint64_t seed, log::Log &log)
    : sched_(sched), log_(log), policy_(std::move(deployment), seed, sched.now()), priorityRandom_(seed + 1),
      gossip_(policy_.deployment().ownIndex, policy_.deployment().instanceCount, policy_.deployment().zone),
      gossipRandom_(seed + 3), subscription_(policy_.deployment()), subscriptionRandom_(seed + 4) {}

double Router::drawPollJitter() { return drawUniform(subscriptionRandom_); }

double Router::drawForPriorityGroup() { return drawUniform(priorityRandom_); }

AttemptDecision Router::toAttemptDecision(RequestContext &context, const RoutingDecision &decision) {
  isIdle_ = false;
  activity_.notify();
  context.endpoint_ = nullptr;
  switch (decision.action) {
  case RoutingDecision::forward:
    context.endpoint_ = endpointsByPolicyEndpoint_.at(decision.endpoint);
    context.endpointVersion_ = context.endpoint_->version;
    context.rolloutVersion_ = rolloutVersion_;
    context.build_ = decision.endpoint->info.build;
    return {AttemptDecision::forward, context.endpoint_, now() + decision.timeout, decision.sendBy, 0};
  case RoutingDecision::shed:
    return {AttemptDecision::shed, nullptr, 0, 0, decision.retryAfter};
  case RoutingDecision::fail:
    return {AttemptDecision::fail};
  case RoutingDecision::wait:
  case RoutingDecision::none:
    break;
  }
  return {};
}

sched::Task<AttemptDecision> Router::nextAttempt(RequestContext &context,
                                                 sched::CancellationToken &cancellation) {
  if (cancellation.isCancelled()) co_return AttemptDecision{};
  auto &request = context.request_;
  if (prioritySelector_.groupCount() > 1)
    request.priorityGroup = prioritySelector_.select(drawForPriorityGroup());
  for (;;) {
    const auto decision = policy_.route(request, now());
    if (decision.action != RoutingDecision::wait) co_return toAttemptDecision(context, decision);
    const auto woken = co_await sched_.sleep(policy_.recheckDelay(request), &cancellation);
    if (woken == sched::WakeReason::cancelled) co_return AttemptDecision{};
  }
}

AttemptDecision Router::onAttemptFinished(RequestContext &context, Outcome outcome) {
  auto &request = context.request_;
  const auto attemptIndex = request.attempts.size() - 1; // of the attempt in flight
  const Nanoseconds duration = now() - request.attempts[attemptIndex].sentAt;
  const auto &deployment = policy_.deployment();
  const bool hasLatency = outcome == Outcome::succeeded || outcome == Outcome::timedOut;
  if (prioritySelector_.groupCount() > 1 && hasLatency) {
    const auto &route = deployment.routes[static_cast<std::size_t>(request.route)];
    const auto objective = std::max<Nanoseconds>(route.latencyObjective, 1);
    prioritySelector_.onAttemptFinished(context.endpoint_->policyEndpoint->info.priorityGroup,
                                        static_cast<double>(duration) / static_cast<double>(objective));
    request.priorityGroup = prioritySelector_.select(drawForPriorityGroup());
  }
  if (deployment.hasPeers && context.endpoint_->version == context.endpointVersion_) {
    auto &endpoint = *context.endpoint_->policyEndpoint;
    gossip_.onOutcome(endpoint.fingerprint, outcome);
    endpoint.health.peerSuspicionUntil = gossip_.suspectUntil(endpoint.fingerprint);
  }
  if (outcome == Outcome::rejected) logRejection(context);
  const bool isAnswered = outcome == Outcome::succeeded || request.finished;
  return toAttemptDecision(
      context, policy_.onAttemptFinished(request, attemptIndex, outcome, duration, isAnswered, now()));
}

bool Router::isStillCurrent(const RequestContext &context) const {
  const auto *endpoint = context.endpoint_;
  if (endpoint == nullptr || endpoint->version != context.endpointVersion_) return false;
  return context.rolloutVersion_ == rolloutVersion_ || context.build_ < policy_.rolloutState().build;
}

void Router::onClientDisconnected(RequestContext &context) { policy_.onClientDisconnected(context.request_); }

// Ignores a report by an earlier incarnation of the endpoint.
void Router::onLoadReport(const RequestContext &context, const std::vector<float> &values) {
  const auto *endpoint = context.endpoint_;
  if (endpoint != nullptr && endpoint->version == context.endpointVersion_)
    policy_.onLoadReport(*endpoint->policyEndpoint, values, now());
}

sched::Task<> Router::awaitListPollDue() {
  while (now() < subscription_.nextCallAt())
    co_await sched_.wait(pollScheduleChanged_, {subscription_.nextCallAt(), nullptr});
  subscription_.onCallSent(now());
  listHistory_.add(ListEvent::callSent, now());
}

UpstreamEndpoint &Router::getOrAddEndpoint(const std::string &name) {
  auto &known = endpointsByName_[name];
  if (known != nullptr) return *known;
  known = &reuseOrAddEndpoint();
  known->name = name;
  known->lastReadyAt = now();
  known->policyEndpoint->id = known->index;
  known->policyEndpoint->fingerprint = fingerprintOf(name);
  return *known;
}

// Reuses the entry of an endpoint that has not been listed for longer than any request lasts and has no
// attempt in flight, so that an endless sequence of new endpoint names does not use up memory.
UpstreamEndpoint &Router::reuseOrAddEndpoint() {
  const auto unused = std::find_if(endpoints_.begin(), endpoints_.end(),
                                   [&](const UpstreamEndpoint &endpoint) {
                                     return !endpoint.isReady && endpoint.policyEndpoint->inFlight == 0 &&
                                            now() - endpoint.lastReadyAt >= kEndpointRetention;
                                   });
  if (unused != endpoints_.end()) {
    endpointsByName_.erase(unused->name);
    *unused->policyEndpoint = Endpoint{};
    ++unused->version;
    return *unused;
  }
  auto &added = endpoints_.emplace_back();
  added.index = endpoints_.size() - 1;
  added.policyEndpoint = &policy_.addEndpoint();
  endpointsByPolicyEndpoint_[added.policyEndpoint] = &added;
  return added;
}

void Router::onEndpointUpdates(const std::vector<Entry> &entries, bool isComplete) {
  if (merge_ == nullptr) return applyUpdates(entries, isComplete);
  using endpoint_merge::ListUpdate;
  merge_->onEndpointList(entries, isComplete ? ListUpdate::complete : ListUpdate::partial, now());
  applyUpdates(merge_->mergedEndpoints(now()), true);
}

void Router::setEndpointMerge(endpoint_merge::EndpointMerge &merge) { merge_ = &merge; }

void Router::onEndpointMergeChanged() { applyUpdates(merge_->mergedEndpoints(now()), true); }

// Renames known endpoints whose address is now listed under another name, so that an endpoint keeps its
// state. The list and DNS records may name the same endpoint differently, and either can determine its name.
void Router::renameEndpointsByAddress(const std::vector<Entry> &entries) {
  std::unordered_map<std::string_view, UpstreamEndpoint *> byAddress;
  for (auto &endpoint : endpoints_)
    if (endpoint.isReady) byAddress[endpoint.address] = &endpoint;
  std::unordered_map<std::string_view, const Entry *> entriesByName;
  for (const auto &entry : entries) entriesByName[entry.name] = &entry;
  for (const auto &entry : entries) {
    const auto found = byAddress.find(entry.address);
    if (found == byAddress.end() || found->second->name == entry.name) continue;
    auto &endpoint = *found->second;
    if (endpointsByName_.contains(entry.name) || entriesByName.contains(endpoint.name)) continue;
    endpointsByName_.erase(endpoint.name);
    endpoint.name = entry.name;
    endpointsByName_[entry.name] = &endpoint;
  }
}

// Passes the state of the priority groups to the selector if there is more than one group now or was at the
// last update.
void Router::updatePriorityShares() {
  if (merge_ == nullptr) return;
  const auto groups = merge_->statistics().priorityGroups;
  if (prioritySelector_.groupCount() <= 1 && groups <= 1) return;
  std::vector<priority_selector::PrioritySelector::Group> observed(std::max<std::size_t>(groups, 1));
  for (const auto *endpoint : policy_.readyEndpoints()) {
    const auto index = static_cast<std::size_t>(endpoint->info.priorityGroup);
    auto &group = observed[std::min(index, observed.size() - 1)];
    ++group.endpoints;
    group.ejected += endpoint->health.ejectedUntil > now();
  }
  prioritySelector_.updateShares(observed, now());
}

void Router::applyUpdates(const std::vector<Entry> &entries, bool isComplete) {
  if (merge_ != nullptr) renameEndpointsByAddress(entries);
  for (const auto &entry : entries) {
    auto &endpoint = getOrAddEndpoint(entry.name);
    const auto &before = endpoint.policyEndpoint->info;
    const auto &after = entry.info;
    const bool isChanged = before.build != after.build || before.startedAt != after.startedAt ||
                           before.state != after.state || endpoint.address != entry.address;
    if (!endpoint.isReady || isChanged) {
      ++endpoint.version;
      gossip_.onEndpointReplaced(endpoint.policyEndpoint->fingerprint);
      endpoint.policyEndpoint->health.peerSuspicionUntil = 0;
    }
    endpoint.address = entry.address;
    policy_.onEndpointUpdate(*endpoint.policyEndpoint, after, now());
  }
  policy_.onEndpointUpdatesApplied(isComplete);
  for (auto &endpoint : endpoints_) {
    if (endpoint.isReady && !endpoint.policyEndpoint->isReady)
      ++endpoint.version; // missing from a complete list
    endpoint.isReady = endpoint.policyEndpoint->isReady;
    if (endpoint.isReady) endpoint.lastReadyAt = now();
  }
  runDueTasks();
}

void Router::onWatchMessage(MessageSource source) {
  subscription_.onMessage(source, now(), drawPollJitter());
  listHistory_.add(source == MessageSource::currentAddress ? ListEvent::message : ListEvent::previousMessage,
                   now());
  pollScheduleChanged_.notify();
}

void Router::onListCallEnded(CallEnding ending, OtherCalls others, bool isLast) {
  if (merge_ != nullptr && isLast) merge_->onEndpointListFailed();
  subscription_.onClosed(ending, others, now(), drawPollJitter());
  listHistory_.add(listEventOf(ending.end), now());
  pollScheduleChanged_.notify();
  runDueTasks();
}

void Router::onDiscoveryAddressChanged() {
  subscription_.onAddressChanged(now(), drawPollJitter());
  listHistory_.add(ListEvent::addressChanged, now());
  pollScheduleChanged_.notify();
}

UpstreamEndpoint *Router::findEndpoint(const std::string &name) {
  const auto found = endpointsByName_.find(name);
  return found == endpointsByName_.end() ? nullptr : found->second;
}

sched::Task<Vote> Router::nextVote() {
  while (pendingVotes_.empty()) co_await sched_.wait(voteQueued_);
  const auto vote = pendingVotes_.front();
  pendingVotes_.pop_front();
  co_return vote;
}

void Router::onVoteReply(VoteReply reply) {
  policy_.onVoteReply(reply, now());
  runDueTasks();
}

void Router::onRolloutState(const RolloutState &state) {
  const auto before = policy_.rolloutState();
  policy_.onRolloutState(state, now());
  if (!policy_.rolloutState().isSameAs(before)) ++rolloutVersion_;
  runDueTasks();
}

void Router::onWrongAnswerReport(const std::string &name, Nanoseconds timeSinceSent) {
  if (auto *endpoint = findEndpoint(name))
    policy_.onWrongAnswerReport(*endpoint->policyEndpoint, timeSinceSent, now());
}

sched::Task<PeerMessage> Router::nextPeerMessage() {
  while (pendingPeerMessages_.empty()) co_await sched_.wait(messageQueued_);
  auto message = std::move(pendingPeerMessages_.front());
  pendingPeerMessages_.pop_front();
  co_return message;
}

void Router::onPeerMessage(int from, std::string_view bytes) {
  const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
  if (const auto message = decodeGossip(data, bytes.size())) {
    gossip_.onGossip(from, *message, now(), gossipRandom_);
    applyGossip(*message);
    return;
  }
  policy_.onPeerMessage(from, data, bytes.size(), now());
  isIdle_ = false;
  activity_.notify();
}

void Router::applyGossip(const GossipMessage &message) {
  for (const auto &observed : message.observations)
    for (auto &endpoint : endpoints_)
      if (endpoint.policyEndpoint->fingerprint == observed.fingerprint)
        endpoint.policyEndpoint->health.peerSuspicionUntil = gossip_.suspectUntil(observed.fingerprint);
}

void Router::updateListFreshness() {
  const auto sources = merge_ != nullptr ? EndpointSources::discoveryAndDns : EndpointSources::discovery;
  const Nanoseconds since = subscription_.proofRequiredSince(now(), sources);
  const Nanoseconds before = policy_.requiredSuccessSince();
  if (since == kNoProofAccepted && before != since)
    log_.warning(subscription_.hasMoveExpired(now())
                     ? "discovery's new address has sent no list: nothing is forwarded until one arrives"
                     : "the endpoint list may lack changes: nothing is forwarded until one arrives");
  else if (since != 0 && before == 0)
    log_.info("endpoint list out of date: forwarding only to endpoints that answered recently");
  else if (since == 0 && before != 0)
    log_.info("endpoint list up to date again");
  if ((since == 0) != (before == 0) || (since == kNoProofAccepted) != (before == kNoProofAccepted))
    listHistory_.add(since == 0                  ? ListEvent::listRelied
                     : since == kNoProofAccepted ? ListEvent::forwardingStopped
                                                 : ListEvent::proofRequired,
                     now());
  policy_.requireSuccessSince(since);
}

// An endpoint that turns an attempt away may be draining, which this instance should have known.
void Router::logRejection(const RequestContext &context) {
  const bool isTooSoon = rejectionLoggedAt_ != 0 && now() - rejectionLoggedAt_ < kRejectionLogInterval;
  if (isTooSoon) return;
  rejectionLoggedAt_ = now();
  const auto &attempt = context.request_.attempts.back();
  const auto provenAt = context.endpoint_->policyEndpoint->health.latestSuccessSentAt;
  const auto sentAgo = (now() - attempt.sentAt) / kMillisecond;
  log_.warning("endpoint turned an attempt away: it is full, or draining before the list says so",
               {{"endpoint", context.endpoint_->name},
                {"picked_ms", -sentAgo},
                {"proven_ms", provenAt == 0 ? 0 : (provenAt - now()) / kMillisecond},
                {"list_events_ms", listHistory_.describe(now())}});
}

void Router::runDueTasks() {
  updateListFreshness();
  auto due = policy_.runDueTasks(now());
  if (policy_.deployment().hasPeers)
    for (auto &message : gossip_.takeDueMessages(now(), gossipRandom_))
      due.messages.push_back(std::move(message));
  for (const auto &line : due.logLines) log_.info(line);
  for (auto &message : due.messages) pendingPeerMessages_.push_back(std::move(message));
  if (!due.messages.empty()) messageQueued_.notify();
  for (const auto &vote : due.votes) pendingVotes_.push_back(vote);
  if (!due.votes.empty()) voteQueued_.notify();
}

sched::Task<> Router::run() {
  for (;;) {
    runDueTasks();
    updatePriorityShares();
    isIdle_ = true;
    co_await sched_.sleep(policy_.deployment().tickInterval); // reports in the meantime are handled together
    const sched::Deadline nextRun{now() + policy_.dueTaskInterval(), nullptr};
    if (isIdle_) co_await sched_.wait(activity_, nextRun);
  }
}

} // namespace myrtlehead
