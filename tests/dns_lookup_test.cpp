// Tests of the DNS look-up and the refresh schedule, in virtual time.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy/dns_refresh_schedule.h"

#include <cmath>

using namespace myrtlehead;
using namespace myrtlehead::dns_resolution;

constexpr Nanoseconds kSecond = 1'000'000'000, kNow = 1000 * kSecond;
static const dns::Question kQuestion{"_pg._tcp.maps.example", dns::Type::srv};

struct LookupFixture {
  ResolutionSettings settings;
  DnsServers servers{3};
  std::knuth_b random{5};
  Lookup lookup{kQuestion, settings, servers};
  Query next() { return lookup.nextQuery(kNow, random); }
};

static dns::Record srv(const std::string &owner, const std::string &target, std::uint32_t ttl = 60) {
  return {.owner = owner,
          .type = dns::Type::srv,
          .ttl = ttl,
          .port = 6432,
          .target = target,
          .address = "",
          .text = ""};
}
static dns::Record alias(const std::string &owner, const std::string &target, std::uint32_t ttl = 60) {
  return {.owner = owner, .type = dns::Type::cname, .ttl = ttl, .target = target};
}
static dns::Message answer(std::vector<dns::Record> records) { return {.answers = std::move(records)}; }

TEST_CASE("each DNS server is queried once before one is queried twice") {
  LookupFixture fixture;
  std::vector<std::size_t> order;
  while (!fixture.lookup.isFinished()) {
    order.push_back(fixture.next().server);
    fixture.lookup.onError(QueryError::timedOut, kNow);
  }
  REQUIRE(order.size() == 5);
  REQUIRE(order[0] != order[1]);
  REQUIRE(order[1] != order[2]);
  REQUIRE(order[0] != order[2]);
  REQUIRE(fixture.lookup.outcome().result == LookupResult::failed);
  REQUIRE(fixture.lookup.outcome().failure == "timed out");
}

TEST_CASE("ids and letter cases of queries are random, and timeouts double") {
  LookupFixture fixture;
  const auto first = fixture.next();
  fixture.lookup.onError(QueryError::timedOut, kNow);
  const auto second = fixture.next();
  REQUIRE(first.sent.id != second.sent.id);
  REQUIRE(first.sent.letterCase != second.sent.letterCase);
  REQUIRE(second.timeout == 2 * first.timeout);
}

TEST_CASE("a DNS server that fails repeatedly backs off") {
  DnsServers servers(2);
  std::knuth_b random(3);
  servers.onFailure(0, kNow);
  REQUIRE(!servers.isBackingOff(0, kNow));
  servers.onFailure(0, kNow);
  REQUIRE(servers.isBackingOff(0, kNow));
  REQUIRE(!servers.isBackingOff(0, kNow + kSecond));
  for (int i = 0; i < 20; ++i) REQUIRE(servers.select({0, 0}, kNow, random) == 1);
  for (int i = 0; i < 3; ++i) servers.onFailure(1, kNow);
  for (int i = 0; i < 20; ++i) REQUIRE(servers.select({0, 0}, kNow, random) == 0); // its backoff ends first
  servers.onSuccess(1);
  for (int i = 0; i < 20; ++i) REQUIRE(servers.select({0, 0}, kNow, random) == 1);
}

TEST_CASE("a truncated response is followed by a query over TCP") {
  LookupFixture fixture;
  const auto first = fixture.next();
  fixture.lookup.onResponse({.truncated = true}, LetterCase::preserved, kNow);
  const auto again = fixture.next();
  REQUIRE(again.transport == Transport::tcp);
  REQUIRE(again.server == first.server);
  REQUIRE(again.timeout >= 2 * kSecond);
  fixture.lookup.onError(QueryError::connectionLost, kNow); // the next query goes to another server over UDP
  const auto third = fixture.next();
  REQUIRE(third.transport == Transport::udp);
  REQUIRE(third.server != first.server);
  fixture.lookup.onResponse(answer({srv(kQuestion.name, "s-1.maps.example")}), LetterCase::preserved, kNow);
  REQUIRE(fixture.lookup.isFinished());
  REQUIRE(fixture.lookup.outcome().result == LookupResult::records);
}

TEST_CASE("truncation over TCP ends in a failure") {
  LookupFixture fixture;
  for (int n = 0; !fixture.lookup.isFinished(); ++n) {
    REQUIRE(n < 20);
    fixture.next();
    fixture.lookup.onResponse({.truncated = true}, LetterCase::preserved, kNow);
  }
  REQUIRE(fixture.lookup.outcome().result == LookupResult::failed);
}

