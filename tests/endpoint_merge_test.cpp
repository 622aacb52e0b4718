// Tests of the endpoint merge: each cell of the table in docs/dns-srv.md and each rule that goes with it.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "endpoint_merge_fixture.h"

#include <algorithm>
#include <optional>

using namespace myrtlehead;
using namespace myrtlehead::endpoint_merge;

// Endpoint 1 is under test. If `other` is set, endpoint 2 (in DNS) and endpoint 3 (in the list) keep the set
// from being empty.
enum class ListState { ready, draining, gone, unlisted, downReady, downDraining, none };
enum class DnsState { present, stale, absent, expired, nxDomain, never };
enum class Expected { use, drain, out, lastResort };

static void apply(MergeFixture &fixture, DnsState state, bool other) {
  const std::vector<int> both = other ? std::vector<int>{1, 2} : std::vector<int>{1};
  if (state == DnsState::never) return (void)fixture.answer({}, DnsRecordsResult::failed);
  fixture.answer(both);
  fixture.merge.mergedEndpoints(fixture.now);
  if (state == DnsState::stale) fixture.now += kTtl + kSecond;
  if (state == DnsState::expired) fixture.now += kTtl + kStaleTime + kSecond;
  if (state == DnsState::absent) fixture.answer({2});
  if (state == DnsState::nxDomain)
    for (int i = 0; i < 3; ++i) fixture.answer({}, DnsRecordsResult::nxDomain), fixture.now += kSecond;
}

static void apply(MergeFixture &fixture, ListState state, bool other) {
  std::vector<std::pair<int, EndpointState>> rest;
  if (other) rest.push_back({3, EndpointState::ready});
  const auto listWith = [&](EndpointState state1) {
    auto all = rest;
    all.push_back({1, state1});
    fixture.list(all);
  };
  switch (state) {
  case ListState::ready:
    return listWith(EndpointState::ready);
  case ListState::draining:
    return listWith(EndpointState::draining);
  case ListState::gone:
    return listWith(EndpointState::ready), fixture.list(rest);
  case ListState::unlisted:
    return fixture.list(rest);
  case ListState::downReady:
    return listWith(EndpointState::ready), fixture.merge.onEndpointListFailed();
  case ListState::downDraining:
    return listWith(EndpointState::draining), fixture.merge.onEndpointListFailed();
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
        if (dns == DnsState::absent && !other) continue; // the loss of all targets is tested as nxDomain
        for (const bool listFirst : {false, true}) {
          MergeFixture fixture;
          if (listFirst) apply(fixture, list, other);
          apply(fixture, dns, other);
          if (!listFirst) apply(fixture, list, other);
          const auto e = fixture.find(1);
          // A last resort is used only if no other endpoint is in service. Endpoint 3 is only in the list, 2
          // only in DNS.
          const bool othersInService = other && (list != ListState::none || dns == DnsState::present ||
                                                 dns == DnsState::stale || dns == DnsState::absent);
          auto expected = table[l][n];
          if (expected == lastResort) expected = othersInService ? out : use;
          REQUIRE((expected == use) == (e && e->info.state == EndpointState::ready));
          REQUIRE((expected == drain) == (e && e->info.state == EndpointState::draining));
        }
      }
}

TEST_CASE("an address that the list has removed stays out while DNS records have it") {
  MergeFixture fixture;
  fixture.answer({1, 2, 3});
  fixture.list({{1, EndpointState::draining}, {2, EndpointState::ready}});
  fixture.list({{2, EndpointState::ready}});
  for (int i = 0; i < 200;
       ++i, fixture.now += 600 * kSecond) { // DNS records contain it every other time, for more than a day
    fixture.answer(i % 2 == 0 ? std::vector<int>{1, 2, 3} : std::vector<int>{2, 3});
    REQUIRE(!fixture.isInService(1));
    REQUIRE(fixture.isInService(2));
  }
  fixture.now += 3601 * kSecond; // it is forgotten an hour after DNS records last contained it
  fixture.answer({2, 3}), fixture.merge.mergedEndpoints(fixture.now);
  fixture.answer({1, 2, 3});
  REQUIRE(fixture.isInService(1));
  fixture.list({{1, EndpointState::draining}, {2, EndpointState::ready}});
  fixture.list({{1, EndpointState::ready}, {2, EndpointState::ready}}); // the list contains it again
  REQUIRE(fixture.isInService(1));
}

