// Which servers of a large set a marshal holds, and which group a req goes to.
#include "decide/preference/preference.h"
#include "decide/subset/subset.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <set>

using namespace myrtlehead;

static std::vector<std::string> servers(int n) {
  std::vector<std::string> out;
  for (int i = 0; i < n; ++i) out.push_back("s-" + std::to_string(i) + ".maps.example:6432");
  return out;
}

static void eachServerHasAsManyMarshals() {
  const auto all = servers(1000);
  std::vector<int> marshals(all.size());
  std::size_t least = all.size(), most = 0;
  for (int me = 0; me < 50; ++me) {
    subset::Subset s(50, me, 100);
    const auto held = s.held(all);
    const auto n = static_cast<std::size_t>(std::count(held.begin(), held.end(), true));
    least = std::min(least, n), most = std::max(most, n);
    for (std::size_t i = 0; i < held.size(); ++i) marshals[i] += held[i];
  }
  assert(*std::min_element(marshals.begin(), marshals.end()) == 5);
  assert(*std::max_element(marshals.begin(), marshals.end()) == 5);
  assert(least > 60 && most < 145);
}

// One of 1,000 servers goes: its five connections move to nobody, and nobody else's move.
static void aChangeMovesTheLeast() {
  auto before = servers(1000), after = before;
  after.erase(after.begin() + 500);
  after.push_back("new.maps.example:6432");
  int moved = 0;
  for (int me = 0; me < 50; ++me) {
    subset::Subset s(50, me, 100);
    std::set<std::string> was, is;
    auto held = s.held(before);
    for (std::size_t i = 0; i < held.size(); ++i)
      if (held[i]) was.insert(before[i]);
    const auto ranked = s.ranked();
    held = s.held(after);
    assert(s.ranked() == ranked + 1); // only the new one is computed
    for (std::size_t i = 0; i < held.size(); ++i)
      if (held[i]) is.insert(after[i]);
    std::vector<std::string> differ;
    std::set_symmetric_difference(was.begin(), was.end(), is.begin(), is.end(), std::back_inserter(differ));
    moved += static_cast<int>(differ.size());
  }
  assert(moved == 10); // five that it had, five for the new one
}

static void smallSetsAreHeldWhole() {
  subset::Subset s(500, 3, 100);
  auto held = s.held(servers(200));
  assert(std::count(held.begin(), held.end(), true) == 200);
  subset::Subset all(500, 3, 0);
  held = all.held(servers(5000));
  assert(std::count(held.begin(), held.end(), true) == 5000);
  for (int me = 0; me < 20; ++me) { // many marshals, few servers each: never under half of the size
    subset::Subset few(500, me, 10);
    held = few.held(servers(40));
    assert(std::count(held.begin(), held.end(), true) >= 5);
  }
}

static void theNumberOfMarshalsKeepsStill() {
  subset::Subset s(500, 3, 100);
  s.held(servers(10'000));
  const int each = s.marshalsEach();
  for (const int n : {9'900, 10'100, 9'500, 10'400, 10'000}) s.held(servers(n));
  assert(each == 5 && s.marshalsEach() == 5);
  s.held(servers(40'000));
  assert(s.marshalsEach() == 2);
}

using preference::Preference;

static void settle(Preference &p, const std::vector<Preference::Group> &groups, std::int64_t &now,
                   int periods = 1) {
  for (int i = 0; i < periods; ++i) p.observe(groups, now += Preference::kPeriod);
}

static void theBetterGroupCarriesWhatItCan() {
  Preference p;
  std::int64_t now = Preference::kPeriod;
  settle(p, {{10, 0}, {10, 0}}, now);
  assert(p.share(0) == 1 && p.pick(0.999) == 0);
  settle(p, {{10, 2}, {10, 0}}, now);
  assert(p.share(0) == 1); // eight tenths times 1.4
  settle(p, {{10, 5}, {10, 0}}, now);
  assert(std::abs(p.share(0) - 0.7) < 1e-9 && std::abs(p.share(1) - 0.3) < 1e-9);
  assert(p.pick(0.69) == 0 && p.pick(0.71) == 1);
  settle(p, {{10, 10}, {10, 0}}, now);
  assert(p.share(1) == 1 && p.pick(0) == 1);
  settle(p, {{0, 0}, {10, 0}, {10, 0}}, now);
  assert(p.share(1) == 1);
  settle(p, {{10, 10}, {10, 8}}, now); // nobody can: to whoever carries most
  assert(p.share(1) == 1);
  settle(p, {{4, 4}, {4, 4}}, now);
  assert(p.share(0) == 1);
}

static void aLateGroupLetsGoInProportion() {
  Preference p;
  std::int64_t now = Preference::kPeriod;
  const std::vector<Preference::Group> groups{{10, 0}, {10, 0}};
  settle(p, groups, now);
  for (int i = 0; i < 200; ++i) p.finished(0, 0.6);
  settle(p, groups, now);
  assert(p.share(0) < 1 && p.share(0) > 0.9);
  for (int n = 0; n < 5; ++n) p.finished(0, 0.6), settle(p, groups, now);
  assert(p.share(0) < 0.8 && std::abs(p.share(0) + p.share(1) - 1) < 1e-9);
  for (int i = 0; i < 200; ++i) p.finished(0, 0.1);
  settle(p, groups, now, 60);
  assert(p.share(0) == 1);
}

int main() {
  eachServerHasAsManyMarshals();
  aChangeMovesTheLeast();
  smallSetsAreHeldWhole();
  theNumberOfMarshalsKeepsStill();
  theBetterGroupCarriesWhatItCan();
  aLateGroupLetsGoInProportion();
}
