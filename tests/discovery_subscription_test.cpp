// When instances ask discovery for the list: alone and as a fleet, on a clock of the test's own.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy/discovery_subscription.h"

#include <memory>
#include <random>
#include <vector>

using namespace myrtlehead;
using namespace myrtlehead::discovery_subscription;

namespace {

Deployment fleetOf(int marshals, bool asked = true) {
  Deployment d;
  d.instanceCount = marshals, d.pollsEndpointList = asked, d.pollInterval = 10 * kSecond;
  return d;
}

// A fleet before one discovery, which takes calls in turn and refuses those that would wait for over two
// seconds.
struct Fleet {
  Fleet(int marshals, double callsASecond, Deployment d)
      : each(static_cast<Nanoseconds>(1e9 / callsASecond)), chance(7) {
    d.instanceCount = marshals;
    for (d.ownIndex = 0; d.ownIndex < marshals; ++d.ownIndex)
      all.push_back({std::make_unique<DiscoverySubscription>(d), 0});
  }
  double draw() { return std::uniform_real_distribution<double>(0, 1)(chance); }
  // Runs until each has been answered since `from`, and says how long the last one took.
  Nanoseconds answered(Nanoseconds from) {
    for (Nanoseconds now = from; now < from + 100 * kSecond; now += 10 * kMillisecond) {
      std::size_t open = 0;
      for (auto &m : all) {
        if (m.answerAt != 0 && m.answerAt <= now)
          m.s->line(true, m.answerAt, draw()), m.lineAt = m.answerAt, m.answerAt = 0;
        open += m.lineAt < from;
        if (m.answerAt != 0 || m.lineAt >= from || m.s->callAt() > now) continue;
        m.s->called(now), ++calls;
        busyUntil = std::max(busyUntil, now) + each / 20; // a refusal costs it something, too
        if (busyUntil - now > 2 * kSecond) {
          m.s->ended(Ended::refused, Others::none, now, draw());
          continue;
        }
        busyUntil += each, m.answerAt = busyUntil;
      }
      if (open == 0) return now - from;
    }
    return 100 * kSecond;
  }
  struct One {
    std::unique_ptr<DiscoverySubscription> s;
    Nanoseconds lineAt, answerAt = 0;
  };
  std::vector<One> all;
  Nanoseconds each, busyUntil = 0;
  int calls = 0;
  std::knuth_b chance;
};

} // namespace

TEST_CASE("watches that fall silent together are opened anew before what they miss counts as told") {
  // Seen: 279 instances' new watches came up to 15 s after the last line; 760 sends went to endpoints that
  // had left.
  for (const int marshals : {1, 30, 300}) {
    Fleet fleet(marshals, 200, fleetOf(1));
    const Nanoseconds last = 6 * kSecond;
    for (auto &m : fleet.all) m.s->line(true, last, fleet.draw()), m.lineAt = last;
    const Nanoseconds took = fleet.answered(last + kMillisecond);
    CHECK(took > 2 * kSecond); // none before a line is overdue
    CHECK(took < 6 * kSecond - 500 * kMillisecond);
    CHECK(fleet.calls == marshals); // one call each: nothing was refused
  }
}

TEST_CASE("the calls after a silence come evenly") {
  std::vector<int> bySecondTenths(100);
  auto d = fleetOf(300);
  std::knuth_b chance(7);
  for (d.ownIndex = 0; d.ownIndex < 300; ++d.ownIndex) {
    DiscoverySubscription s(d);
    s.line(true, 0, std::uniform_real_distribution<double>(0, 1)(chance));
    ++bySecondTenths[static_cast<std::size_t>(s.callAt() / (100 * kMillisecond))];
  }
  for (const int calls : bySecondTenths) CHECK(calls <= 25); // 300 over 1.4 s
}

TEST_CASE("a fleet that discovery refuses asks ever more rarely, and is served") {
  // Scored: 70 refused calls a second kept it from answering.
  for (const auto &[marshals, most] :
       {std::pair{1, kSecond}, {3, kSecond}, {100, 15 * kSecond}, {500, 75 * kSecond}}) {
    Fleet fleet(marshals, 10, fleetOf(1));
    for (auto &m : fleet.all) m.s->ended(Ended::refused, Others::none, kSecond, fleet.draw());
    CHECK(fleet.answered(kSecond) <= most);
  }
}

