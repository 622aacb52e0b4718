// Choice of endpoint, health, overload.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fixtures.h"

#include <algorithm>

using namespace myrtlehead;

TEST_CASE("two choices take the less loaded") {
  Bed bed;
  bed.node(0).inflight = 5;
  for (int i = 0; i < 5; ++i) {
    Request rq = Bed::req();
    REQUIRE(bed.guard.where(rq, kNow).endpoint == &bed.node(1));
  }
}

TEST_CASE("failing node rests and comes back") {
  Bed bed(smallDeployment(), 4);
  for (int i = 0; i < 3; ++i) {
    Request rq = bed.triedAt(bed.node(0), 2, true);
    bed.guard.after(rq, 0, Outcome::timedOut, kSecond, false, kNow);
  }
  REQUIRE(bed.node(0).restUntil > kNow);
  REQUIRE(bed.node(0).restUntil <= kNow + kSecond);
  for (int i = 0; i < 20; ++i) {
    Request rq = Bed::req();
    REQUIRE(bed.guard.where(rq, kNow).endpoint != &bed.node(0));
  }
  const Nanoseconds later = kNow + kSecond;
  for (std::size_t i = 1; i < 4; ++i) bed.node(i).inflight = 200;
  bool back = false;
  for (int i = 0; i < 20; ++i) {
    Request rq = Bed::req();
    back = back || bed.guard.where(rq, later).endpoint == &bed.node(0);
  }
  REQUIRE(back);
}

// What its former life leaves unanswered is not held against an endpoint that came back with another build.
TEST_CASE("a former life is not held against a node") {
  Bed bed(smallDeployment(), 4);
  for (int i = 0; i < 3; ++i) {
    Request rq = bed.triedAt(bed.node(0), 0, true);
    bed.guard.listed(bed.node(0), {.build = 1, .startedAt = kNow + kMillisecond}, kNow + kMillisecond);
    bed.guard.after(rq, 0, Outcome::reset, kMillisecond, false, kNow + 2 * kMillisecond);
  }
  REQUIRE(bed.node(0).strikes == 0);
  REQUIRE(bed.node(0).restUntil == 0);
  REQUIRE(bed.node(0).failShare == 0);
}

TEST_CASE("rests spare a fleet that fails together") { // found on the first incidents
  Bed bed;
  bed.node(0).failShare = bed.node(1).failShare = 0.5;
  for (int i = 0; i < 5; ++i) {
    Request rq = bed.triedAt(bed.node(0), 2, true);
    bed.guard.after(rq, 0, Outcome::timedOut, kSecond, false, kNow);
  }
  REQUIRE(bed.node(0).restUntil == 0);
}

TEST_CASE("silent node is passed over") {
  Bed bed;
  bed.guard.s.latency = 50e6;
  bed.node(0).inflight = 1;
  bed.node(0).quietSince = kNow - kSecond;
  bed.node(1).inflight = 3;
  bed.node(1).quietSince = kNow;
  Request rq = Bed::req();
  REQUIRE(bed.guard.where(rq, kNow).endpoint == &bed.node(1));
}

// Scored: a zone was lost, earlier endpoints held two seconds of work each, and a good trial's stood idle.
TEST_CASE("an overload is shared with the trial") {
  for (const bool full : {false, true}) {
    auto d = smallDeployment();
    d.instanceCount = 100;
    Bed bed(d, 2, 2);
    bed.guard.s.news.cap = 1, bed.guard.s.credit[0] = 2, bed.guard.s.warmRate = 0.01;
    bed.guard.s.news.stage = 2;
    bed.guard.s.lateness = full ? 0.8 : 0.4;
    for (std::size_t i = 0; i < 4; ++i) bed.node(i).saved = 0, bed.node(i).savedAt = kNow;
    bed.node(0).inflight = bed.node(1).inflight = 9;
    Request rq = Bed::req();
    const auto *to = bed.guard.where(rq, kNow).endpoint;
    REQUIRE(full == (to == &bed.node(2) || to == &bed.node(3)));
  }
}

TEST_CASE("crowded trial is passed over") { // found on quiet days: crowding was taken for a bad build
  Bed bed(smallDeployment(), 4, 1);
  bed.guard.s.credit[0] = 2;
  bed.node(4).inflight = 5;
  Request rq = Bed::req();
  REQUIRE(bed.guard.where(rq, kNow).endpoint->info.build == 1);
}

TEST_CASE("overload sheds low importance first") {
  Bed bed;
  bed.guard.s.shed = 0.5;
  int shed[2] = {0, 0};
  for (int i = 0; i < 1000; ++i)
    for (const int route : {0, 1}) {
      Request rq = Bed::req(route);
      const RoutingDecision decision = bed.guard.where(rq, kNow);
      shed[route] += decision.action == RoutingDecision::shed;
      if (decision.action == RoutingDecision::shed) REQUIRE(rq.ended);
    }
  REQUIRE(shed[0] > shed[1] + 100);
  REQUIRE(shed[1] > 0);
}

