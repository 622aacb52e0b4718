// Tests of subsetting and of the selection of priority groups.
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

TEST_CASE("each endpoint is used by the same number of instances") {
  const auto all = endpoints(1000);
  std::vector<int> instances(all.size());
  std::size_t least = all.size(), most = 0;
  for (int ownIndex = 0; ownIndex < 50; ++ownIndex) {
    subsetting::Subset s(50, ownIndex, 100);
    const auto selected = s.select(all);
    const auto n = static_cast<std::size_t>(std::count(selected.begin(), selected.end(), true));
    least = std::min(least, n), most = std::max(most, n);
    for (std::size_t i = 0; i < selected.size(); ++i) instances[i] += selected[i];
  }
  REQUIRE(*std::min_element(instances.begin(), instances.end()) == 5);
  REQUIRE(*std::max_element(instances.begin(), instances.end()) == 5);
  REQUIRE(least > 60);
  REQUIRE(most < 145);
}

// Replacing one of 1,000 endpoints must change only the connections of that endpoint.
TEST_CASE("replacing one endpoint changes no other connections") {
  auto before = endpoints(1000), after = before;
  after.erase(after.begin() + 500);
  after.push_back("new.maps.example:6432");
  int changed = 0;
  for (int ownIndex = 0; ownIndex < 50; ++ownIndex) {
    subsetting::Subset s(50, ownIndex, 100);
    std::set<std::string> usedBefore, usedAfter;
    auto selected = s.select(before);
    for (std::size_t i = 0; i < selected.size(); ++i)
      if (selected[i]) usedBefore.insert(before[i]);
    const auto ranksBefore = s.ranksComputed();
    selected = s.select(after);
    REQUIRE(s.ranksComputed() == ranksBefore + 1); // only the rank of the new endpoint is computed
    for (std::size_t i = 0; i < selected.size(); ++i)
      if (selected[i]) usedAfter.insert(after[i]);
    std::vector<std::string> differ;
    std::set_symmetric_difference(usedBefore.begin(), usedBefore.end(), usedAfter.begin(), usedAfter.end(),
                                  std::back_inserter(differ));
    changed += static_cast<int>(differ.size());
  }
  REQUIRE(changed == 10); // five connections of the removed endpoint and five of the new one
}

TEST_CASE("all endpoints of a small set are used") {
  subsetting::Subset s(500, 3, 100);
  auto selected = s.select(endpoints(200));
  REQUIRE(std::count(selected.begin(), selected.end(), true) == 200);
  subsetting::Subset all(500, 3, 0);
  selected = all.select(endpoints(5000));
  REQUIRE(std::count(selected.begin(), selected.end(), true) == 5000);
  for (int ownIndex = 0; ownIndex < 20;
       ++ownIndex) { // at least half of the size is used, even with many instances per endpoint
    subsetting::Subset few(500, ownIndex, 10);
    selected = few.select(endpoints(40));
    REQUIRE(std::count(selected.begin(), selected.end(), true) >= 5);
  }
}

TEST_CASE("the number of instances per endpoint does not change with small changes of the set") {
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

static void updateShares(PrioritySelector &p, const std::vector<PrioritySelector::Group> &groups,
                         std::int64_t &now, int periods = 1) {
  for (int i = 0; i < periods; ++i) p.updateShares(groups, now += PrioritySelector::kUpdateInterval);
}

TEST_CASE("the preferred group receives the requests that it can carry") {
  PrioritySelector p;
  std::int64_t now = PrioritySelector::kUpdateInterval;
  updateShares(p, {{10, 0}, {10, 0}}, now);
  REQUIRE(p.share(0) == 1);
  REQUIRE(p.select(0.999) == 0);
  updateShares(p, {{10, 2}, {10, 0}}, now);
  REQUIRE(p.share(0) == 1); // 0.8 * 1.4 is above 1
  updateShares(p, {{10, 5}, {10, 0}}, now);
  REQUIRE(std::abs(p.share(0) - 0.7) < 1e-9);
  REQUIRE(std::abs(p.share(1) - 0.3) < 1e-9);
  REQUIRE(p.select(0.69) == 0);
  REQUIRE(p.select(0.71) == 1);
  updateShares(p, {{10, 10}, {10, 0}}, now);
  REQUIRE(p.share(1) == 1);
  REQUIRE(p.select(0) == 1);
  updateShares(p, {{0, 0}, {10, 0}, {10, 0}}, now);
  REQUIRE(p.share(1) == 1);
  updateShares(p, {{10, 10}, {10, 8}},
               now); // no group can carry its share: the group with the largest capacity receives the rest
  REQUIRE(p.share(1) == 1);
  updateShares(p, {{4, 4}, {4, 4}}, now);
  REQUIRE(p.share(0) == 1);
}

TEST_CASE("requests are diverted from a slow group step by step and return when it is fast again") {
  PrioritySelector p;
  std::int64_t now = PrioritySelector::kUpdateInterval;
  const std::vector<PrioritySelector::Group> groups{{10, 0}, {10, 0}};
  updateShares(p, groups, now);
  for (int i = 0; i < 200; ++i) p.onAttemptFinished(0, 0.6);
  updateShares(p, groups, now);
  REQUIRE(p.share(0) < 1);
  REQUIRE(p.share(0) > 0.9);
  for (int n = 0; n < 5; ++n) p.onAttemptFinished(0, 0.6), updateShares(p, groups, now);
  REQUIRE(p.share(0) < 0.8);
  REQUIRE(std::abs(p.share(0) + p.share(1) - 1) < 1e-9);
  for (int i = 0; i < 200; ++i) p.onAttemptFinished(0, 0.1);
  updateShares(p, groups, now, 60);
  REQUIRE(p.share(0) == 1);
}
