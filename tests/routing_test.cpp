// Choice of node, health, overload.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "helpers.h"

#include <algorithm>

using namespace myrtlehead;

TEST_CASE("two choices take the less loaded") {
  Bed bed;
  bed.node(0).inflight = 5;
  for (int i = 0; i < 5; ++i) {
    Req rq = Bed::req();
    REQUIRE(bed.guard.where(rq, kNow).node == &bed.node(1));
  }
}

TEST_CASE("failing node rests and comes back") {
  Bed bed(smallDeployment(), 4);
  for (int i = 0; i < 3; ++i) {
    Req rq = bed.triedAt(bed.node(0), 2, true);
    bed.guard.after(rq, 0, Outcome::timedOut, kSec, false, kNow);
  }
  REQUIRE(bed.node(0).restUntil > kNow);
  REQUIRE(bed.node(0).restUntil <= kNow + kSec);
  for (int i = 0; i < 20; ++i) {
    Req rq = Bed::req();
    REQUIRE(bed.guard.where(rq, kNow).node != &bed.node(0));
  }
  const Ns later = kNow + kSec;
  for (std::size_t i = 1; i < 4; ++i) bed.node(i).inflight = 200;
  bool back = false;
  for (int i = 0; i < 20; ++i) {
    Req rq = Bed::req();
    back = back || bed.guard.where(rq, later).node == &bed.node(0);
  }
  REQUIRE(back);
}

// What its former life leaves unanswered is not held against a node that came back with another build.
TEST_CASE("a former life is not held against a node") {
  Bed bed(smallDeployment(), 4);
  for (int i = 0; i < 3; ++i) {
    Req rq = bed.triedAt(bed.node(0), 0, true);
    bed.guard.listed(bed.node(0), {.build = 1, .start = kNow + kMs}, kNow + kMs);
    bed.guard.after(rq, 0, Outcome::reset, kMs, false, kNow + 2 * kMs);
  }
  REQUIRE(bed.node(0).strikes == 0);
  REQUIRE(bed.node(0).restUntil == 0);
  REQUIRE(bed.node(0).failShare == 0);
}

TEST_CASE("rests spare a fleet that fails together") { // found on the first incidents
  Bed bed;
  bed.node(0).failShare = bed.node(1).failShare = 0.5;
  for (int i = 0; i < 5; ++i) {
    Req rq = bed.triedAt(bed.node(0), 2, true);
    bed.guard.after(rq, 0, Outcome::timedOut, kSec, false, kNow);
  }
  REQUIRE(bed.node(0).restUntil == 0);
}

TEST_CASE("silent node is passed over") {
  Bed bed;
  bed.guard.s.latency = 50e6;
  bed.node(0).inflight = 1;
  bed.node(0).quietSince = kNow - kSec;
  bed.node(1).inflight = 3;
  bed.node(1).quietSince = kNow;
  Req rq = Bed::req();
  REQUIRE(bed.guard.where(rq, kNow).node == &bed.node(1));
}

// Scored: a zone was lost, earlier nodes held two seconds of work each, and a good trial's stood idle.
TEST_CASE("an overload is shared with the trial") {
  for (const bool full : {false, true}) {
    auto d = smallDeployment();
    d.marshals = 100;
    Bed bed(d, 2, 2);
    bed.guard.s.news.cap = 1, bed.guard.s.credit[0] = 2, bed.guard.s.warmRate = 0.01;
    bed.guard.s.news.stage = 2;
    bed.guard.s.lateness = full ? 0.8 : 0.4;
    for (std::size_t i = 0; i < 4; ++i) bed.node(i).saved = 0, bed.node(i).savedAt = kNow;
    bed.node(0).inflight = bed.node(1).inflight = 9;
    Req rq = Bed::req();
    const auto *to = bed.guard.where(rq, kNow).node;
    REQUIRE(full == (to == &bed.node(2) || to == &bed.node(3)));
  }
}

TEST_CASE("crowded trial is passed over") { // found on quiet days: crowding was taken for a bad build
  Bed bed(smallDeployment(), 4, 1);
  bed.guard.s.credit[0] = 2;
  bed.node(4).inflight = 5;
  Req rq = Bed::req();
  REQUIRE(bed.guard.where(rq, kNow).node->listing.build == 1);
}

