#include "router/router.h"

#include <algorithm>
#include <xxhash.h>

namespace myrtlehead {

namespace {
constexpr Nanoseconds kForgotten = 120 *
                                   kSecond; // twice the longest route timeout that a configuration leaves out
}

RequestContext::RequestContext(int route, std::uint64_t key, Nanoseconds patience, bool repeat,
                               Nanoseconds now) {
  rq_.route = route;
  rq_.key = key;
  rq_.taken = now;
  rq_.deadline = now + patience;
  rq_.clientRepeat = repeat;
}

Router::Router(sched::Scheduler &sched, Deployment deployment, std::uint64_t seed, log::Log &log)
    : sched_(sched), log_(log), guard_(std::move(deployment), seed, sched.now()), groupChance_(seed + 1),
      repute_(guard_.s.d.ownIndex, guard_.s.d.instanceCount, guard_.s.d.zone), reputeChance_(seed + 3),
      subscription_(guard_.s.d), listChance_(seed + 4) {}

double Router::listDraw() { return std::uniform_real_distribution<double>(0, 1)(listChance_); }

AttemptDecision Router::carryOut(RequestContext &call, const RoutingDecision &decision) {
  untouched_ = false;
  touched_.notify();
  call.target_ = nullptr;
  switch (decision.action) {
  case RoutingDecision::forward:
    call.target_ = byNode_.at(decision.endpoint);
    call.changes_ = call.target_->changes;
    call.news_ = newsChanges_;
    call.build_ = decision.endpoint->info.build;
    return {AttemptDecision::forward, call.target_, now() + decision.timeout, decision.sendBy, 0};
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

sched::Task<AttemptDecision> Router::nextAttempt(RequestContext &call, sched::CancellationToken &stop) {
  if (stop.isCancelled()) co_return AttemptDecision{}; // nobody waits for it any more
  if (preference_.groups() > 1)
    call.rq_.priorityGroup = preference_.pick(std::uniform_real_distribution<double>(0, 1)(groupChance_));
  for (;;) {
    const auto decision = guard_.where(call.rq_, now());
    if (decision.action != RoutingDecision::wait) co_return carryOut(call, decision);
    const Nanoseconds wait = guard_.wait(call.rq_, now());
    if (co_await sched_.sleep(wait, &stop) == sched::WakeReason::cancelled) co_return AttemptDecision{};
  }
}

AttemptDecision Router::onAttemptFinished(RequestContext &call, Outcome outcome) {
  auto &rq = call.rq_;
  const auto last = rq.tries.size() - 1;
  const Nanoseconds took = now() - rq.tries[last].sent;
  if (preference_.groups() > 1 && (outcome == Outcome::succeeded || outcome == Outcome::timedOut)) {
    const auto latencyObjective = guard_.s.d.routes[static_cast<std::size_t>(rq.route)].latencyObjective;
    preference_.finished(call.target_->node->info.priorityGroup,
                         static_cast<double>(took) /
                             static_cast<double>(std::max<Nanoseconds>(latencyObjective, 1)));
    rq.priorityGroup = preference_.pick(std::uniform_real_distribution<double>(0, 1)(groupChance_));
  }
  if (guard_.s.d.hasPeers && call.target_->changes == call.changes_) { // else nobody would be told
    auto &node = *call.target_->node;
    repute_.finished(node.mark, outcome);
    node.doubtedUntil = repute_.doubtedUntil(node.mark);
  }
  const bool settled = outcome == Outcome::succeeded || rq.ended;
  return carryOut(call, guard_.after(rq, static_cast<int>(last), outcome, took, settled, now()));
}

bool Router::isStillCurrent(const RequestContext &call) const {
  const bool sameNode = call.target_ != nullptr && call.target_->changes == call.changes_;
  return sameNode && (call.news_ == newsChanges_ || call.build_ < news_.build);
}

void Router::onClientDisconnected(RequestContext &call) { guard_.gone(call.rq_); }

// Guards an endpoint's new life against a report of its former one.
void Router::onLoadReport(const RequestContext &call, const std::vector<float> &values) {
  const auto *t = call.target_;
  if (t != nullptr && t->changes == call.changes_) guard_.loadReport(*t->node, values, now());
}

sched::Task<> Router::nextListRequest() {
  while (now() < subscription_.callAt()) co_await sched_.wait(listSignal_, {subscription_.callAt(), nullptr});
  subscription_.called(now());
}

// Guards memory against endpoint names that are ever new: a place that no list has named for longer than any
// request lasts, and that no attempt is out at, is taken for the next name.
UpstreamEndpoint &Router::known(const std::string &name) {
  auto &place = byName_[name];
  if (place != nullptr) return *place;
  const auto free = std::find_if(targets_.begin(), targets_.end(), [&](const UpstreamEndpoint &t) {
    return !t.listed && t.node->inflight == 0 && now() - t.namedAt >= kForgotten;
  });
  if (free != targets_.end()) {
    place = &*free;
    byName_.erase(place->name);
    *place->node = Endpoint{};
    ++place->changes;
  } else {
    place = &targets_.emplace_back();
    place->index = targets_.size() - 1;
    place->node = &guard_.addEndpoint();
    byNode_[place->node] = place;
  }
  place->name = name;
  place->node->door = place->index;
  place->node->mark = static_cast<std::uint16_t>(1 + XXH64(name.data(), name.size(), 0) % 0xffff);
  place->namedAt = now();
  return *place;
}

void Router::onEndpointUpdates(const std::vector<Entry> &entries, bool whole) {
  if (sources_ == nullptr) return apply(entries, whole);
  sources_->listed(entries, whole, now());
  apply(sources_->merged(now()), true);
}

void Router::mergeWith(endpoint_merge::EndpointMerge &sources) { sources_ = &sources; }

void Router::onMergeChanged() { apply(sources_->merged(now()), true); }

// Guards an endpoint that list and names call differently: it keeps its life where the name that leads
// changes.
void Router::rename(const std::vector<Entry> &entries) {
  std::unordered_map<std::string_view, UpstreamEndpoint *> byAddress;
  for (auto &t : targets_)
    if (t.listed) byAddress[t.address] = &t;
  std::unordered_map<std::string_view, const Entry *> named;
  for (const auto &e : entries) named[e.name] = &e;
  for (const auto &e : entries) {
    const auto t = byAddress.find(e.address);
    if (t == byAddress.end() || t->second->name == e.name || byName_.contains(e.name) ||
        named.contains(t->second->name))
      continue;
    byName_.erase(t->second->name);
    t->second->name = e.name;
    byName_[e.name] = t->second;
  }
}

// What rests is counted each tenth of a second; only where there is more than one group.
void Router::observeGroups() {
  if (sources_ == nullptr || (preference_.groups() <= 1 && sources_->figures().priorityGroups <= 1)) return;
  std::vector<priority_selector::PrioritySelector::Group> groups(
      std::max<std::size_t>(sources_->figures().priorityGroups, 1));
  for (const auto *n : guard_.s.ready) {
    const auto priorityGroup = std::min(static_cast<std::size_t>(n->info.priorityGroup), groups.size() - 1);
    ++groups[priorityGroup].servers;
    groups[priorityGroup].resting += n->restUntil > now();
  }
  preference_.observe(groups, now());
}

void Router::apply(const std::vector<Entry> &entries, bool whole) {
  if (sources_ != nullptr) rename(entries);
  for (const auto &e : entries) {
    auto &t = known(e.name);
    const auto &was = t.node->info;
    const auto &is = e.info;
    if (!t.listed || was.build != is.build || was.startedAt != is.startedAt || was.state != is.state ||
        t.address != e.address) {
      ++t.changes;
      repute_.forget(t.node->mark);
      t.node->doubtedUntil = 0;
    }
    t.address = e.address;
    guard_.listed(*t.node, is, now());
  }
  guard_.listComplete(whole);
  for (auto &t : targets_) {
    if (t.listed && !t.node->named) ++t.changes; // left out of a whole list
    t.listed = t.node->named;
    if (t.listed) t.namedAt = now();
  }
  round();
}

void Router::onListMessage(bool here) {
  subscription_.line(here, now(), listDraw());
  listSignal_.notify();
}

void Router::onListClosed(discovery_subscription::Ended how, discovery_subscription::Others others,
                          bool last) {
  if (sources_ != nullptr && last) sources_->listFailed();
  subscription_.ended(how, others, now(), listDraw());
  listSignal_.notify();
  round();
}

void Router::onDiscoveryMoved() {
  subscription_.moved(now(), listDraw());
  listSignal_.notify();
}

UpstreamEndpoint *Router::findEndpoint(const std::string &name) {
  const auto it = byName_.find(name);
  return it == byName_.end() ? nullptr : it->second;
}

sched::Task<Vote> Router::nextVote() {
  while (votes_.empty()) co_await sched_.wait(voteSignal_);
  const auto vote = votes_.front();
  votes_.pop_front();
  co_return vote;
}

void Router::onVoteReply(VoteReply reply) {
  guard_.voteAnswered(reply, now());
  round();
}

void Router::onRolloutState(const RolloutState &news) {
  const bool same = news.build == news_.build && news.stage == news_.stage && news.phase == news_.phase &&
                    news.cap == news_.cap;
  if (!same) ++newsChanges_;
  news_ = news;
  guard_.news(news, now());
  round();
}

void Router::onWrongAnswerReport(const std::string &node, int route, Nanoseconds age) {
  if (auto *t = findEndpoint(node)) guard_.flagged(*t->node, route, age, now());
}

sched::Task<PeerMessage> Router::nextPeerMessage() {
  while (notes_.empty()) co_await sched_.wait(noteSignal_);
  auto note = std::move(notes_.front());
  notes_.pop_front();
  co_return note;
}

void Router::onPeerMessage(int from, std::string_view bytes) {
  const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
  if (const auto telling = outlier_gossip::unpack(data, bytes.size())) {
    repute_.heard(from, *telling, now(), reputeChance_);
    return doubt(*telling);
  }
  guard_.note(from, data, bytes.size(), now());
  untouched_ = false;
  touched_.notify();
}

void Router::doubt(const outlier_gossip::Telling &telling) {
  for (const auto &seen : telling.nodes)
    for (auto &t : targets_)
      if (t.node->mark == seen.node) t.node->doubtedUntil = repute_.doubtedUntil(seen.node);
}

void Router::round() {
  const bool namesFollowed = sources_ != nullptr;
  const Nanoseconds since = subscription_.provenSince(now(), namesFollowed);
  if (since == discovery_subscription::kNothingProven && guard_.s.provenSince != since)
    log_.warning(
        "no list has come since the start and a call for it has failed: nothing is sent until one comes");
  else if (since != 0 && guard_.s.provenSince == 0)
    log_.info("the list is out of date: only nodes that have just served are sent to");
  else if (since == 0 && guard_.s.provenSince != 0)
    log_.info("the list is told again");
  guard_.unsure(since);
  auto due = guard_.due(now());
  if (guard_.s.d.hasPeers)
    for (auto &note : repute_.due(now(), reputeChance_)) due.notes.push_back(std::move(note));
  for (const auto &line : due.lines) log_.info(line);
  for (auto &note : due.notes) notes_.push_back(std::move(note));
  if (!due.notes.empty()) noteSignal_.notify();
  for (const auto &vote : due.votes) votes_.push_back(vote);
  if (!due.votes.empty()) voteSignal_.notify();
}

sched::Task<> Router::run() {
  for (;;) {
    round();
    observeGroups();
    untouched_ = true;
    co_await sched_.sleep(guard_.s.d.tickInterval); // what comes in meanwhile is looked at together
    const sched::Deadline beat{now() + guard_.wait(now()), nullptr};
    if (untouched_) co_await sched_.wait(touched_, beat);
  }
}

} // namespace myrtlehead
