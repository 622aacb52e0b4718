// Property test of the endpoint merge: its invariants hold after random sequences of list updates and DNS
// answers.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "endpoint_merge_fixture.h"

#include <algorithm>
#include <rapidcheck.h>
#include <set>

using namespace myrtlehead;
using namespace myrtlehead::endpoint_merge;

TEST_CASE("invariants hold after any sequence of list updates and DNS answers") {
  const bool ok = rc::check("list updates and DNS answers in any order", [] {
    MergeFixture fixture;
    std::vector<bool> draining(9, false); // by endpoint, according to the latest list update
    bool everInDns = false, onlyFailed = true;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1 << 16));
    for (const int decision : steps) {
      const int step = decision % 8, endpoint = 1 + decision / 8 % 8;
      const auto subset = [&] {
        std::vector<int> out;
        for (int i = 1; i <= 8; ++i)
          if ((decision >> 3 >> (i - 1) & 1) != 0) out.push_back(i);
        return out;
      }();
      fixture.now += (decision % 97) * kSecond;
      if (step <= 2 && !subset.empty()) fixture.answer(subset), everInDns = true, onlyFailed = true;
      if (step == 3) fixture.answer({}, DnsRecordsResult::failed);
      if (step == 4)
        fixture.answer({}, decision % 2 == 0 ? DnsRecordsResult::nxDomain : DnsRecordsResult::notAvailable),
            onlyFailed = false;
      if (step == 5)
        fixture.list({{endpoint, EndpointState::draining}}, ListUpdate::partial),
            draining[static_cast<std::size_t>(endpoint)] = true;
      if (step == 6)
        fixture.list({{endpoint, EndpointState::ready}}, ListUpdate::partial),
            draining[static_cast<std::size_t>(endpoint)] = false;
      if (step == 7) fixture.merge.onEndpointListFailed();
      const auto all = fixture.merge.mergedEndpoints(fixture.now);
      std::set<std::string> addresses;
      std::size_t ready = 0;
      for (const auto &e : all) {
        RC_ASSERT(addresses.insert(e.address).second);
        ready += e.info.state == EndpointState::ready;
        for (int i = 1; i <= 8; ++i)
          if (e.address == MergeFixture::address(i) && draining[static_cast<std::size_t>(i)])
            RC_ASSERT(e.info.state != EndpointState::ready);
      }
      const bool anyNotDraining = std::find(draining.begin() + 1, draining.end(), false) != draining.end();
      // Failed look-ups remove no endpoint: the endpoints of the last answer stay in service, as stale
      // records or as a last resort.
      if (everInDns && onlyFailed && anyNotDraining &&
          std::count(draining.begin(), draining.end(), true) == 0)
        RC_ASSERT(ready > 0u);
      RC_ASSERT(fixture.merge.nextChange(fixture.now) > fixture.now);
    }
  });
  REQUIRE(ok);
}
