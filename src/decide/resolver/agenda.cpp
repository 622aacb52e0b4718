#include "decide/resolver/agenda.h"

#include <algorithm>

namespace myrtlehead::resolver {

namespace {
constexpr double kJitter = 0.25;
} // namespace

Ns Agenda::bounded(Ns lifetime) const { return std::clamp(lifetime, terms_.floor, terms_.ceiling); }

void Agenda::plan(Items::iterator item, Ns at) {
  due_.erase({item->second.due, item->first});
  item->second.due = at;
  if (!item->second.inFlight) due_.insert({at, item->first});
}

void Agenda::want(const dns::Question &question, Ns spread, Ns now) {
  const auto [item, first] = items_.try_emplace(question);
  if (first) plan(item, now + static_cast<Ns>(uniform(0, 1) * static_cast<double>(spread)));
}

void Agenda::forget(const dns::Question &question) {
  const auto item = items_.find(question);
  if (item == items_.end()) return;
  due_.erase({item->second.due, question});
  if (item->second.inFlight) --open_;
  items_.erase(item);
}

void Agenda::hasten(const dns::Question &question, Ns in, Ns now) {
  const auto item = items_.find(question);
  if (item == items_.end()) return;
  const auto at = now + static_cast<Ns>(uniform(1 - kJitter, 1 + kJitter) * static_cast<double>(in));
  if (at < item->second.due || item->second.inFlight) plan(item, at);
}

std::optional<dns::Question> Agenda::take(Ns now) {
  if (open_ >= mostOpen_ || due_.empty() || due_.begin()->first > now) return std::nullopt;
  const auto question = due_.begin()->second;
  due_.erase(due_.begin());
  items_.at(question).inFlight = true;
  ++open_;
  return question;
}

Ns Agenda::nextAt() const { return open_ >= mostOpen_ || due_.empty() ? kNeverDue : due_.begin()->first; }

bool Agenda::told(const dns::Question &question, const Answer &answer, Ns now) {
  const auto item = items_.find(question);
  if (item == items_.end() || !item->second.inFlight) return false;
  auto &it = item->second;
  it.inFlight = false;
  --open_;
  if (answer.said == Said::failed) {
    // Guards the servers of names against marshals that fail together and ask again together.
    const double least = static_cast<double>(terms_.backOffLeast);
    const double most = std::min(3.0 * std::max(static_cast<double>(it.backOff), least),
                                 static_cast<double>(terms_.backOffMost));
    it.backOff = static_cast<Ns>(uniform(least, std::max(most, least)));
    plan(item, now + it.backOff);
    return true;
  }
  const Ns lifetime = bounded(answer.lifetime >= 0 ? answer.lifetime : terms_.denialDefault);
  it.backOff = 0;
  it.goodAt = now;
  it.goodUntil = now + lifetime;
  plan(item,
       now + static_cast<Ns>(uniform(terms_.refreshFrom, terms_.refreshTo) * static_cast<double>(lifetime)));
  return true;
}

void Agenda::cameAlong(const dns::Question &question, Ns lifetime, Ns now) {
  const auto [item, first] = items_.try_emplace(question);
  auto &it = item->second;
  if (it.inFlight) return; // its own answer is about to come
  it.backOff = 0;
  it.goodAt = now;
  it.goodUntil = now + bounded(lifetime);
  // The question that it came with is asked before the end of the shorter lifetime and brings it again; asked
  // for itself only if that fails.
  plan(item, it.goodUntil);
}

Age Agenda::age(const dns::Question &question, Ns now) const {
  const auto item = items_.find(question);
  if (item == items_.end() || item->second.goodUntil == 0) return Age::never;
  const Ns until = item->second.goodUntil;
  return now <= until ? Age::fresh : now - until <= terms_.staleMost ? Age::stale : Age::expired;
}

Ns Agenda::goodUntil(const dns::Question &question) const {
  const auto item = items_.find(question);
  return item == items_.end() ? 0 : item->second.goodUntil;
}

Ns Agenda::goodAt(const dns::Question &question) const {
  const auto item = items_.find(question);
  return item == items_.end() ? 0 : item->second.goodAt;
}

void Agenda::restore(const dns::Question &question, Ns goodAt, Ns goodUntil) {
  const auto item = items_.find(question);
  if (item == items_.end()) return;
  item->second.goodAt = goodAt;
  item->second.goodUntil = goodUntil;
}

} // namespace myrtlehead::resolver