TEST_CASE("overload sheds low importance first") {
  Bed bed;
  bed.guard.s.shed = 0.5;
  int shed[2] = {0, 0};
  for (int i = 0; i < 1000; ++i)
    for (const int route : {0, 1}) {
      Req rq = Bed::req(route);
      const Step step = bed.guard.where(rq, kNow);
      shed[route] += step.what == Step::shed;
      if (step.what == Step::shed) REQUIRE(rq.ended);
    }
  REQUIRE(shed[0] > shed[1] + 100);
  REQUIRE(shed[1] > 0);
}

TEST_CASE("tenants beyond their share are shed first") {
  auto d = smallDeployment();
  d.tenantRps = {30, 30};
  d.overShareWorth = 0.1;
  Bed bed(d);
  bed.guard.s.shed = 0.4;
  bed.guard.s.tenantLead = {0, 1000};
  int shed[2] = {0, 0};
  for (int i = 0; i < 400; ++i)
    for (const std::size_t tenant : {0, 1}) {
      bed.guard.s.tenantLead[0] = 0;
      Req rq = Bed::req(1);
      rq.tenant = tenant;
      shed[tenant] += bed.guard.where(rq, kNow).what == Step::shed;
    }
  REQUIRE(shed[1] > 2 * shed[0]);
}

TEST_CASE("shedding ends with the trouble") { // found on overload days: shedding fed on itself
  Bed bed;
  bed.guard.s.shedBase = bed.guard.s.shed = 0.8;
  bed.guard.s.objective = 0.5;
  for (Ns t = kNow; t < kNow + 6 * kSec; t += 50 * kMs) bed.guard.due(t);
  REQUIRE(bed.guard.s.shed == 0);
}

// Shedding ends about as fast as it began once tries are quick again.
TEST_CASE(
    "shedding eases once tries are quick") { // scored: 259 of 312 marshals shed 3 s after the overload's end
  Bed bed;
  bed.guard.s.shedBase = bed.guard.s.shed = 0.7;
  bed.guard.s.objective = 0.5, bed.guard.s.typical = 1;
  bed.node(0).inflight = 6; // with 40 completed a second: tries take 0.3 of their objectives
  for (Ns t = kNow + 50 * kMs; t < kNow + 3 * kSec; t += 50 * kMs) bed.guard.s.finished = 2, bed.guard.due(t);
  REQUIRE(bed.guard.s.lateness < 0.35);
  REQUIRE(bed.guard.s.shed == 0);
}

TEST_CASE("time outs do not hide overload") { // found by a hunt: tries given up early looked quick, and
                                              // nothing was shed
  Bed bed;
  bed.guard.s.objective = 0.5;
  for (int beat = 0; beat < 40; ++beat) {
    const Ns now = kNow + beat * 50 * kMs;
    for (int i = 0; i < 10; ++i) {
      Req rq = bed.triedAt(bed.node(0), 0, true);
      rq.ended = true;
      bed.guard.after(rq, 0, i == 0 ? Outcome::completed : Outcome::timedOut, 250 * kMs, true, now);
    }
    bed.node(0).inflight = 40;
    bed.guard.due(now);
  }
  REQUIRE(bed.guard.s.shed > 0.5);
}

TEST_CASE("own standstill is no nodes fault") { // found on two incidents: a flood to the few nodes not blamed
                                                // for it
  Bed bed;
  std::vector<Req> reqs(5);
  for (auto &rq : reqs) rq = bed.triedAt(bed.node(0), 2, true);
  for (auto &rq : reqs) bed.guard.after(rq, 0, Outcome::timedOut, kSec, false, kNow + 2 * kSec);
  REQUIRE(bed.node(0).strikes == 0);
  REQUIRE(bed.node(0).restUntil == 0);
}

// A list that has fallen silent may lack departures: whoever served a try sent since then is no departing
// node.
TEST_CASE(
    "a silent list leaves the nodes that have just served") { // scored: 760 sends to nodes that had left
  Bed bed(smallDeployment(), 3);
  Req served = bed.triedAt(bed.node(1), 0, true), turned = bed.triedAt(bed.node(2), 0, false);
  bed.guard.after(served, 0, Outcome::completed, 10 * kMs, true, kNow + 10 * kMs);
  bed.node(2).provenAt = kNow;
  bed.guard.after(turned, 0, Outcome::turnedAway, 10 * kMs, true, kNow + 10 * kMs);
  for (int i = 0; i < 20; ++i) {
    bed.guard.unsure(kNow - kSec);
    Req rq = Bed::req();
    REQUIRE(bed.guard.where(rq, kNow).node == &bed.node(1));
  }
  bed.guard.unsure(kNow + kSec); // none is known to be there
  Req rq = Bed::req(), far = Bed::req();
  REQUIRE(bed.guard.where(rq, kNow + kMs).what == Step::hold);
  bed.guard.unsure(0);
  REQUIRE(bed.guard.where(far, kNow + kMs).what == Step::send);
}