TEST_CASE("a sudden loss is retained until it is confirmed or times out") {
  MergeFixture fixture;
  fixture.answer({1, 2, 3, 4, 5, 6});
  REQUIRE(fixture.answer({1, 2, 7}));
  REQUIRE(fixture.isInService(3));
  REQUIRE(fixture.isInService(7)); // targets that the answer adds are used immediately
  REQUIRE(fixture.merge.statistics().retainedTargets == 4);
  REQUIRE(fixture.answer({1, 2, 7}));
  REQUIRE(fixture.isInService(3));
  REQUIRE(!fixture.answer({1, 2, 7}));
  REQUIRE(!fixture.isInService(3));
  REQUIRE(fixture.isInService(1));
  MergeFixture back; // the second answer contains the targets again, so the loss is discarded
  back.answer({1, 2, 3, 4});
  REQUIRE(back.answer({1}));
  REQUIRE(!back.answer({1, 2, 3, 4}));
  REQUIRE(back.answer({1}));
  REQUIRE(back.answer({1}));
  REQUIRE(back.isInService(4));
  MergeFixture timed; // without a third answer, the retention ends after a time limit
  timed.answer({1, 2, 3, 4});
  timed.answer({1});
  REQUIRE(timed.merge.nextChange(timed.now) == timed.now + 30 * kSecond);
  timed.now += 30 * kSecond;
  REQUIRE(!timed.isInService(4));
  REQUIRE(timed.isInService(1));
  MergeFixture few; // with few targets, the loss is an ordinary change
  few.answer({1, 2, 3});
  REQUIRE(!few.answer({1}));
  REQUIRE(!few.isInService(2));
}

TEST_CASE("failure, NXDOMAIN, NODATA and \"not available\" have different consequences") {
  const auto after = [](DnsRecordsResult result, int answers) {
    MergeFixture fixture;
    fixture.answer({1, 2});
    for (int i = 0; i < answers; ++i) fixture.answer({}, result);
    fixture.list({{3, EndpointState::ready}});
    return fixture.isInService(1);
  };
  REQUIRE(after(DnsRecordsResult::failed, 100));
  REQUIRE(after(DnsRecordsResult::nxDomain, 2));
  REQUIRE(!after(DnsRecordsResult::nxDomain, 3));
  REQUIRE(after(DnsRecordsResult::noData, 2));
  REQUIRE(!after(DnsRecordsResult::noData, 3));
  REQUIRE(after(DnsRecordsResult::notAvailable, 1));
  REQUIRE(!after(DnsRecordsResult::notAvailable, 2));
  MergeFixture alone; // if nothing else is in service, targets are a last resort for a limited time
  alone.answer({1, 2});
  for (int i = 0; i < 3; ++i) alone.answer({}, DnsRecordsResult::nxDomain);
  REQUIRE(alone.isInService(1));
  REQUIRE(alone.merge.statistics().isLastResort);
  alone.now += kStaleTime + kSecond;
  REQUIRE(!alone.isInService(1));
  MergeFixture notAvailable; // "not available" leaves no last resort
  notAvailable.answer({1, 2});
  for (int i = 0; i < 2; ++i) notAvailable.answer({}, DnsRecordsResult::notAvailable);
  REQUIRE(!notAvailable.isInService(1));
}

