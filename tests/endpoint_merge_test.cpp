// The merge of endpoint list and DNS records: each cell of the table in docs/dns-srv.md, each rule beside it.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "endpoint_merge_fixture.h"

#include <algorithm>
#include <optional>

using namespace myrtlehead;
using namespace myrtlehead::endpoint_merge;

// Endpoint 1 is the one under test; endpoint 2, where there is one, keeps the set from being empty.
enum class ListState { ready, draining, gone, unlisted, downReady, downDraining, none };
enum class DnsState { present, stale, absent, expired, nxDomain, never };
enum class Expected { use, drain, out, lastResort };

static void apply(MergeFixture &b, DnsState state, bool other) {
  const std::vector<int> both = other ? std::vector<int>{1, 2} : std::vector<int>{1};
  if (state == DnsState::never) return (void)b.answer({}, DnsRecordsResult::failed);
  b.answer(both);
  b.merge.mergedEndpoints(b.now);
  if (state == DnsState::stale) b.now += kTtl + kSecond;
  if (state == DnsState::expired) b.now += kTtl + kStaleTime + kSecond;
  if (state == DnsState::absent) b.answer({2});
  if (state == DnsState::nxDomain)
    for (int i = 0; i < 3; ++i) b.answer({}, DnsRecordsResult::nxDomain), b.now += kSecond;
}

static void apply(MergeFixture &b, ListState state, bool other) {
  std::vector<std::pair<int, EndpointState>> rest;
  if (other) rest.push_back({3, EndpointState::ready});
  const auto with = [&](EndpointState mode) {
    auto all = rest;
    all.push_back({1, mode});
    b.list(all);
  };
  switch (state) {
  case ListState::ready:
    return with(EndpointState::ready);
  case ListState::draining:
    return with(EndpointState::draining);
  case ListState::gone:
    return with(EndpointState::ready), b.list(rest);
  case ListState::unlisted:
    return b.list(rest);
  case ListState::downReady:
    return with(EndpointState::ready), b.merge.onEndpointListFailed();
  case ListState::downDraining:
    return with(EndpointState::draining), b.merge.onEndpointListFailed();
  case ListState::none:
    return;
  }
}

TEST_CASE("each pair of list state and DNS state gives what the table of docs/dns-srv.md says") {
  using enum Expected;
  const Expected table[7][6] = {
      // present, stale, absent, expired, NXDOMAIN, never
      {use, use, use, use, use, use},               // ready
      {drain, drain, drain, drain, drain, drain},   // draining
      {out, out, out, out, out, out},               // gone
      {use, use, out, lastResort, lastResort, out}, // not listed
      {use, use, use, use, use, use},               // down, last ready
      {drain, drain, drain, drain, drain, drain},   // down, last draining
      {use, use, out, lastResort, lastResort, out}, // none
  };
  for (int l = 0; l < 7; ++l)
    for (int n = 0; n < 6; ++n)
      for (const bool other : {false, true}) {
        const auto dns = static_cast<DnsState>(n);
        const auto list = static_cast<ListState>(l);
        if (dns == DnsState::absent && !other) continue; // a loss of all is another row
        for (const bool listFirst : {false, true}) {
          MergeFixture b;
          if (listFirst) apply(b, list, other);
          apply(b, dns, other);
          if (!listFirst) apply(b, list, other);
          const auto e = b.find(1);
          // Where others serve, a last resort stays out. Endpoint 3 is only in the list, 2 only in DNS.
          const bool others = other && (list != ListState::none || dns == DnsState::present ||
                                        dns == DnsState::stale || dns == DnsState::absent);
          auto expected = table[l][n];
          if (expected == lastResort) expected = others ? out : use;
          REQUIRE((expected == use) == (e && e->info.state == EndpointState::ready));
          REQUIRE((expected == drain) == (e && e->info.state == EndpointState::draining));
        }
      }
}