TEST_CASE("a watch that discovery has ended is asked for within the time that the settings give for asking") {
  auto d = fleetOf(300);
  for (d.ownIndex = 0; d.ownIndex < 300; ++d.ownIndex) {
    DiscoverySubscription s(d);
    s.line(true, kSecond, 0.5);
    s.ended(Ended::cut, Others::none, 2 * kSecond, 0.999);
    CHECK(s.callAt() < 2 * kSecond + d.pollInterval / 2);
    CHECK(s.callAt() > 2 * kSecond);
  }
}

TEST_CASE("a lone marshal calls at once, again where no answer comes, and not while a watch stands") {
  DiscoverySubscription s(fleetOf(1));
  CHECK(s.callAt() == 0);
  s.called(kSecond);
  CHECK(s.callAt() == 4 * kSecond);
  s.line(true, 2 * kSecond, 0.5);
  CHECK(s.callAt() > 4 * kSecond);
  s.answered();
  CHECK(s.callAt() == kNoCall);
}

TEST_CASE("an end is passed over while another watch tells") {
  DiscoverySubscription s(fleetOf(3));
  s.line(true, kSecond, 0.5);
  const Nanoseconds due = s.callAt();
  s.ended(Ended::refused, Others::stands, 2 * kSecond, 0.5);
  CHECK(s.callAt() == due);
  s.ended(Ended::refused, Others::stands, 5 * kSecond, 0.5); // that one has fallen silent itself
  CHECK(s.callAt() > 5 * kSecond);
}

TEST_CASE("what a silent list may lack is told only once it counts, and until a line comes") {
  DiscoverySubscription s(fleetOf(3));
  CHECK(s.provenSince(100 * kSecond) == 0); // what was known at the start is believed until asked
  s.called(9 * kSecond);
  CHECK(s.provenSince(10 * kSecond) == 0);
  s.line(true, 10 * kSecond, 0.5);
  CHECK(s.provenSince(15 * kSecond) == 0);
  s.ended(Ended::refused, Others::stands, 15 * kSecond, 0.5);
  s.ended(Ended::unreachable, Others::none, 15 * kSecond, 0.5); // cut off from discovery: the silence goes on
  CHECK(s.provenSince(16 * kSecond) > 10 * kSecond);
  CHECK(s.provenSince(20 * kSecond) > 14 * kSecond);
  s.line(true, 20 * kSecond, 0.5);
  CHECK(s.provenSince(20 * kSecond) == 0);
}

TEST_CASE("after a move the fleet's calls are spread, and all come well before the move counts") {
  auto d = fleetOf(300);
  Nanoseconds first = kNoCall, last = 0;
  for (d.ownIndex = 0; d.ownIndex < 300; ++d.ownIndex) {
    DiscoverySubscription s(d);
    s.moved(kSecond, 0.5);
    first = std::min(first, s.callAt()), last = std::max(last, s.callAt());
  }
  CHECK(first < 1100 * kMillisecond);
  CHECK(last > 2 * kSecond);
  CHECK(last < kSecond + 4 * kSecond - 2 * kSecond); // less discovery's own time to answer
}

TEST_CASE("an agent of the marshal's own is asked soon, whatever the fleet's size") {
  DiscoverySubscription s(fleetOf(300, false));
  for (int i = 0; i < 20; ++i) s.ended(Ended::unreachable, Others::none, kSecond, 0.99);
  CHECK(s.callAt() < kSecond + 300 * kMillisecond);
}

TEST_CASE("a former place's lines put off no call at the present one") {
  DiscoverySubscription s(fleetOf(1));
  s.line(true, kSecond, 0.5);
  s.moved(2 * kSecond, 0.5);
  s.called(s.callAt());
  s.ended(Ended::refused, Others::none, 3 * kSecond, 0.5);
  const Nanoseconds due = s.callAt();
  CHECK(due < 4 * kSecond);
  s.line(false, 3 * kSecond + kMillisecond, 0.5);
  CHECK(s.callAt() == due);
}

TEST_CASE(
    "what the present place has to tell counts four seconds after the move, whatever the former one says") {
  DiscoverySubscription s(fleetOf(3));
  s.line(true, kSecond, 0.5);
  s.moved(2 * kSecond, 0.5);
  s.line(false, 4 * kSecond, 0.5);
  CHECK(s.provenSince(5 * kSecond) == 0);
  s.ended(Ended::cut, Others::asked, 5 * kSecond, 0.5); // the former place's own end
  CHECK(s.provenSince(6 * kSecond) > 2 * kSecond);
  s.line(true, 6 * kSecond, 0.5);
  CHECK(s.provenSince(6 * kSecond) == 0);
}

