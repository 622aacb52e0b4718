#include "policy/dns_refresh_schedule.h"

#include <algorithm>

namespace myrtlehead::dns_resolution {

namespace {

constexpr double kRefreshJitter = 0.25; // of the delay, to both sides
constexpr double kBackoffGrowth = 3.0;  // at most, from one failure to the next

} // namespace

Nanoseconds RefreshSchedule::bounded(Nanoseconds ttl) const {
  return std::clamp(ttl, settings_.minTtl, settings_.maxTtl);
}

void RefreshSchedule::schedule(Items::iterator item, Nanoseconds dueAt) {
  due_.erase({item->second.dueAt, item->first});
  item->second.dueAt = dueAt;
  if (!item->second.isInFlight) due_.insert({dueAt, item->first});
}

void RefreshSchedule::add(const dns::Question &question, Nanoseconds spread, Nanoseconds now) {
  const auto [item, isNew] = items_.try_emplace(question);
  if (isNew) schedule(item, now + static_cast<Nanoseconds>(uniform(0, 1) * static_cast<double>(spread)));
}

void RefreshSchedule::remove(const dns::Question &question) {
  const auto item = items_.find(question);
  if (item == items_.end()) return;
  due_.erase({item->second.dueAt, question});
  if (item->second.isInFlight) --inFlight_;
  items_.erase(item);
}

void RefreshSchedule::refreshSoon(const dns::Question &question, Nanoseconds delay, Nanoseconds now) {
  const auto item = items_.find(question);
  if (item == items_.end()) return;
  const double factor = uniform(1 - kRefreshJitter, 1 + kRefreshJitter);
  const auto dueAt = now + static_cast<Nanoseconds>(factor * static_cast<double>(delay));
  if (dueAt < item->second.dueAt || item->second.isInFlight) schedule(item, dueAt);
}

std::optional<dns::Question> RefreshSchedule::startDue(Nanoseconds now) {
  if (inFlight_ >= maxInFlight_ || due_.empty() || due_.begin()->first > now) return std::nullopt;
  const auto question = due_.begin()->second;
  due_.erase(due_.begin());
  items_.at(question).isInFlight = true;
  ++inFlight_;
  return question;
}

Nanoseconds RefreshSchedule::nextDueAt() const {
  return inFlight_ >= maxInFlight_ || due_.empty() ? kNeverDue : due_.begin()->first;
}

// Guards the DNS servers against instances that fail together and retry together: backoff with decorrelated
// jitter.
Nanoseconds RefreshSchedule::nextBackoff(Nanoseconds previous) {
  const double least = static_cast<double>(settings_.minBackoff);
  const double most = std::min(kBackoffGrowth * std::max(static_cast<double>(previous), least),
                               static_cast<double>(settings_.maxBackoff));
  return static_cast<Nanoseconds>(uniform(least, std::max(most, least)));
}

bool RefreshSchedule::onOutcome(const dns::Question &question, const LookupOutcome &outcome,
                                Nanoseconds now) {
  const auto at = items_.find(question);
  if (at == items_.end() || !at->second.isInFlight) return false;
  auto &item = at->second;
  item.isInFlight = false;
  --inFlight_;
  if (outcome.result == LookupResult::failed) {
    item.backoff = nextBackoff(item.backoff);
    schedule(at, now + item.backoff);
    return true;
  }
  const Nanoseconds ttl = bounded(outcome.ttl >= 0 ? outcome.ttl : settings_.defaultNegativeTtl);
  item.backoff = 0;
  item.answeredAt = now;
  item.validUntil = now + ttl;
  const double fraction = uniform(settings_.minRefreshFraction, settings_.maxRefreshFraction);
  schedule(at, now + static_cast<Nanoseconds>(fraction * static_cast<double>(ttl)));
  return true;
}

void RefreshSchedule::onAdditionalRecords(const dns::Question &question, Nanoseconds ttl, Nanoseconds now) {
  const auto at = items_.try_emplace(question).first;
  auto &item = at->second;
  if (item.isInFlight) return; // its own answer is about to come
  item.backoff = 0;
  item.answeredAt = now;
  item.validUntil = now + bounded(ttl);
  // The question that these records came with is refreshed before the shorter TTL ends and brings them again;
  // this one is looked up for itself only if that fails.
  schedule(at, item.validUntil);
}

Freshness RefreshSchedule::freshness(const dns::Question &question, Nanoseconds now) const {
  const Nanoseconds until = validUntil(question);
  if (until == 0) return Freshness::never;
  if (now <= until) return Freshness::fresh;
  return now - until <= settings_.staleTime ? Freshness::stale : Freshness::expired;
}

Nanoseconds RefreshSchedule::validUntil(const dns::Question &question) const {
  const auto item = items_.find(question);
  return item == items_.end() ? 0 : item->second.validUntil;
}

Nanoseconds RefreshSchedule::answeredAt(const dns::Question &question) const {
  const auto item = items_.find(question);
  return item == items_.end() ? 0 : item->second.answeredAt;
}

void RefreshSchedule::restore(const dns::Question &question, Nanoseconds answeredAt, Nanoseconds validUntil) {
  const auto item = items_.find(question);
  if (item == items_.end()) return;
  item->second.answeredAt = answeredAt;
  item->second.validUntil = validUntil;
}

} // namespace myrtlehead::dns_resolution
