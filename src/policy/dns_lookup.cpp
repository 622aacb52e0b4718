#include "policy/dns_lookup.h"

#include <algorithm>

namespace myrtlehead::dns_resolution {

namespace {

constexpr Nanoseconds kSecond = 1'000'000'000;
constexpr int kFailuresToRest = 2;
constexpr Nanoseconds kRest = kSecond, kMostRest = 60 * kSecond;
constexpr Nanoseconds kTcpWait = 2 * kSecond; // at least, for a connection and an answer

// "_pg._tcp.maps.example" stands in "maps.example": what its server may speak of beside it.
std::string_view zoneOf(std::string_view name) {
  while (name.starts_with('_')) name.remove_prefix(std::min(name.find('.'), name.size() - 1) + 1);
  return name;
}

bool inside(std::string_view name, std::string_view zone) {
  if (zone.empty() || !name.ends_with(zone)) return false;
  return name.size() == zone.size() || name[name.size() - zone.size() - 1] == '.';
}

} // namespace

const char *word(Said said) {
  constexpr const char *kWords[] = {"records", "denied", "empty", "failed"};
  return kWords[static_cast<int>(said)];
}

std::size_t NameServers::pick(const std::vector<int> &tried, Nanoseconds now, std::knuth_b &chance) const {
  const int least = *std::min_element(tried.begin(), tried.end());
  std::vector<std::size_t> awake, all;
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    if (tried[i] == least) all.push_back(i);
    if (tried[i] == least && !resting(i, now)) awake.push_back(i);
  }
  if (!awake.empty()) return awake[std::uniform_int_distribution<std::size_t>(0, awake.size() - 1)(chance)];
  return *std::min_element(all.begin(), all.end(),
                           [&](auto a, auto b) { return servers_[a].restUntil < servers_[b].restUntil; });
}

void NameServers::failed(std::size_t server, Nanoseconds now) {
  auto &s = servers_[server];
  if (++s.failures < kFailuresToRest) return;
  s.restUntil = now + std::min(kRest << std::min(s.failures - kFailuresToRest, 10), kMostRest);
}

Ask Lookup::next(Nanoseconds now, std::knuth_b &chance) {
  const bool again = std::exchange(toTcp_, false);
  if (!again) {
    ask_.server = servers_.pick(tried_, now, chance);
    ask_.tcp = false;
    ++tried_[ask_.server];
    ++tries_;
  } else {
    ask_.tcp = true;
  }
  std::uniform_int_distribution<std::uint64_t> any;
  ask_.sent = {static_cast<std::uint16_t>(any(chance)), now_, any(chance)};
  ask_.within = terms_.firstWait << std::min(std::max(tries_ - 1, 0), 3);
  if (ask_.tcp) ask_.within = std::max(ask_.within, kTcpWait);
  return ask_;
}

// Guards against answers made up by others: what does not keep the letter case is asked for over TCP, where
// nobody but the server can answer.
void Lookup::answered(const dns::Message &message, bool folded, Nanoseconds now) {
  if (message.truncated || (folded && !ask_.tcp)) {
    if (ask_.tcp && ++truncations_ >= kMostTruncations) return failed("truncated over TCP", now);
    toTcp_ = true;
    return;
  }
  switch (message.status) {
  case dns::Status::ok:
  case dns::Status::noSuchName:
    servers_.answered(ask_.server);
    return believe(message);
  case dns::Status::failed:
    return failed("SERVFAIL", now);
  case dns::Status::refused:
    return failed("REFUSED", now);
  case dns::Status::other:
    return failed("an error of the server", now);
  }
}

void Lookup::mishap(Mishap what, Nanoseconds now) {
  constexpr const char *kWords[] = {"timed out", "unreachable", "unreadable", "broken off"};
  failed(std::string(kWords[static_cast<int>(what)]) + (ask_.tcp ? " over TCP" : ""), now);
}

void Lookup::failed(std::string why, Nanoseconds now) {
  servers_.failed(ask_.server, now);
  answer_.why = std::move(why);
  if (tries_ >= terms_.tries) end(Said::failed, -1);
}

void Lookup::end(Said said, Nanoseconds lifetime) {
  over_ = true;
  answer_.said = said;
  answer_.lifetime = shortest_ < 0 ? lifetime : lifetime < 0 ? shortest_ : std::min(shortest_, lifetime);
}

// Follows the aliases through the answer and takes the records at their end; everything else in the answer
// was not asked for and is not believed.
void Lookup::believe(const dns::Message &message) {
  for (bool moved = true; moved;) {
    moved = false;
    for (const auto &r : message.answers) {
      if (r.type != dns::Type::cname || r.owner != now_.name || asked_.type == dns::Type::cname) continue;
      if (++aliases_ > kMostAliases || r.target.empty()) {
        answer_.why = "too many aliases";
        return end(Said::failed, -1);
      }
      const Nanoseconds ttl = r.ttl * kSecond;
      shortest_ = shortest_ < 0 ? ttl : std::min(shortest_, ttl);
      now_.name = r.target;
      moved = true;
      break;
    }
  }
  Nanoseconds lifetime = -1;
  for (const auto &r : message.answers) {
    if (r.type != now_.type || r.owner != now_.name) continue;
    lifetime = lifetime < 0 ? r.ttl * kSecond : std::min(lifetime, r.ttl * kSecond);
    answer_.records.push_back(r);
  }
  if (!answer_.records.empty()) {
    keepAdditional(message);
    return end(Said::records, lifetime);
  }
  const Nanoseconds denial = message.denialSeconds ? *message.denialSeconds * kSecond : -1;
  if (message.status == dns::Status::noSuchName) return end(Said::denied, denial);
  const bool askOn = ask_.sent.question.name != now_.name; // the alias leads out of this answer
  if (!askOn) return end(Said::empty, denial);
  std::fill(tried_.begin(), tried_.end(), 0);
  tries_ = 0;
}

void Lookup::keepAdditional(const dns::Message &message) {
  if (now_.type != dns::Type::srv) return;
  const auto zone = zoneOf(now_.name);
  for (const auto &r : message.additional) {
    if ((r.type != dns::Type::a && r.type != dns::Type::aaaa) || !inside(r.owner, zone)) continue;
    const bool target = std::any_of(answer_.records.begin(), answer_.records.end(),
                                    [&](const dns::Record &srv) { return srv.target == r.owner; });
    if (target) answer_.additional.push_back(r);
  }
}

} // namespace myrtlehead::dns_resolution
