#include "policy/dns_refresh_schedule.h"

#include <algorithm>

namespace myrtlehead::dns_resolution {

namespace {
constexpr double kJitter = 0.25;
} // namespace

Nanoseconds RefreshSchedule::bounded(Nanoseconds lifetime) const {
  return std::clamp(lifetime, terms_.floor, terms_.ceiling);
}

void RefreshSchedule::plan(Items::iterator item, Nanoseconds at) {
  due_.erase({item->second.due, item->first});
  item->second.due = at;
  if (!item->second.inFlight) due_.insert({at, item->first});
}

void RefreshSchedule::want(const dns::Question &question, Nanoseconds spread, Nanoseconds now) {
  const auto [item, first] = items_.try_emplace(question);
  if (first) plan(item, now + static_cast<Nanoseconds>(uniform(0, 1) * static_cast<double>(spread)));
}

void RefreshSchedule::forget(const dns::Question &question) {
  const auto item = items_.find(question);
  if (item == items_.end()) return;
  due_.erase({item->second.due, question});
  if (item->second.inFlight) --open_;
  items_.erase(item);
}

void RefreshSchedule::hasten(const dns::Question &question, Nanoseconds in, Nanoseconds now) {
  const auto item = items_.find(question);
  if (item == items_.end()) return;
  const auto at = now + static_cast<Nanoseconds>(uniform(1 - kJitter, 1 + kJitter) * static_cast<double>(in));
  if (at < item->second.due || item->second.inFlight) plan(item, at);
}

std::optional<dns::Question> RefreshSchedule::take(Nanoseconds now) {
  if (open_ >= mostOpen_ || due_.empty() || due_.begin()->first > now) return std::nullopt;
  const auto question = due_.begin()->second;
  due_.erase(due_.begin());
  items_.at(question).inFlight = true;
  ++open_;
  return question;
}

Nanoseconds RefreshSchedule::nextAt() const {
  return open_ >= mostOpen_ || due_.empty() ? kNeverDue : due_.begin()->first;
}

bool RefreshSchedule::told(const dns::Question &question, const Answer &answer, Nanoseconds now) {
  const auto item = items_.find(question);
  if (item == items_.end() || !item->second.inFlight) return false;
  auto &it = item->second;
  it.inFlight = false;
  --open_;
  if (answer.said == Said::failed) {
    // Guards the servers of names against instances that fail together and ask again together.
    const double least = static_cast<double>(terms_.backOffLeast);
    const double most = std::min(3.0 * std::max(static_cast<double>(it.backOff), least),
                                 static_cast<double>(terms_.backOffMost));
    it.backOff = static_cast<Nanoseconds>(uniform(least, std::max(most, least)));
    plan(item, now + it.backOff);
    return true;
  }
  const Nanoseconds lifetime = bounded(answer.lifetime >= 0 ? answer.lifetime : terms_.denialDefault);
  it.backOff = 0;
  it.goodAt = now;
  it.goodUntil = now + lifetime;
  plan(item, now + static_cast<Nanoseconds>(uniform(terms_.refreshFrom, terms_.refreshTo) *
                                            static_cast<double>(lifetime)));
  return true;
}

void RefreshSchedule::cameAlong(const dns::Question &question, Nanoseconds lifetime, Nanoseconds now) {
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

Age RefreshSchedule::age(const dns::Question &question, Nanoseconds now) const {
  const auto item = items_.find(question);
  if (item == items_.end() || item->second.goodUntil == 0) return Age::never;
  const Nanoseconds until = item->second.goodUntil;
  return now <= until ? Age::fresh : now - until <= terms_.staleMost ? Age::stale : Age::expired;
}

Nanoseconds RefreshSchedule::goodUntil(const dns::Question &question) const {
  const auto item = items_.find(question);
  return item == items_.end() ? 0 : item->second.goodUntil;
}

Nanoseconds RefreshSchedule::goodAt(const dns::Question &question) const {
  const auto item = items_.find(question);
  return item == items_.end() ? 0 : item->second.goodAt;
}

void RefreshSchedule::restore(const dns::Question &question, Nanoseconds goodAt, Nanoseconds goodUntil) {
  const auto item = items_.find(question);
  if (item == items_.end()) return;
  item->second.goodAt = goodAt;
  item->second.goodUntil = goodUntil;
}

} // namespace myrtlehead::dns_resolution