TEST_CASE("a target that flaps is suppressed and later used again") {
  MergeFixture fixture;
  fixture.answer({1, 2, 3});
  for (int i = 0; i < 3; ++i) fixture.answer({2, 3}), fixture.answer({1, 2, 3}), fixture.now += kSecond;
  REQUIRE(fixture.isInService(1)); // three returns do not exceed the threshold
  fixture.answer({2, 3}), fixture.answer({1, 2, 3});
  REQUIRE(!fixture.isInService(1));
  REQUIRE(fixture.merge.statistics().suppressedTargets == 1);
  REQUIRE(fixture.isInService(2));
  const Nanoseconds since = fixture.now;
  while (!fixture.isInService(1) && fixture.now - since < 300 * kSecond)
    fixture.now = fixture.merge.nextChange(fixture.now), fixture.answer({1, 2, 3});
  REQUIRE(fixture.now - since > 60 * kSecond);
  REQUIRE(fixture.now - since < 180 * kSecond);
  MergeFixture alone; // a target is not suppressed if no other endpoint is in service
  alone.answer({1});
  for (int i = 0; i < 9; ++i) {
    for (int n = 0; n < 3; ++n) alone.answer({}, DnsRecordsResult::noData);
    alone.answer({1});
  }
  REQUIRE(alone.isInService(1));
}

TEST_CASE("an endpoint that appears later counts as started then") {
  MergeFixture fixture;
  fixture.answer({1, 2});
  REQUIRE(fixture.find(1)->info.startedAt == 0); // it was in the first answer
  fixture.now += 10 * kSecond;
  fixture.answer({1, 2, 4});
  REQUIRE(fixture.find(4)->info.startedAt == fixture.now);
  REQUIRE(fixture.find(1)->info.startedAt == 0);
  fixture.merge.onAddressAnswer(MergeFixture::host(2), DnsRecordsResult::records,
                                {"127.0.2.2"}); // the host has a new address, so it is another endpoint
  const auto all = fixture.merge.mergedEndpoints(fixture.now);
  const auto moved = std::find_if(all.begin(), all.end(),
                                  [](const Entry &e) { return e.address == "127.0.2.2:6432"; });
  REQUIRE(moved != all.end());
  REQUIRE(moved->info.startedAt == fixture.now);
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
  unknown.list({{1, EndpointState::ready}}); // the list gives build 3
  REQUIRE(unknown.find(1)->info.build == 3);
  REQUIRE(unknown.merge.statistics().buildMismatches == 1);
  REQUIRE(MergeFixture(3).answer({1}) == false);
}

TEST_CASE("one address with two names is one endpoint") {
  MergeFixture fixture;
  fixture.answer({1});
  fixture.list({{1, EndpointState::ready}});
  const auto all = fixture.merge.mergedEndpoints(fixture.now);
  REQUIRE(all.size() == 1);
  REQUIRE(all[0].name == "n1");
  REQUIRE(fixture.merge.statistics().addressesWithTwoNames == 1);
  fixture.merge.onSrvAnswer(0, DnsRecordsResult::records,
                            {{MergeFixture::host(1), 6432, 0, 1}, {"other.maps.example", 6432, 1, 1}},
                            fixture.now + kTtl, fixture.now);
  fixture.merge.onAddressAnswer("other.maps.example", DnsRecordsResult::records, {MergeFixture::ip(1)});
  REQUIRE(fixture.merge.mergedEndpoints(fixture.now).size() == 1);
}

TEST_CASE("a host may have several addresses and loses them after repeated negative answers") {
  MergeFixture fixture;
  fixture.answer({1});
  fixture.merge.onAddressAnswer(MergeFixture::host(1), DnsRecordsResult::records,
                                {"127.0.3.5", "127.0.3.4", "127.0.3.1", "127.0.3.2", "127.0.3.3"});
  REQUIRE(fixture.merge.mergedEndpoints(fixture.now).size() == kMaxAddressesPerHost);
  REQUIRE(fixture.merge.onAddressAnswer(MergeFixture::host(1), DnsRecordsResult::failed, {}) ==
          NextLookup::onSchedule);
  REQUIRE(fixture.merge.mergedEndpoints(fixture.now).size() == 4);
  REQUIRE(fixture.merge.onAddressAnswer(MergeFixture::host(1), DnsRecordsResult::nxDomain, {}) ==
          NextLookup::soon);
  REQUIRE(fixture.merge.onAddressAnswer(MergeFixture::host(1), DnsRecordsResult::nxDomain, {}) ==
          NextLookup::soon);
  REQUIRE(fixture.merge.onAddressAnswer(MergeFixture::host(1), DnsRecordsResult::nxDomain, {}) ==
          NextLookup::onSchedule);
  REQUIRE(fixture.merge.mergedEndpoints(fixture.now).empty());
  REQUIRE(fixture.merge.statistics().unresolvedTargets > 0);
}

