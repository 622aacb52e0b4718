#include "policy/dns_lookup.h"

#include <algorithm>

namespace myrtlehead::dns_resolution {

namespace {

constexpr Nanoseconds kSecond = 1'000'000'000;
constexpr int kFailuresBeforeBackoff = 2; // consecutive failures of one server
constexpr Nanoseconds kFirstBackoff = kSecond;
constexpr Nanoseconds kMaxBackoff = 60 * kSecond;
constexpr int kMaxBackoffDoublings = 10; // avoids an undefined shift; kMaxBackoff is reached earlier
constexpr int kMaxTimeoutDoublings = 3;  // the timeout of later queries stays the same
constexpr Nanoseconds kMinTcpTimeout = 2 * kSecond; // includes the time to open the connection

// Removes the leading labels that begin with an underscore: the zone of "_pg._tcp.maps.example" is
// "maps.example". Additional records are trusted only if they belong to this zone.
std::string_view zoneOf(std::string_view name) {
  while (name.starts_with('_')) name.remove_prefix(std::min(name.find('.'), name.size() - 1) + 1);
  return name;
}

bool isInZone(std::string_view name, std::string_view zone) {
  if (zone.empty() || !name.ends_with(zone)) return false;
  return name.size() == zone.size() || name[name.size() - zone.size() - 1] == '.';
}

Nanoseconds shorterTtl(Nanoseconds a, Nanoseconds b) {
  if (a == kNoTtl) return b;
  if (b == kNoTtl) return a;
  return std::min(a, b);
}

} // namespace

std::size_t DnsServers::select(const std::vector<int> &attempts, Nanoseconds now,
                               std::knuth_b &random) const {
  const int fewest = *std::min_element(attempts.begin(), attempts.end());
  std::vector<std::size_t> candidates;
  std::vector<std::size_t> available;
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    if (attempts[i] != fewest) continue;
    candidates.push_back(i);
    if (!isBackingOff(i, now)) available.push_back(i);
  }
  if (!available.empty())
    return available[std::uniform_int_distribution<std::size_t>(0, available.size() - 1)(random)];
  return *std::min_element(candidates.begin(), candidates.end(), [&](auto a, auto b) {
    return servers_[a].backoffUntil < servers_[b].backoffUntil;
  });
}

void DnsServers::onFailure(std::size_t index, Nanoseconds now) {
  auto &server = servers_[index];
  if (++server.consecutiveFailures < kFailuresBeforeBackoff) return;
  const int doublings = std::min(server.consecutiveFailures - kFailuresBeforeBackoff, kMaxBackoffDoublings);
  server.backoffUntil = now + std::min(kFirstBackoff << doublings, kMaxBackoff);
}

Query Lookup::nextQuery(Nanoseconds now, std::knuth_b &random) {
  if (std::exchange(retriesOverTcp_, false)) {
    query_.transport = Transport::tcp;
  } else {
    query_.server = servers_.select(attemptsByServer_, now, random);
    query_.transport = Transport::udp;
    ++attemptsByServer_[query_.server];
    ++attempts_;
  }
  std::uniform_int_distribution<std::uint64_t> any;
  query_.sent = {static_cast<std::uint16_t>(any(random)), currentQuestion_, any(random)};
  query_.timeout = settings_.firstTimeout << std::min(std::max(attempts_ - 1, 0), kMaxTimeoutDoublings);
  if (query_.transport == Transport::tcp) query_.timeout = std::max(query_.timeout, kMinTcpTimeout);
  return query_;
}

// Rejects responses that may be forged: if a UDP response changes the letter case of the query, the query is
// repeated over TCP, where an attacker outside the connection cannot inject a response.
void Lookup::onResponse(const dns::Message &message, LetterCase letterCase, Nanoseconds now) {
  const bool isTcp = query_.transport == Transport::tcp;
  const bool mayBeForged = letterCase == LetterCase::changed && !isTcp;
  if (message.truncated || mayBeForged) {
    if (isTcp && ++tcpTruncations_ >= kMaxTcpTruncations) return fail("response truncated over TCP", now);
    retriesOverTcp_ = true;
    return;
  }
  switch (message.status) {
  case dns::Status::ok:
  case dns::Status::noSuchName:
    servers_.onSuccess(query_.server);
    return acceptAnswer(message);
  case dns::Status::serverFailure:
    return fail("SERVFAIL", now);
  case dns::Status::refused:
    return fail("REFUSED", now);
  case dns::Status::other:
    return fail("the DNS server returned an unexpected response code", now);
  }
}

