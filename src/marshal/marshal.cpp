#include "marshal/marshal.h"

#include <algorithm>
#include <xxhash.h>

namespace myrtlehead {

namespace {
constexpr Ns kForgotten = 120 * kSec; // twice the longest route timeout that a configuration leaves out
}

Call::Call(int route, std::uint64_t key, Ns patience, bool repeat, Ns now) {
  rq_.route = route;
  rq_.key = key;
  rq_.taken = now;
  rq_.deadline = now + patience;
  rq_.clientRepeat = repeat;
}

Marshal::Marshal(sched::Scheduler &sched, Deployment deployment, std::uint64_t seed, log::Log &log)
    : sched_(sched), log_(log), guard_(std::move(deployment), seed, sched.now()), groupChance_(seed + 1),
      repute_(guard_.s.d.me, guard_.s.d.marshals, guard_.s.d.zone), reputeChance_(seed + 3),
      subscription_(guard_.s.d), listChance_(seed + 4) {}

double Marshal::listDraw() { return std::uniform_real_distribution<double>(0, 1)(listChance_); }

Choice Marshal::carryOut(Call &call, const Step &step) {
  untouched_ = false;
  touched_.notify();
  call.target_ = nullptr;
  switch (step.what) {
  case Step::send:
    call.target_ = byNode_.at(step.node);
    call.changes_ = call.target_->changes;
    call.news_ = newsChanges_;
    call.build_ = step.node->listing.build;
    return {Choice::send, call.target_, now() + step.timeout, step.sendBy, 0};
  case Step::shed:
    return {Choice::shed, nullptr, 0, 0, step.retryAfter};
  case Step::fail:
    return {Choice::fail};
  case Step::hold:
  case Step::nothing:
    break;
  }
  return {};
}

sched::Task<Choice> Marshal::pick(Call &call, sched::Stop &stop) {
  if (stop.requested()) co_return Choice{}; // nobody waits for it any more
  if (preference_.groups() > 1)
    call.rq_.tier = preference_.pick(std::uniform_real_distribution<double>(0, 1)(groupChance_));
  for (;;) {
    const auto step = guard_.where(call.rq_, now());
    if (step.what != Step::hold) co_return carryOut(call, step);
    const Ns wait = guard_.wait(call.rq_, now());
    if (co_await sched_.sleep(wait, &stop) == sched::Woken::stopped) co_return Choice{};
  }
}

Choice Marshal::report(Call &call, Outcome outcome) {
  auto &rq = call.rq_;
  const auto last = rq.tries.size() - 1;
  const Ns took = now() - rq.tries[last].sent;
  if (preference_.groups() > 1 && (outcome == Outcome::completed || outcome == Outcome::timedOut)) {
    const auto objective = guard_.s.d.routes[static_cast<std::size_t>(rq.route)].objective;
    preference_.finished(call.target_->node->listing.tier,
                         static_cast<double>(took) / static_cast<double>(std::max<Ns>(objective, 1)));
    rq.tier = preference_.pick(std::uniform_real_distribution<double>(0, 1)(groupChance_));
  }
  if (guard_.s.d.peers && call.target_->changes == call.changes_) { // else nobody would be told
    auto &node = *call.target_->node;
    repute_.finished(node.mark, outcome);
    node.doubtedUntil = repute_.doubtedUntil(node.mark);
  }
  const bool settled = outcome == Outcome::completed || rq.ended;
  return carryOut(call, guard_.after(rq, static_cast<int>(last), outcome, took, settled, now()));
}

bool Marshal::stillMeant(const Call &call) const {
  const bool sameNode = call.target_ != nullptr && call.target_->changes == call.changes_;
  return sameNode && (call.news_ == newsChanges_ || call.build_ < news_.build);
}

void Marshal::left(Call &call) { guard_.gone(call.rq_); }

// Guards a node's new life against a report of its former one.
void Marshal::load(const Call &call, const std::vector<float> &values) {
  const auto *t = call.target_;
  if (t != nullptr && t->changes == call.changes_) guard_.loadReport(*t->node, values, now());
}

sched::Task<> Marshal::listWanted() {
  while (now() < subscription_.callAt()) co_await sched_.wait(listSignal_, {subscription_.callAt(), nullptr});
  subscription_.called(now());
}

// Guards memory against node names that are ever new: a place that no list has named for longer than any req
// lasts, and that no try is out at, is taken for the next name.
Target &Marshal::known(const std::string &name) {
  auto &place = byName_[name];
  if (place != nullptr) return *place;
  const auto free = std::find_if(targets_.begin(), targets_.end(), [&](const Target &t) {
    return !t.listed && t.node->inflight == 0 && now() - t.namedAt >= kForgotten;
  });
  if (free != targets_.end()) {
    place = &*free;
    byName_.erase(place->name);
    *place->node = Node{};
    ++place->changes;
  } else {
    place = &targets_.emplace_back();
    place->index = targets_.size() - 1;
    place->node = &guard_.newNode();
    byNode_[place->node] = place;
  }
  place->name = name;
  place->node->door = place->index;
  place->node->mark = static_cast<std::uint16_t>(1 + XXH64(name.data(), name.size(), 0) % 0xffff);
  place->namedAt = now();
  return *place;
}

void Marshal::listed(const std::vector<Entry> &entries, bool whole) {
  if (sources_ == nullptr) return apply(entries, whole);
  sources_->listed(entries, whole, now());
  apply(sources_->merged(now()), true);
}

void Marshal::follow(sources::Sources &sources) { sources_ = &sources; }

void Marshal::namesChanged() { apply(sources_->merged(now()), true); }

// Guards a node that list and names call differently: it keeps its life where the name that leads changes.
void Marshal::rename(const std::vector<Entry> &entries) {
  std::unordered_map<std::string_view, Target *> byAddress;
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
void Marshal::observeGroups() {
  if (sources_ == nullptr || (preference_.groups() <= 1 && sources_->figures().groups <= 1)) return;
  std::vector<preference::Preference::Group> groups(std::max<std::size_t>(sources_->figures().groups, 1));
  for (const auto *n : guard_.s.ready) {
    const auto tier = std::min(static_cast<std::size_t>(n->listing.tier), groups.size() - 1);
    ++groups[tier].servers;
    groups[tier].resting += n->restUntil > now();
  }
  preference_.observe(groups, now());
}

void Marshal::apply(const std::vector<Entry> &entries, bool whole) {
  if (sources_ != nullptr) rename(entries);
  for (const auto &e : entries) {
    auto &t = known(e.name);
    const auto &was = t.node->listing;
    const auto &is = e.listing;
    if (!t.listed || was.build != is.build || was.start != is.start || was.mode != is.mode ||
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

void Marshal::listLine(bool here) {
  subscription_.line(here, now(), listDraw());
  listSignal_.notify();
}

void Marshal::listEnded(subscription::Ended how, subscription::Others others, bool last) {
  if (sources_ != nullptr && last) sources_->listFailed();
  subscription_.ended(how, others, now(), listDraw());
  listSignal_.notify();
  round();
}

void Marshal::listMoved() {
  subscription_.moved(now(), listDraw());
  listSignal_.notify();
}

Target *Marshal::find(const std::string &name) {
  const auto it = byName_.find(name);
  return it == byName_.end() ? nullptr : it->second;
}

sched::Task<Vote> Marshal::nextVote() {
  while (votes_.empty()) co_await sched_.wait(voteSignal_);
  const auto vote = votes_.front();
  votes_.pop_front();
  co_return vote;
}

void Marshal::voteAnswered(Reply reply) {
  guard_.voteAnswered(reply, now());
  round();
}

void Marshal::news(const News &news) {
  const bool same = news.build == news_.build && news.stage == news_.stage && news.phase == news_.phase &&
                    news.cap == news_.cap;
  if (!same) ++newsChanges_;
  news_ = news;
  guard_.news(news, now());
  round();
}

void Marshal::flagged(const std::string &node, int route, Ns age) {
  if (auto *t = find(node)) guard_.flagged(*t->node, route, age, now());
}

sched::Task<Note> Marshal::nextNote() {
  while (notes_.empty()) co_await sched_.wait(noteSignal_);
  auto note = std::move(notes_.front());
  notes_.pop_front();
  co_return note;
}

void Marshal::heard(int from, std::string_view bytes) {
  const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
  if (const auto telling = repute::unpack(data, bytes.size())) {
    repute_.heard(from, *telling, now(), reputeChance_);
    return doubt(*telling);
  }
  guard_.note(from, data, bytes.size(), now());
  untouched_ = false;
  touched_.notify();
}

void Marshal::doubt(const repute::Telling &telling) {
  for (const auto &seen : telling.nodes)
    for (auto &t : targets_)
      if (t.node->mark == seen.node) t.node->doubtedUntil = repute_.doubtedUntil(seen.node);
}

void Marshal::round() {
  const bool namesFollowed = sources_ != nullptr;
  const Ns since = subscription_.provenSince(now(), namesFollowed);
  if (since == subscription::kNothingProven && guard_.s.provenSince != since)
    log_.warning(
        "no list has come since the start and a call for it has failed: nothing is sent until one comes");
  else if (since != 0 && guard_.s.provenSince == 0)
    log_.info("the list is out of date: only nodes that have just served are sent to");
  else if (since == 0 && guard_.s.provenSince != 0)
    log_.info("the list is told again");
  guard_.unsure(since);
  auto due = guard_.due(now());
  if (guard_.s.d.peers)
    for (auto &note : repute_.due(now(), reputeChance_)) due.notes.push_back(std::move(note));
  for (const auto &line : due.lines) log_.info(line);
  for (auto &note : due.notes) notes_.push_back(std::move(note));
  if (!due.notes.empty()) noteSignal_.notify();
  for (const auto &vote : due.votes) votes_.push_back(vote);
  if (!due.votes.empty()) voteSignal_.notify();
}

sched::Task<> Marshal::tick() {
  for (;;) {
    round();
    observeGroups();
    untouched_ = true;
    co_await sched_.sleep(guard_.s.d.tick); // what comes in meanwhile is looked at together
    const sched::Until beat{now() + guard_.wait(now()), nullptr};
    if (untouched_) co_await sched_.wait(touched_, beat);
  }
}

} // namespace myrtlehead