TEST_CASE("tenants beyond their share are shed first") {
  auto d = smallDeployment();
  d.tenantQuotas = {30, 30};
  d.overQuotaWeight = 0.1;
  Bed bed(d);
  bed.guard.s.shed = 0.4;
  bed.guard.s.tenantLead = {0, 1000};
  int shed[2] = {0, 0};
  for (int i = 0; i < 400; ++i)
    for (const std::size_t tenant : {0, 1}) {
      bed.guard.s.tenantLead[0] = 0;
      Request rq = Bed::req(1);
      rq.tenant = tenant;
      shed[tenant] += bed.guard.where(rq, kNow).action == RoutingDecision::shed;
    }
  REQUIRE(shed[1] > 2 * shed[0]);
}

TEST_CASE("shedding ends with the trouble") { // found on overload days: shedding fed on itself
  Bed bed;
  bed.guard.s.shedBase = bed.guard.s.shed = 0.8;
  bed.guard.s.latencyObjective = 0.5;
  for (Nanoseconds t = kNow; t < kNow + 6 * kSecond; t += 50 * kMillisecond) bed.guard.due(t);
  REQUIRE(bed.guard.s.shed == 0);
}

// Shedding ends about as fast as it began once attempts are quick again.
TEST_CASE(
    "shedding eases once tries are quick") { // scored: 259 of 312 instances shed 3 s after the overload's end
  Bed bed;
  bed.guard.s.shedBase = bed.guard.s.shed = 0.7;
  bed.guard.s.latencyObjective = 0.5, bed.guard.s.typical = 1;
  bed.node(0).inflight = 6; // with 40 completed a second: attempts take 0.3 of their objectives
  for (Nanoseconds t = kNow + 50 * kMillisecond; t < kNow + 3 * kSecond; t += 50 * kMillisecond)
    bed.guard.s.finished = 2, bed.guard.due(t);
  REQUIRE(bed.guard.s.lateness < 0.35);
  REQUIRE(bed.guard.s.shed == 0);
}

TEST_CASE("time outs do not hide overload") { // found by a hunt: attempts given up early looked quick, and
                                              // nothing was shed
  Bed bed;
  bed.guard.s.latencyObjective = 0.5;
  for (int beat = 0; beat < 40; ++beat) {
    const Nanoseconds now = kNow + beat * 50 * kMillisecond;
    for (int i = 0; i < 10; ++i) {
      Request rq = bed.triedAt(bed.node(0), 0, true);
      rq.ended = true;
      bed.guard.after(rq, 0, i == 0 ? Outcome::succeeded : Outcome::timedOut, 250 * kMillisecond, true, now);
    }
    bed.node(0).inflight = 40;
    bed.guard.due(now);
  }
  REQUIRE(bed.guard.s.shed > 0.5);
}

TEST_CASE("own standstill is no nodes fault") { // found on two incidents: a flood to the few endpoints not
                                                // blamed for it
  Bed bed;
  std::vector<Request> reqs(5);
  for (auto &rq : reqs) rq = bed.triedAt(bed.node(0), 2, true);
  for (auto &rq : reqs) bed.guard.after(rq, 0, Outcome::timedOut, kSecond, false, kNow + 2 * kSecond);
  REQUIRE(bed.node(0).strikes == 0);
  REQUIRE(bed.node(0).restUntil == 0);
}

// A list that has fallen silent may lack departures: whoever served an attempt sent since then is no
// departing endpoint.
TEST_CASE(
    "a silent list leaves the nodes that have just served") { // scored: 760 sends to endpoints that had left
  Bed bed(smallDeployment(), 3);
  Request served = bed.triedAt(bed.node(1), 0, true), turned = bed.triedAt(bed.node(2), 0, false);
  bed.guard.after(served, 0, Outcome::succeeded, 10 * kMillisecond, true, kNow + 10 * kMillisecond);
  bed.node(2).provenAt = kNow;
  bed.guard.after(turned, 0, Outcome::rejected, 10 * kMillisecond, true, kNow + 10 * kMillisecond);
  for (int i = 0; i < 20; ++i) {
    bed.guard.unsure(kNow - kSecond);
    Request rq = Bed::req();
    REQUIRE(bed.guard.where(rq, kNow).endpoint == &bed.node(1));
  }
  bed.guard.unsure(kNow + kSecond); // none is known to be there
  Request rq = Bed::req(), far = Bed::req();
  REQUIRE(bed.guard.where(rq, kNow + kMillisecond).action == RoutingDecision::wait);
  bed.guard.unsure(0);
  REQUIRE(bed.guard.where(far, kNow + kMillisecond).action == RoutingDecision::forward);
}