TEST_CASE("a changed letter case is accepted over TCP only") {
  LookupFixture fixture;
  fixture.next();
  fixture.lookup.onResponse(answer({srv(kQuestion.name, "evil.example")}), LetterCase::changed, kNow);
  REQUIRE(!fixture.lookup.isFinished());
  REQUIRE(fixture.next().transport == Transport::tcp);
  fixture.lookup.onResponse(answer({srv(kQuestion.name, "s-1.maps.example")}), LetterCase::changed, kNow);
  REQUIRE(fixture.lookup.isFinished());
  REQUIRE(fixture.lookup.outcome().records[0].target == "s-1.maps.example");
}

TEST_CASE("NXDOMAIN, NODATA, SERVFAIL and REFUSED are told apart") {
  const auto resultOf = [](dns::Message message) {
    LookupFixture fixture;
    fixture.next();
    fixture.lookup.onResponse(message, LetterCase::preserved, kNow);
    return fixture.lookup.isFinished() ? fixture.lookup.outcome().result : LookupResult::failed;
  };
  REQUIRE(resultOf({.status = dns::Status::noSuchName, .negativeTtlSeconds = 5}) == LookupResult::nxDomain);
  REQUIRE(resultOf({}) == LookupResult::noData);
  REQUIRE(resultOf({.status = dns::Status::serverFailure}) == LookupResult::failed);
  REQUIRE(resultOf({.status = dns::Status::refused}) == LookupResult::failed);
  LookupFixture fixture;
  fixture.next();
  fixture.lookup.onResponse({.status = dns::Status::noSuchName, .negativeTtlSeconds = 5},
                            LetterCase::preserved, kNow);
  REQUIRE(fixture.lookup.outcome().ttl == 5 * kSecond);
}

TEST_CASE("aliases are followed, and their number is bounded") {
  LookupFixture fixture;
  fixture.next();
  fixture.lookup.onResponse(
      answer({srv("b.example", "s-1.maps.example", 60), alias("a.example", "b.example", 50),
              alias(kQuestion.name, "a.example", 20), srv("other.example", "evil.example")}),
      LetterCase::preserved, kNow);
  REQUIRE(fixture.lookup.isFinished());
  REQUIRE(fixture.lookup.outcome().records.size() == 1);
  REQUIRE(fixture.lookup.outcome().ttl == 20 * kSecond);
  LookupFixture outside; // the alias target is not in the answer, so it is looked up next
  outside.next();
  outside.lookup.onResponse(answer({alias(kQuestion.name, "a.example")}), LetterCase::preserved, kNow);
  REQUIRE(!outside.lookup.isFinished());
  REQUIRE(outside.next().sent.question.name == "a.example");
  LookupFixture loop;
  loop.next();
  loop.lookup.onResponse(answer({alias(kQuestion.name, "a.example"), alias("a.example", kQuestion.name)}),
                         LetterCase::preserved, kNow);
  REQUIRE(loop.lookup.isFinished());
  REQUIRE(loop.lookup.outcome().failure == "too many aliases");
}

TEST_CASE("additional records are accepted only from the zone of the name") {
  LookupFixture fixture;
  fixture.next();
  auto message = answer({srv(kQuestion.name, "s-1.maps.example"), srv(kQuestion.name, "s-2.other.example")});
  for (const char *name : {"s-1.maps.example", "s-2.other.example", "s-3.maps.example"})
    message.additional.push_back({.owner = name, .type = dns::Type::a, .ttl = 9, .address = "127.0.0.1"});
  fixture.lookup.onResponse(message, LetterCase::preserved, kNow);
  REQUIRE(fixture.lookup.outcome().additional.size() == 1);
  REQUIRE(fixture.lookup.outcome().additional[0].owner == "s-1.maps.example");
}

static LookupOutcome recordsWithTtl(Nanoseconds ttl) { return {.result = LookupResult::records, .ttl = ttl}; }