// A node whose answers break off now and then keeps its place; one that fails again and again has lost it.
TEST_CASE(
    "spoilt answers are no lost places") { // scored: 1 try in 20 so, and no build was judged by its lateness
  for (const bool inARow : {false, true}) {
    Bed bed(smallDeployment(), 2);
    for (int i = 0; i < 40; ++i) {
      const bool spoilt = inARow || i % 10 == 0;
      Req rq = bed.triedAt(bed.node(0), 2, true);
      const auto outcome = spoilt ? Outcome::reset : Outcome::completed;
      bed.guard.after(rq, 0, outcome, 10 * kMs, true, kNow + i * kMs);
    }
    REQUIRE((bed.guard.s.lostUntil > kNow) == inARow);
  }
}

TEST_CASE(
    "long ways are left to one req in twenty") { // scored: behind a slow link half of the reqs came late
  Bed bed(smallDeployment(), 0);
  for (int zone : {0, 0, 1, 1}) bed.list({.build = 1, .zone = zone});
  for (const Ns far : {50 * kMs, 400 * kMs}) {
    int crossed = 0;
    for (int i = 0; i < 40; ++i) { // the quartiles settle
      for (const std::size_t at : {0, 2}) {
        Req rq = bed.triedAt(bed.node(at), 0, true);
        bed.guard.after(rq, 0, Outcome::completed, at == 0 ? 50 * kMs : far, true, kNow);
      }
    }
    for (int i = 0; i < 200; ++i) {
      Req rq = Bed::req();
      crossed += bed.guard.where(rq, kNow).node->listing.zone == 1;
    }
    REQUIRE((far > 100 * kMs ? crossed < 25 : crossed > 60));
  }
}

// Groups of name records: a req goes to its group, and elsewhere only where its group has nobody.
TEST_CASE("a req goes to its group") {
  Bed b;
  b.list({.build = 1, .tier = 1});
  auto &second = b.node(2);
  for (int i = 0; i < 50; ++i) {
    auto first = Bed::req(), spilt = Bed::req();
    spilt.tier = 1;
    REQUIRE(b.guard.where(first, kNow).node != &second);
    REQUIRE(b.guard.where(spilt, kNow).node == &second);
  }
  Bed lone;
  auto rq = Bed::req();
  rq.tier = 3; // a group that is gone
  REQUIRE(lone.guard.where(rq, kNow).what == Step::send);
}

TEST_CASE("weights share reqs") {
  Bed b(smallDeployment(), 0);
  b.list({.build = 1});
  b.list({.build = 1, .weight = 0.25});
  int light = 0;
  for (int i = 0; i < 1000; ++i) {
    auto rq = Bed::req();
    const auto step = b.guard.where(rq, kNow);
    light += step.node == &b.node(1);
    b.guard.after(rq, 0, Outcome::completed, kMs, true, kNow);
  }
  REQUIRE(light > 150);
  REQUIRE(light < 350); // one in five is 200
}

// A node whose build names do not tell is on trial for ever: within the first stage's cap, no evidence, and
// not for a key that may not return to an earlier build.
TEST_CASE("an unknown build never passes the cap") {
  Bed b;
  b.list({.build = kUnknownBuild});
  b.node(0).inflight = b.node(1).inflight = 9; // or it would not be needed
  b.guard.s.credit = {2};
  int tried = 0;
  for (int i = 0; i < 400; ++i) {
    auto rq = Bed::req();
    const Ns now = kNow + i * 10 * kMs;
    rq.taken = now, rq.deadline = now + kSec;
    b.node(0).quietSince = b.node(1).quietSince = now;
    const auto step = b.guard.where(rq, now);
    tried += step.node == &b.node(2);
    b.guard.after(rq, 0, Outcome::completed, kMs, true, now);
  }
  REQUIRE(tried > 0);
  REQUIRE(tried <= 2 + 400 * 0.1);
  for (const auto &c : b.guard.s.channels) {
    REQUIRE(c.y == 0);
    REQUIRE(c.outcomes == 0);
  }
  auto d = smallDeployment();
  d.rollout.noReturn = true;
  Bed keyed(d, 0);
  keyed.list({.build = kUnknownBuild});
  auto rq = Bed::req();
  rq.key = 7;
  REQUIRE(keyed.guard.where(rq, kNow).what != Step::send);
}