TEST_CASE("an address that the list has removed stays out while DNS records have it") {
  MergeFixture b;
  b.answer({1, 2, 3});
  b.list({{1, EndpointState::draining}, {2, EndpointState::ready}});
  b.list({{2, EndpointState::ready}});
  for (int i = 0; i < 200; ++i, b.now += 600 * kSecond) { // in DNS again and again, for over a day
    b.answer(i % 2 == 0 ? std::vector<int>{1, 2, 3} : std::vector<int>{2, 3});
    REQUIRE(!b.serves(1));
    REQUIRE(b.serves(2));
  }
  b.now += 3601 * kSecond; // forgotten an hour after the latest mention
  b.answer({2, 3}), b.merge.mergedEndpoints(b.now);
  b.answer({1, 2, 3});
  REQUIRE(b.serves(1));
  b.list({{1, EndpointState::draining}, {2, EndpointState::ready}});
  b.list({{1, EndpointState::ready}, {2, EndpointState::ready}}); // the list itself has it again
  REQUIRE(b.serves(1));
}

TEST_CASE("a sudden loss is retained until it is confirmed or times out") {
  MergeFixture b;
  b.answer({1, 2, 3, 4, 5, 6});
  REQUIRE(b.answer({1, 2, 7}));
  REQUIRE(b.serves(3));
  REQUIRE(b.serves(7)); // what it adds counts at once
  REQUIRE(b.merge.statistics().retainedTargets == 4);
  REQUIRE(b.answer({1, 2, 7}));
  REQUIRE(b.serves(3));
  REQUIRE(!b.answer({1, 2, 7}));
  REQUIRE(!b.serves(3));
  REQUIRE(b.serves(1));
  MergeFixture back; // the second answer has them again: nothing happened
  back.answer({1, 2, 3, 4});
  REQUIRE(back.answer({1}));
  REQUIRE(!back.answer({1, 2, 3, 4}));
  REQUIRE(back.answer({1}));
  REQUIRE(back.answer({1}));
  REQUIRE(back.serves(4));
  MergeFixture timed; // no third answer comes: bounded in time
  timed.answer({1, 2, 3, 4});
  timed.answer({1});
  REQUIRE(timed.merge.nextChange(timed.now) == timed.now + 30 * kSecond);
  timed.now += 30 * kSecond;
  REQUIRE(!timed.serves(4));
  REQUIRE(timed.serves(1));
  MergeFixture few; // an ordinary change
  few.answer({1, 2, 3});
  REQUIRE(!few.answer({1}));
  REQUIRE(!few.serves(2));
}

TEST_CASE("failure, NXDOMAIN, NODATA and \"not available\" have different consequences") {
  const auto after = [](DnsRecordsResult result, int answers) {
    MergeFixture b;
    b.answer({1, 2});
    for (int i = 0; i < answers; ++i) b.answer({}, result);
    b.list({{3, EndpointState::ready}});
    return b.serves(1);
  };
  REQUIRE(after(DnsRecordsResult::failed, 100));
  REQUIRE(after(DnsRecordsResult::nxDomain, 2));
  REQUIRE(!after(DnsRecordsResult::nxDomain, 3));
  REQUIRE(after(DnsRecordsResult::noData, 2));
  REQUIRE(!after(DnsRecordsResult::noData, 3));
  REQUIRE(after(DnsRecordsResult::notAvailable, 1));
  REQUIRE(!after(DnsRecordsResult::notAvailable, 2));
  MergeFixture alone; // NXDOMAIN, and nothing else is left: as a last resort, for a bounded time
  alone.answer({1, 2});
  for (int i = 0; i < 3; ++i) alone.answer({}, DnsRecordsResult::nxDomain);
  REQUIRE(alone.serves(1));
  REQUIRE(alone.merge.statistics().isLastResort);
  alone.now += kStaleTime + kSecond;
  REQUIRE(!alone.serves(1));
  MergeFixture decided; // "decidedly not available" leaves none
  decided.answer({1, 2});
  for (int i = 0; i < 2; ++i) decided.answer({}, DnsRecordsResult::notAvailable);
  REQUIRE(!decided.serves(1));
}

