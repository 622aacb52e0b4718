// Which endpoints of a large set an instance uses, and which group a request goes to.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy/priority_selector.h"
#include "policy/subsetting.h"

#include <algorithm>
#include <cmath>
#include <set>

using namespace myrtlehead;

static std::vector<std::string> endpoints(int n) {
  std::vector<std::string> out;
  for (int i = 0; i < n; ++i) out.push_back("s-" + std::to_string(i) + ".maps.example:6432");
  return out;
}

TEST_CASE("each server has as many marshals") {
  const auto all = endpoints(1000);
  std::vector<int> marshals(all.size());
  std::size_t least = all.size(), most = 0;
  for (int me = 0; me < 50; ++me) {
    subsetting::Subset s(50, me, 100);
    const auto selected = s.select(all);
    const auto n = static_cast<std::size_t>(std::count(selected.begin(), selected.end(), true));
    least = std::min(least, n), most = std::max(most, n);
    for (std::size_t i = 0; i < selected.size(); ++i) marshals[i] += selected[i];
  }
  REQUIRE(*std::min_element(marshals.begin(), marshals.end()) == 5);
  REQUIRE(*std::max_element(marshals.begin(), marshals.end()) == 5);
  REQUIRE(least > 60);
  REQUIRE(most < 145);
}

// One of 1,000 servers goes: its five connections move to nobody, and nobody else's move.
TEST_CASE("a change moves the least") {
  auto before = endpoints(1000), after = before;
  after.erase(after.begin() + 500);
  after.push_back("new.maps.example:6432");
  int moved = 0;
  for (int me = 0; me < 50; ++me) {
    subsetting::Subset s(50, me, 100);
    std::set<std::string> was, is;
    auto selected = s.select(before);
    for (std::size_t i = 0; i < selected.size(); ++i)
      if (selected[i]) was.insert(before[i]);
    const auto ranked = s.ranksComputed();
    selected = s.select(after);
    REQUIRE(s.ranksComputed() == ranked + 1); // only the new one is computed
    for (std::size_t i = 0; i < selected.size(); ++i)
      if (selected[i]) is.insert(after[i]);
    std::vector<std::string> differ;
    std::set_symmetric_difference(was.begin(), was.end(), is.begin(), is.end(), std::back_inserter(differ));
    moved += static_cast<int>(differ.size());
  }
  REQUIRE(moved == 10); // five that it had, five for the new one
}

TEST_CASE("small sets are selected whole") {
  subsetting::Subset s(500, 3, 100);
  auto selected = s.select(endpoints(200));
  REQUIRE(std::count(selected.begin(), selected.end(), true) == 200);
  subsetting::Subset all(500, 3, 0);
  selected = all.select(endpoints(5000));
  REQUIRE(std::count(selected.begin(), selected.end(), true) == 5000);
  for (int me = 0; me < 20; ++me) { // many instances, few endpoints each: never under half of the size
    subsetting::Subset few(500, me, 10);
    selected = few.select(endpoints(40));
    REQUIRE(std::count(selected.begin(), selected.end(), true) >= 5);
  }
}

TEST_CASE("the number of marshals keeps still") {
  subsetting::Subset s(500, 3, 100);
  s.select(endpoints(10'000));
  const int each = s.instancesPerEndpoint();
  for (const int n : {9'900, 10'100, 9'500, 10'400, 10'000}) s.select(endpoints(n));
  REQUIRE(each == 5);
  REQUIRE(s.instancesPerEndpoint() == 5);
  s.select(endpoints(40'000));
  REQUIRE(s.instancesPerEndpoint() == 2);
}

using priority_selector::PrioritySelector;

static void settle(PrioritySelector &p, const std::vector<PrioritySelector::Group> &groups, std::int64_t &now,
                   int periods = 1) {
  for (int i = 0; i < periods; ++i) p.updateShares(groups, now += PrioritySelector::kUpdateInterval);
}

TEST_CASE("the better group carries what it can") {
  PrioritySelector p;
  std::int64_t now = PrioritySelector::kUpdateInterval;
  settle(p, {{10, 0}, {10, 0}}, now);
  REQUIRE(p.share(0) == 1);
  REQUIRE(p.select(0.999) == 0);
  settle(p, {{10, 2}, {10, 0}}, now);
  REQUIRE(p.share(0) == 1); // eight tenths times 1.4
  settle(p, {{10, 5}, {10, 0}}, now);
  REQUIRE(std::abs(p.share(0) - 0.7) < 1e-9);
  REQUIRE(std::abs(p.share(1) - 0.3) < 1e-9);
  REQUIRE(p.select(0.69) == 0);
  REQUIRE(p.select(0.71) == 1);
  settle(p, {{10, 10}, {10, 0}}, now);
  REQUIRE(p.share(1) == 1);
  REQUIRE(p.select(0) == 1);
  settle(p, {{0, 0}, {10, 0}, {10, 0}}, now);
  REQUIRE(p.share(1) == 1);
  settle(p, {{10, 10}, {10, 8}}, now); // nobody can: to whoever carries most
  REQUIRE(p.share(1) == 1);
  settle(p, {{4, 4}, {4, 4}}, now);
  REQUIRE(p.share(0) == 1);
}

TEST_CASE("a late group lets go in proportion") {
  PrioritySelector p;
  std::int64_t now = PrioritySelector::kUpdateInterval;
  const std::vector<PrioritySelector::Group> groups{{10, 0}, {10, 0}};
  settle(p, groups, now);
  for (int i = 0; i < 200; ++i) p.onAttemptFinished(0, 0.6);
  settle(p, groups, now);
  REQUIRE(p.share(0) < 1);
  REQUIRE(p.share(0) > 0.9);
  for (int n = 0; n < 5; ++n) p.onAttemptFinished(0, 0.6), settle(p, groups, now);
  REQUIRE(p.share(0) < 0.8);
  REQUIRE(std::abs(p.share(0) + p.share(1) - 1) < 1e-9);
  for (int i = 0; i < 200; ++i) p.onAttemptFinished(0, 0.1);
  settle(p, groups, now, 60);
  REQUIRE(p.share(0) == 1);
}