TEST_CASE("the end of a watch while a call is out waits for that call, and no longer") {
  DiscoverySubscription s(fleetOf(3));
  s.line(true, kSecond, 0.5);
  s.called(2 * kSecond);
  const Nanoseconds due = s.callAt();
  s.ended(Ended::cut, Others::asked, 2100 * kMillisecond, 0.5);
  CHECK(s.callAt() == due);
  s.ended(Ended::refused, Others::none, 2200 * kMillisecond, 0.5);
  CHECK(s.callAt() < 3200 * kMillisecond);
  CHECK(s.provenSince(7500 * kMillisecond) == 0); // until the end of the watch it was told all
  CHECK(s.provenSince(7600 * kMillisecond) == 3600 * kMillisecond);
}

TEST_CASE("a list whose watch was ended is believed for as long as nothing newer can count as told") {
  // Seen: drain, 157 times, from 24.9 s on; watches were cut at 9 s, and each further call was refused.
  DiscoverySubscription s(fleetOf(30));
  s.called(0);
  s.line(true, 8 * kSecond, 0.5);
  s.ended(Ended::cut, Others::none, 9 * kSecond, 0.5);
  CHECK(s.provenSince(14 * kSecond) == 0);
  CHECK(s.provenSince(15 * kSecond) > 9 * kSecond);
  for (Nanoseconds now = 15 * kSecond; now < 60 * kSecond; now += 5 * kSecond) {
    s.called(now);
    s.ended(Ended::refused, Others::none, now + 2 * kSecond, 0.5);
    CHECK(s.provenSince(now + 2 * kSecond) > now - 5 * kSecond);
  }
  s.line(true, 60 * kSecond, 0.5);
  CHECK(s.provenSince(65 * kSecond) == 0);
}

TEST_CASE("the list known at the start is believed until the first call has failed") {
  // Seen: drain, 113 times, from 0.3 s after the change on; processes started at 22.4 s with lists of before
  // 9 s, and were refused at 24.5 s.
  for (const auto how : {Ended::refused, Ended::unreachable, Ended::down, Ended::cut}) {
    DiscoverySubscription s(fleetOf(30));
    s.called(kSecond);
    CHECK(s.provenSince(3 * kSecond) == 0);
    s.ended(how, Others::none, 3 * kSecond, 0.5);
    CHECK(s.provenSince(3 * kSecond) == kNothingProven);
    CHECK(s.provenSince(20 * kSecond) == kNothingProven);
    s.line(true, 20 * kSecond, 0.5);
    CHECK(s.provenSince(25 * kSecond) == 0);
  }
}

TEST_CASE("a node that served is believed to stay for less than the told time, as a draining one serves on") {
  // Seen: drain, once, at 10.8 s; the endpoint was listed as draining at 4.33 s and took a request at 5.38 s.
  DiscoverySubscription s(fleetOf(30));
  s.called(0);
  s.line(true, kSecond, 0.5);
  constexpr Nanoseconds kDrained = 4330 * kMillisecond, kTold = kDrained + 6 * kSecond,
                        kServesOn = 1050 * kMillisecond;
  for (Nanoseconds now = kTold; now < kTold + 10 * kSecond; now += 10 * kMillisecond)
    CHECK(s.provenSince(now) > kDrained + kServesOn);
}

TEST_CASE("names stand in for a list that has never come, and for no other") {
  DiscoverySubscription s(fleetOf(30));
  s.called(kSecond);
  s.ended(Ended::refused, Others::none, 3 * kSecond, 0.5);
  CHECK(s.provenSince(20 * kSecond, true) == 0);
  CHECK(s.provenSince(20 * kSecond) == kNothingProven);
  s.line(true, 20 * kSecond, 0.5);
  CHECK(s.provenSince(40 * kSecond, true) > 35 * kSecond);
}

TEST_CASE("while nobody listens at discovery's address, nothing new counts as told") {
  DiscoverySubscription s(fleetOf(1));
  s.called(0);
  s.line(true, kSecond, 0.5);
  s.ended(Ended::cut, Others::none, 2 * kSecond, 0.5);
  for (Nanoseconds now = 3 * kSecond; now < 60 * kSecond; now += 5 * kSecond) {
    s.called(now);
    s.ended(Ended::down, Others::none, now, 0.5);
    CHECK(s.provenSince(now + 5 * kSecond) == 0);
  }
  s.called(60 * kSecond);
  s.ended(Ended::unreachable, Others::none, 60 * kSecond, 0.5); // cut off is not down
  CHECK(s.provenSince(64 * kSecond) != 0);
}