void Lookup::onError(QueryError error, Nanoseconds now) {
  constexpr const char *kTexts[] = {"timed out", "unreachable", "malformed response", "connection lost"};
  const auto text = std::string(kTexts[static_cast<int>(error)]);
  fail(text + (query_.transport == Transport::tcp ? " over TCP" : ""), now);
}

void Lookup::fail(std::string failure, Nanoseconds now) {
  servers_.onFailure(query_.server, now);
  outcome_.failure = std::move(failure);
  if (attempts_ >= settings_.maxAttempts) finish(LookupResult::failed, kNoTtl);
}

void Lookup::finish(LookupResult result, Nanoseconds ttl) {
  isFinished_ = true;
  outcome_.result = result;
  outcome_.ttl = shorterTtl(aliasTtl_, ttl);
}

// Follows the aliases within the answer. Returns false if there are more than kMaxAliases, or if an alias has
// no target.
bool Lookup::followAliases(const dns::Message &message) {
  if (question_.type == dns::Type::cname) return true;
  const auto isNext = [&](const dns::Record &record) {
    return record.type == dns::Type::cname && record.owner == currentQuestion_.name;
  };
  const auto &answers = message.answers;
  for (auto alias = std::find_if(answers.begin(), answers.end(), isNext); alias != answers.end();
       alias = std::find_if(answers.begin(), answers.end(), isNext)) {
    if (++aliasesFollowed_ > kMaxAliases || alias->target.empty()) return false;
    aliasTtl_ = shorterTtl(aliasTtl_, alias->ttl * kSecond);
    currentQuestion_.name = alias->target;
  }
  return true;
}

// Accepts the records at the end of the alias chain. Other records of the answer section were not requested
// and are ignored, since they may be forged.
void Lookup::acceptAnswer(const dns::Message &message) {
  if (!followAliases(message)) {
    outcome_.failure = "too many aliases";
    return finish(LookupResult::failed, kNoTtl);
  }
  Nanoseconds ttl = kNoTtl;
  for (const auto &record : message.answers) {
    if (record.type != currentQuestion_.type || record.owner != currentQuestion_.name) continue;
    ttl = shorterTtl(ttl, record.ttl * kSecond);
    outcome_.records.push_back(record);
  }
  if (!outcome_.records.empty()) {
    acceptAdditional(message);
    return finish(LookupResult::records, ttl);
  }
  const Nanoseconds negativeTtl = message.negativeTtlSeconds ? *message.negativeTtlSeconds * kSecond : kNoTtl;
  if (message.status == dns::Status::noSuchName) return finish(LookupResult::nxDomain, negativeTtl);
  const bool aliasEndsOutsideAnswer = query_.sent.question.name != currentQuestion_.name;
  if (!aliasEndsOutsideAnswer) return finish(LookupResult::noData, negativeTtl);
  // The look-up continues with the name of the alias and the full number of attempts.
  std::fill(attemptsByServer_.begin(), attemptsByServer_.end(), 0);
  attempts_ = 0;
}

void Lookup::acceptAdditional(const dns::Message &message) {
  if (currentQuestion_.type != dns::Type::srv) return;
  const auto zone = zoneOf(currentQuestion_.name);
  for (const auto &record : message.additional) {
    const bool isAddress = record.type == dns::Type::a || record.type == dns::Type::aaaa;
    if (!isAddress || !isInZone(record.owner, zone)) continue;
    const auto &targets = outcome_.records;
    if (std::any_of(targets.begin(), targets.end(),
                    [&](const auto &srv) { return srv.target == record.owner; }))
      outcome_.additional.push_back(record);
  }
}

} // namespace myrtlehead::dns_resolution