TEST_CASE("an answer is refreshed at a random time before its TTL ends") {
  ResolutionSettings settings;
  Nanoseconds minDelay = INT64_MAX, maxDelay = 0;
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    RefreshSchedule schedule(settings, seed);
    schedule.add(kQuestion, 0, kNow);
    REQUIRE(schedule.startDue(kNow) == kQuestion);
    REQUIRE(!schedule.startDue(kNow));
    REQUIRE(schedule.onOutcome(kQuestion, recordsWithTtl(100 * kSecond), kNow));
    minDelay = std::min(minDelay, schedule.nextDueAt() - kNow);
    maxDelay = std::max(maxDelay, schedule.nextDueAt() - kNow);
    REQUIRE(schedule.freshness(kQuestion, kNow + 100 * kSecond) == Freshness::fresh);
    REQUIRE(schedule.freshness(kQuestion, kNow + 101 * kSecond) == Freshness::stale);
    REQUIRE(schedule.freshness(kQuestion, kNow + 101 * kSecond + settings.staleTime) == Freshness::expired);
  }
  REQUIRE(minDelay >= 75 * kSecond);
  REQUIRE(minDelay < 77 * kSecond);
  REQUIRE(maxDelay > 93 * kSecond);
  REQUIRE(maxDelay <= 95 * kSecond);
}

TEST_CASE("TTLs have a minimum and a maximum") {
  const ResolutionSettings settings;
  for (const auto &[given, bounded] : {std::pair<Nanoseconds, Nanoseconds>{0, settings.minTtl},
                                       {(1LL << 31) * kSecond, settings.maxTtl},
                                       {-1, settings.defaultNegativeTtl},
                                       {7 * kSecond, 7 * kSecond}}) {
    RefreshSchedule schedule(settings, 1);
    schedule.add(kQuestion, 0, kNow);
    schedule.startDue(kNow);
    schedule.onOutcome(kQuestion, recordsWithTtl(given), kNow);
    REQUIRE(schedule.validUntil(kQuestion) == kNow + bounded);
  }
}

TEST_CASE("after failures the next look-up backs off and the last answer is kept") {
  const ResolutionSettings settings;
  RefreshSchedule schedule(settings, 4);
  schedule.add(kQuestion, 0, kNow);
  schedule.startDue(kNow);
  schedule.onOutcome(kQuestion, recordsWithTtl(10 * kSecond), kNow);
  Nanoseconds now = kNow + 10 * kSecond, longest = 0;
  for (int i = 0; i < 30; ++i) {
    now = std::max(now, schedule.nextDueAt());
    REQUIRE(schedule.startDue(now) == kQuestion);
    schedule.onOutcome(kQuestion, LookupOutcome{}, now);
    const Nanoseconds backoff = schedule.nextDueAt() - now;
    REQUIRE(backoff >= settings.minBackoff);
    REQUIRE(backoff <= settings.maxBackoff);
    longest = std::max(longest, backoff);
  }
  REQUIRE(longest > 10 * kSecond);
  REQUIRE(schedule.validUntil(kQuestion) == kNow + 10 * kSecond);
  REQUIRE(schedule.freshness(kQuestion, now) == Freshness::stale);
}

TEST_CASE("look-ups in flight are bounded in number, one for each question") {
  const ResolutionSettings settings;
  RefreshSchedule schedule(settings, 4, 2);
  for (const char *name : {"a", "b", "c"}) schedule.add({name, dns::Type::a}, 0, kNow);
  schedule.add({"a", dns::Type::a}, 0, kNow);
  REQUIRE(schedule.size() == 3);
  REQUIRE(schedule.startDue(kNow));
  REQUIRE(schedule.startDue(kNow));
  REQUIRE(!schedule.startDue(kNow));
  REQUIRE(schedule.nextDueAt() == RefreshSchedule::kNeverDue);
  schedule.remove({"a", dns::Type::a});
  REQUIRE(schedule.inFlight() == 1);
  REQUIRE(
      !schedule.onOutcome({"a", dns::Type::a}, recordsWithTtl(kSecond), kNow)); // the question was removed
  REQUIRE(schedule.startDue(kNow));
  REQUIRE(schedule.inFlight() == 2);
}

TEST_CASE("refreshSoon makes a question due soon") {
  const ResolutionSettings settings;
  RefreshSchedule schedule(settings, 4);
  schedule.add(kQuestion, 0, kNow);
  schedule.startDue(kNow);
  schedule.onOutcome(kQuestion, recordsWithTtl(600 * kSecond), kNow);
  schedule.refreshSoon(kQuestion, 2 * kSecond, kNow);
  REQUIRE(schedule.nextDueAt() >= kNow + 3 * kSecond / 2);
  REQUIRE(schedule.nextDueAt() <= kNow + 5 * kSecond / 2);
  schedule.onAdditionalRecords({"s-1.maps.example", dns::Type::a}, 30 * kSecond, kNow);
  REQUIRE(schedule.validUntil({"s-1.maps.example", dns::Type::a}) == kNow + 30 * kSecond);
}