// An endpoint whose answers break off now and then keeps its place; one that fails again and again has lost
// it.
TEST_CASE(
    "spoilt answers are no lost places") { // scored: 1 try in 20 so, and no build was judged by its lateness
  for (const bool inARow : {false, true}) {
    Bed bed(smallDeployment(), 2);
    for (int i = 0; i < 40; ++i) {
      const bool spoilt = inARow || i % 10 == 0;
      Request rq = bed.triedAt(bed.node(0), 2, true);
      const auto outcome = spoilt ? Outcome::reset : Outcome::succeeded;
      bed.guard.after(rq, 0, outcome, 10 * kMillisecond, true, kNow + i * kMillisecond);
    }
    REQUIRE((bed.guard.s.lostUntil > kNow) == inARow);
  }
}

TEST_CASE(
    "long ways are left to one req in twenty") { // scored: behind a slow link half of the requests came late
  Bed bed(smallDeployment(), 0);
  for (int zone : {0, 0, 1, 1}) bed.list({.build = 1, .zone = zone});
  for (const Nanoseconds far : {50 * kMillisecond, 400 * kMillisecond}) {
    int crossed = 0;
    for (int i = 0; i < 40; ++i) { // the quartiles settle
      for (const std::size_t at : {0, 2}) {
        Request rq = bed.triedAt(bed.node(at), 0, true);
        bed.guard.after(rq, 0, Outcome::succeeded, at == 0 ? 50 * kMillisecond : far, true, kNow);
      }
    }
    for (int i = 0; i < 200; ++i) {
      Request rq = Bed::req();
      crossed += bed.guard.where(rq, kNow).endpoint->info.zone == 1;
    }
    REQUIRE((far > 100 * kMillisecond ? crossed < 25 : crossed > 60));
  }
}

// Groups of name records: a request goes to its group, and elsewhere only where its group has nobody.
TEST_CASE("a req goes to its group") {
  Bed b;
  b.list({.build = 1, .priorityGroup = 1});
  auto &second = b.node(2);
  for (int i = 0; i < 50; ++i) {
    auto first = Bed::req(), spilt = Bed::req();
    spilt.priorityGroup = 1;
    REQUIRE(b.guard.where(first, kNow).endpoint != &second);
    REQUIRE(b.guard.where(spilt, kNow).endpoint == &second);
  }
  Bed lone;
  auto rq = Bed::req();
  rq.priorityGroup = 3; // a group that is gone
  REQUIRE(lone.guard.where(rq, kNow).action == RoutingDecision::forward);
}

TEST_CASE("weights share reqs") {
  Bed b(smallDeployment(), 0);
  b.list({.build = 1});
  b.list({.build = 1, .weight = 0.25});
  int light = 0;
  for (int i = 0; i < 1000; ++i) {
    auto rq = Bed::req();
    const auto decision = b.guard.where(rq, kNow);
    light += decision.endpoint == &b.node(1);
    b.guard.after(rq, 0, Outcome::succeeded, kMillisecond, true, kNow);
  }
  REQUIRE(light > 150);
  REQUIRE(light < 350); // one in five is 200
}

// An endpoint whose build names do not tell is on trial for ever: within the first stage's cap, no evidence,
// and not for a key that may not return to an earlier build.
TEST_CASE("an unknown build never passes the cap") {
  Bed b;
  b.list({.build = kUnknownBuild});
  b.node(0).inflight = b.node(1).inflight = 9; // or it would not be needed
  b.guard.s.credit = {2};
  int tried = 0;
  for (int i = 0; i < 400; ++i) {
    auto rq = Bed::req();
    const Nanoseconds now = kNow + i * 10 * kMillisecond;
    rq.taken = now, rq.deadline = now + kSecond;
    b.node(0).quietSince = b.node(1).quietSince = now;
    const auto decision = b.guard.where(rq, now);
    tried += decision.endpoint == &b.node(2);
    b.guard.after(rq, 0, Outcome::succeeded, kMillisecond, true, now);
  }
  REQUIRE(tried > 0);
  REQUIRE(tried <= 2 + 400 * 0.1);
  for (const auto &c : b.guard.s.channels) {
    REQUIRE(c.y == 0);
    REQUIRE(c.outcomes == 0);
  }
  auto d = smallDeployment();
  d.rollout.stickyKeys = true;
  Bed keyed(d, 0);
  keyed.list({.build = kUnknownBuild});
  auto rq = Bed::req();
  rq.key = 7;
  REQUIRE(keyed.guard.where(rq, kNow).action != RoutingDecision::forward);
}