TEST_CASE("a target that flaps is suppressed and later used again") {
  MergeFixture b;
  b.answer({1, 2, 3});
  for (int i = 0; i < 3; ++i) b.answer({2, 3}), b.answer({1, 2, 3}), b.now += kSecond;
  REQUIRE(b.serves(1)); // three returns are tolerated
  b.answer({2, 3}), b.answer({1, 2, 3});
  REQUIRE(!b.serves(1));
  REQUIRE(b.merge.statistics().suppressedTargets == 1);
  REQUIRE(b.serves(2));
  const Nanoseconds since = b.now;
  while (!b.serves(1) && b.now - since < 300 * kSecond)
    b.now = b.merge.nextChange(b.now), b.answer({1, 2, 3});
  REQUIRE(b.now - since > 60 * kSecond);
  REQUIRE(b.now - since < 180 * kSecond);
  MergeFixture alone; // never where that leaves none
  alone.answer({1});
  for (int i = 0; i < 9; ++i) {
    for (int n = 0; n < 3; ++n) alone.answer({}, DnsRecordsResult::noData);
    alone.answer({1});
  }
  REQUIRE(alone.serves(1));
}

TEST_CASE("an endpoint that appears later counts as started then") {
  MergeFixture b;
  b.answer({1, 2});
  REQUIRE(b.find(1)->info.startedAt == 0); // there before we looked
  b.now += 10 * kSecond;
  b.answer({1, 2, 4});
  REQUIRE(b.find(4)->info.startedAt == b.now);
  REQUIRE(b.find(1)->info.startedAt == 0);
  b.merge.onAddressAnswer(MergeFixture::host(2), DnsRecordsResult::records,
                          {"127.0.2.2"}); // moved: another server
  const auto all = b.merge.mergedEndpoints(b.now);
  const auto moved = std::find_if(all.begin(), all.end(),
                                  [](const Entry &e) { return e.address == "127.0.2.2:6432"; });
  REQUIRE(moved != all.end());
  REQUIRE(moved->info.startedAt == b.now);
}

TEST_CASE("builds come from the list, a TXT record or the settings") {
  REQUIRE(parseRelease("zone=a release=12") == 12);
  REQUIRE(parseRelease("release=x") == -1);
  REQUIRE(parseRelease("release=70000") == -1);
  REQUIRE(parseRelease("prerelease=1") == -1);
  REQUIRE(parseRelease("release=1 release=2") == 1);
  MergeFixture unknown(-1);
  unknown.answer({1});
  REQUIRE(unknown.find(1)->info.build == kUnknownBuild);
  REQUIRE(unknown.merge.statistics().unknownBuilds == 1);
  unknown.merge.onReleaseAnswer(MergeFixture::host(1), 8);
  REQUIRE(unknown.find(1)->info.build == 8);
  unknown.list({{1, EndpointState::ready}}); // the list says 3
  REQUIRE(unknown.find(1)->info.build == 3);
  REQUIRE(unknown.merge.statistics().buildMismatches == 1);
  REQUIRE(MergeFixture(3).answer({1}) == false);
}

TEST_CASE("one address with two names is one endpoint") {
  MergeFixture b;
  b.answer({1});
  b.list({{1, EndpointState::ready}});
  const auto all = b.merge.mergedEndpoints(b.now);
  REQUIRE(all.size() == 1);
  REQUIRE(all[0].name == "n1");
  REQUIRE(b.merge.statistics().addressesWithTwoNames == 1);
  b.merge.onSrvAnswer(0, DnsRecordsResult::records,
                      {{MergeFixture::host(1), 6432, 0, 1}, {"other.maps.example", 6432, 1, 1}}, b.now + kTtl,
                      b.now);
  b.merge.onAddressAnswer("other.maps.example", DnsRecordsResult::records, {MergeFixture::ip(1)});
  REQUIRE(b.merge.mergedEndpoints(b.now).size() == 1);
}

