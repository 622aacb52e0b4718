#include "policy/outlier_gossip.h"

#include <algorithm>
#include <cmath>

namespace myrtlehead::outlier_gossip {

namespace {

constexpr Nanoseconds kTell = kSecond; // so often, at most
constexpr int kListeners = 20;         // others that hear a note
constexpr double kHalf = 3e9;          // ns after which what was told counts half
constexpr double kEnough = 3;          // bad tries told, and
constexpr double kShare = 0.6;         // their part of all that was told, from which an endpoint is left out
constexpr Nanoseconds kSpell = 2 * kSecond,
                      kMost = 8 * kSecond; // for so long first, doubling while it goes on
constexpr std::size_t kMostHeld = 4096;    // endpoints; no others are taken up beyond that

constexpr std::size_t kHead = 3, kEach = 5;

std::uint8_t more(std::uint8_t n) { return n < 255 ? static_cast<std::uint8_t>(n + 1) : n; }

} // namespace

std::vector<std::uint8_t> pack(const Telling &telling) {
  std::vector<std::uint8_t> out{kTellingVersion, static_cast<std::uint8_t>(telling.zone >> 8),
                                static_cast<std::uint8_t>(telling.zone)};
  for (const auto &s : telling.nodes)
    out.insert(out.end(), {static_cast<std::uint8_t>(s.node >> 8), static_cast<std::uint8_t>(s.node),
                           s.failed, s.lost, s.completed});
  return out;
}

std::optional<Telling> unpack(const std::uint8_t *p, std::size_t n) {
  if (n <= kHead || p[0] != kTellingVersion || (n - kHead) % kEach != 0 || (n - kHead) / kEach > kMostNodes)
    return std::nullopt;
  Telling out{static_cast<std::uint16_t>(p[1] << 8 | p[2]), {}};
  for (std::size_t at = kHead; at < n; at += kEach) {
    out.nodes.push_back(
        {static_cast<std::uint16_t>(p[at] << 8 | p[at + 1]), p[at + 2], p[at + 3], p[at + 4]});
    const auto &s = out.nodes.back();
    if (s.node == 0 || (s.failed == 0 && s.lost == 0)) return std::nullopt; // nobody tells that
  }
  return out;
}

void OutlierGossip::finished(std::uint16_t node, Outcome outcome) {
  const bool lost = outcome == Outcome::unreachable || outcome == Outcome::reset ||
                    outcome == Outcome::timedOut;
  const bool failed = outcome == Outcome::failed, completed = outcome == Outcome::succeeded;
  if (node == 0 || !(lost || failed || completed)) return;
  auto &seen = own_[node];
  seen.node = node;
  if (failed) seen.failed = more(seen.failed);
  if (lost) seen.lost = more(seen.lost);
  if (completed) seen.completed = more(seen.completed);
  // What one has just seen itself is worth more than what was told.
  if (const auto it = nodes_.find(node); completed && it != nodes_.end()) nodes_.erase(it);
}

// Once a second, to a few others drawn by chance: those with the most bad attempts, if there are too many.
std::vector<PeerMessage> OutlierGossip::due(Nanoseconds now, std::knuth_b &chance) {
  if (now < tellAt_) return {};
  tellAt_ = now + static_cast<Nanoseconds>(std::uniform_real_distribution<double>(0.8, 1.2)(chance) * kTell);
  Telling telling{static_cast<std::uint16_t>(zone_), {}};
  for (const auto &[_, seen] : own_)
    if (seen.failed + seen.lost > 0) telling.nodes.push_back(seen);
  own_.clear();
  if (telling.nodes.empty() || instanceCount_ < 2) return {};
  std::stable_sort(telling.nodes.begin(), telling.nodes.end(),
                   [](const Seen &a, const Seen &b) { return a.failed + a.lost > b.failed + b.lost; });
  telling.nodes.resize(std::min(telling.nodes.size(), kMostNodes));
  std::vector<int> others;
  for (int i = 0; i < instanceCount_; ++i)
    if (i != ownIndex_) others.push_back(i);
  std::vector<PeerMessage> out;
  const auto bytes = pack(telling);
  for (std::size_t i = 0; i < others.size() && i < kListeners; ++i) {
    std::uniform_int_distribution<std::size_t> rest(i, others.size() - 1);
    std::swap(others[i], others[rest(chance)]);
    out.push_back({others[i], bytes});
  }
  return out;
}

void OutlierGossip::age(Held &held, Nanoseconds now) {
  const double kept = std::exp2(-static_cast<double>(now - held.at) / kHalf);
  held.failed *= kept, held.lost *= kept, held.completed *= kept;
  held.at = now;
}

// Guards memory against tellers of endpoints that are not there.
bool OutlierGossip::room(std::uint16_t node) const {
  return nodes_.size() < kMostHeld || nodes_.contains(node);
}

// Guards against endpoints that fail or have vanished, where each instance alone would meet them too seldom
// to know. Two tellers at least, so that one whose own ways are broken condemns nobody; ways between zones
// differ, so of lost attempts only the own zone's are believed. Could harm where an endpoint fails for some
// and serves others: an own completed try ends the doubt.
void OutlierGossip::heard(int from, const Telling &telling, Nanoseconds now, std::knuth_b &chance) {
  if (from < 0 || from >= instanceCount_ || from == ownIndex_) return;
  for (const auto &s : telling.nodes) {
    if (!room(s.node)) continue;
    const double lost = telling.zone == zone_ ? s.lost : 0;
    auto &held = nodes_[s.node];
    age(held, now);
    held.failed += s.failed, held.lost += lost, held.completed += s.completed;
    if (s.failed + lost > 0) held.more |= held.last >= 0 && held.last != from, held.last = from;
    const double bad = held.failed + held.lost;
    if (!held.more || held.until > now || bad < kEnough || bad < kShare * (bad + held.completed)) continue;
    const double spell = static_cast<double>(std::min(kSpell << std::min(held.spells++, 10), kMost));
    held.until = now +
                 static_cast<Nanoseconds>(std::uniform_real_distribution<double>(0.7, 1.3)(chance) * spell);
    held.failed = held.lost = held.completed = 0; // the next spell wants words of its own
  }
  for (auto it = nodes_.begin(); it != nodes_.end();) // long at rest: forgotten
    it = now - it->second.at > 4 * kMost && it->second.until < now ? nodes_.erase(it) : std::next(it);
}

Nanoseconds OutlierGossip::doubtedUntil(std::uint16_t node) const {
  const auto it = nodes_.find(node);
  return it == nodes_.end() ? 0 : it->second.until;
}

void OutlierGossip::forget(std::uint16_t node) {
  own_.erase(node);
  nodes_.erase(node);
}

} // namespace myrtlehead::outlier_gossip