TEST_CASE("priorities become groups, and weights fractions of the largest") {
  MergeFixture fixture;
  fixture.merge.onSrvAnswer(0, DnsRecordsResult::records,
                            {{MergeFixture::host(1), 6432, 10, 100},
                             {MergeFixture::host(2), 6432, 10, 25},
                             {MergeFixture::host(3), 6432, 10, 0},
                             {MergeFixture::host(4), 6432, 20, 0}},
                            fixture.now + kTtl, fixture.now);
  for (int i = 1; i <= 4; ++i)
    fixture.merge.onAddressAnswer(MergeFixture::host(i), DnsRecordsResult::records, {MergeFixture::ip(i)});
  fixture.list({{5, EndpointState::ready}});
  REQUIRE(fixture.find(1)->info.priorityGroup == 0);
  REQUIRE(fixture.find(1)->info.weight == 1);
  REQUIRE(fixture.find(2)->info.weight == 0.25);
  REQUIRE(fixture.find(3)->info.weight == 0.01);
  REQUIRE(fixture.find(4)->info.priorityGroup == 1);
  REQUIRE(fixture.find(4)->info.weight == 1);
  REQUIRE(fixture.find(5)->info.priorityGroup == 0);
  REQUIRE(fixture.find(5)->info.weight == 1);
  REQUIRE(fixture.merge.statistics().priorityGroups == 2);
}

TEST_CASE("an instance restored from a snapshot continues with the state of the snapshot") {
  MergeFixture fixture;
  fixture.answer({1, 2, 3});
  fixture.now += 5 * kSecond;
  fixture.answer({1, 2, 3, 4});
  fixture.list({{2, EndpointState::draining}, {5, EndpointState::ready}});
  fixture.merge.mergedEndpoints(fixture.now);
  MergeFixture next;
  next.now = fixture.now + 100 * kSecond;
  next.merge.restore(fixture.merge.snapshot(), next.now);
  REQUIRE(next.isInService(1));
  REQUIRE(!next.isInService(2));
  REQUIRE(next.isInService(5));
  REQUIRE(next.merge.statistics().isListDown);
  REQUIRE(next.find(4)->info.startedAt == fixture.now); // its start time is kept, so slow start continues
  next.answer({1, 3, 4, 6});
  REQUIRE(next.find(6)->info.startedAt == next.now);
  REQUIRE(next.find(1)->info.startedAt == 0);
  MergeFixture other; // record sets of names that are not followed are ignored
  other.merge = EndpointMerge({}, kStaleTime, 0, subsetting::Subset(1, 0, 0));
  other.merge.addSrvName("_pg._tcp.other.example", 1, -1);
  other.merge.restore(fixture.merge.snapshot(), next.now);
  REQUIRE(!other.isInService(1));
  REQUIRE(other.isInService(5));
}

TEST_CASE("the memory of departed addresses is bounded") {
  MergeFixture fixture;
  for (int i = 0; i < 30; ++i, fixture.now += 700 * kSecond) {
    std::vector<Entry> entries;
    for (int n = 0; n < 2000; ++n) {
      const auto id = std::to_string(i * 2000 + n);
      entries.push_back({"n" + id, "10.0.0.1:" + id, {.build = 1}});
    }
    fixture.merge.onEndpointList(entries, ListUpdate::complete, fixture.now);
    fixture.merge.mergedEndpoints(fixture.now);
  }
  const auto snapshot = fixture.merge.snapshot();
  REQUIRE(snapshot.listed.size() == 2000);
  REQUIRE(snapshot.departed.size() <= kMaxEndpoints);
  fixture.now += 3601 * kSecond, fixture.merge.mergedEndpoints(fixture.now);
  REQUIRE(fixture.merge.snapshot().departed.empty());
}