TEST_CASE("a host may have several addresses and loses them after repeated negative answers") {
  MergeFixture b;
  b.answer({1});
  b.merge.onAddressAnswer(MergeFixture::host(1), DnsRecordsResult::records,
                          {"127.0.3.5", "127.0.3.4", "127.0.3.1", "127.0.3.2", "127.0.3.3"});
  REQUIRE(b.merge.mergedEndpoints(b.now).size() == kMaxAddressesPerHost);
  REQUIRE(b.merge.onAddressAnswer(MergeFixture::host(1), DnsRecordsResult::failed, {}) ==
          NextLookup::onSchedule);
  REQUIRE(b.merge.mergedEndpoints(b.now).size() == 4);
  REQUIRE(b.merge.onAddressAnswer(MergeFixture::host(1), DnsRecordsResult::nxDomain, {}) == NextLookup::soon);
  REQUIRE(b.merge.onAddressAnswer(MergeFixture::host(1), DnsRecordsResult::nxDomain, {}) == NextLookup::soon);
  REQUIRE(b.merge.onAddressAnswer(MergeFixture::host(1), DnsRecordsResult::nxDomain, {}) ==
          NextLookup::onSchedule);
  REQUIRE(b.merge.mergedEndpoints(b.now).empty());
  REQUIRE(b.merge.statistics().unresolvedTargets > 0);
}

TEST_CASE("priorities become groups, and weights fractions of the largest") {
  MergeFixture b;
  b.merge.onSrvAnswer(0, DnsRecordsResult::records,
                      {{MergeFixture::host(1), 6432, 10, 100},
                       {MergeFixture::host(2), 6432, 10, 25},
                       {MergeFixture::host(3), 6432, 10, 0},
                       {MergeFixture::host(4), 6432, 20, 0}},
                      b.now + kTtl, b.now);
  for (int i = 1; i <= 4; ++i)
    b.merge.onAddressAnswer(MergeFixture::host(i), DnsRecordsResult::records, {MergeFixture::ip(i)});
  b.list({{5, EndpointState::ready}});
  REQUIRE(b.find(1)->info.priorityGroup == 0);
  REQUIRE(b.find(1)->info.weight == 1);
  REQUIRE(b.find(2)->info.weight == 0.25);
  REQUIRE(b.find(3)->info.weight == 0.01);
  REQUIRE(b.find(4)->info.priorityGroup == 1);
  REQUIRE(b.find(4)->info.weight == 1);
  REQUIRE(b.find(5)->info.priorityGroup == 0);
  REQUIRE(b.find(5)->info.weight == 1);
  REQUIRE(b.merge.statistics().priorityGroups == 2);
}

TEST_CASE("a restored instance goes on where the snapshot was taken") {
  MergeFixture b;
  b.answer({1, 2, 3});
  b.now += 5 * kSecond;
  b.answer({1, 2, 3, 4});
  b.list({{2, EndpointState::draining}, {5, EndpointState::ready}});
  b.merge.mergedEndpoints(b.now);
  MergeFixture next;
  next.now = b.now + 100 * kSecond;
  next.merge.restore(b.merge.snapshot(), next.now);
  REQUIRE(next.serves(1));
  REQUIRE(!next.serves(2));
  REQUIRE(next.serves(5));
  REQUIRE(next.merge.statistics().isListDown);
  REQUIRE(next.find(4)->info.startedAt == b.now); // it warms up as before
  next.answer({1, 3, 4, 6});
  REQUIRE(next.find(6)->info.startedAt == next.now);
  REQUIRE(next.find(1)->info.startedAt == 0);
  MergeFixture other; // record sets of names that are not followed are ignored
  other.merge = EndpointMerge({}, kStaleTime, 0, subsetting::Subset(1, 0, 0));
  other.merge.addSrvName("_pg._tcp.other.example", 1, -1);
  other.merge.restore(b.merge.snapshot(), next.now);
  REQUIRE(!other.serves(1));
  REQUIRE(other.serves(5));
}

TEST_CASE("the memory of departed addresses is bounded") {
  MergeFixture b;
  for (int i = 0; i < 30; ++i, b.now += 700 * kSecond) {
    std::vector<Entry> entries;
    for (int n = 0; n < 2000; ++n) {
      const auto id = std::to_string(i * 2000 + n);
      entries.push_back({"n" + id, "10.0.0.1:" + id, {.build = 1}});
    }
    b.merge.onEndpointList(entries, ListUpdate::complete, b.now);
    b.merge.mergedEndpoints(b.now);
  }
  const auto snapshot = b.merge.snapshot();
  REQUIRE(snapshot.listed.size() == 2000);
  REQUIRE(snapshot.departed.size() <= kMaxEndpoints);
  b.now += 3601 * kSecond, b.merge.mergedEndpoints(b.now);
  REQUIRE(b.merge.snapshot().departed.empty());
}
