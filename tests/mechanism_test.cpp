// The mechanism: ratio, step reports, the fusers' CUSUM, the votes.
#include "helpers.h"

#include <algorithm>
#include <cmath>

using namespace myrtlehead;

static void outcome(Bed &bed, Node &n, Outcome o, Ns took = 100 * kMs, int route = 0) {
  Req rq = bed.triedAt(n, route, true);
  rq.ended = true; // the client has its answer
  bed.guard.after(rq, 0, o, took, true, kNow);
}

static void failuresMoveTheRatioByTheDesignsTerms() {
  Bed bed(smallDeployment(), 1, 1);
  outcome(bed, bed.node(1), Outcome::errored);
  const double failure = std::log(0.06 / 0.02), success = std::log(0.94 / 0.98);
  assert(std::abs(bed.guard.s.channels[0].ratio - failure) < 1e-9);
  outcome(bed, bed.node(1), Outcome::completed);
  assert(std::abs(bed.guard.s.channels[0].ratio - failure - success) < 1e-9);
  assert(bed.guard.s.channels[1].ratio > 1 &&
         bed.guard.s.channels[2].ratio == 0); // its route's, and no other's
}

static void lateAnswersFailAndTurnedAwayOnesSayNothing() {
  Bed bed(smallDeployment(), 1, 1);
  outcome(bed, bed.node(1), Outcome::turnedAway);
  assert(bed.guard.s.channels[0].ratio == 0);
  outcome(bed, bed.node(1), Outcome::completed, kSec);
  assert(bed.guard.s.channels[0].ratio > 0);
}

static void youngNodesAreNoEvidence() {
  Bed bed(smallDeployment(), 1, 1);
  bed.node(1).listing.start = kNow - kSec;
  outcome(bed, bed.node(1), Outcome::completed, kSec);
  assert(bed.guard.s.channels[0].ratio == 0);
  outcome(bed, bed.node(1), Outcome::errored); // errors speak at any age
  assert(bed.guard.s.channels[0].ratio > 0);
}

static void commonTroubleMovesNothingOnTheMean() { // scored: quick errors at any node sent good builds back
  auto d = smallDeployment();
  d.marshals = 1000;
  double sum = 0;
  for (int i = 0; i < 100;
       ++i) { // quiet marshals, each with ten outcomes of the earlier build and three of the trial
    Bed bed(d, 1, 1);
    bed.guard.s.d.me = 999;
    bed.guard.s.chance.seed(static_cast<std::knuth_b::result_type>(i + 1));
    for (int j = 0; j < 130; ++j) {
      const bool bad = bed.guard.s.chance() % 10 < 4;
      outcome(bed, bed.node(j % 13 < 10 ? 0 : 1), bad ? Outcome::errored : Outcome::completed);
    }
    sum += bed.guard.s.channels[0].total + bed.guard.s.channels[0].ratio;
  }
  assert(sum < 0);
}

static void leftOversKeepTheirMean() { // scored: failures were told, the small good news was not
  auto d = smallDeployment();
  d.rollout.noesNeeded = d.marshals = 60, d.me = 59;
  int told = 0;
  for (int i = 0; i < 400; ++i) {
    Bed bed(d, 1, 1);
    bed.guard.s.chance.seed(static_cast<std::knuth_b::result_type>(i + 1));
    bed.guard.s.channels[0].ratio = -0.1;
    bed.guard.due(kNow);
    told += bed.guard.s.channels[0].total < 0;
    assert(bed.guard.s.channels[0].ratio == 0);
  }
  assert(told > 100 && told < 180); // 0.1 of 0.285 of 400
}

static void earlierBuildSetsP0() {
  Bed bed(smallDeployment(), 1, 1);
  bed.guard.s.channels[0].earlierSeen = 100, bed.guard.s.channels[0].earlierFailed = 20;
  outcome(bed, bed.node(1), Outcome::errored);
  assert(std::abs(bed.guard.s.channels[0].ratio - std::log(0.42 / 0.2)) < 1e-9);
}

static void troubleSinceTheOfferDoesNotExcuseTheBuild() { // a build may slow old and new alike
  Bed bed(smallDeployment(), 1, 1);
  auto &c = bed.guard.s.channels[0];
  c.earlierSeen = 100, c.earlierFailed = 40, c.before = 0.02;
  outcome(bed, bed.node(1), Outcome::errored);
  assert(std::abs(c.ratio - std::log(0.14 / 0.06)) < 1e-9);
}

static void firstBuildIsTheMeasure() { // found on the first incidents: it was judged with nothing to compare
  Bed bed;
  for (int i = 0; i < 50; ++i) outcome(bed, bed.node(0), Outcome::errored);
  assert(bed.guard.s.channels[0].y == 0 && bed.guard.s.channels[0].earlierFailed > 40);
}

static void aStepIsReportedToEachFuser() {
  Bed bed(smallDeployment(), 1, 1);
  bed.guard.s.d.me = 1;
  for (int i = 0; i < 2; ++i) outcome(bed, bed.node(1), Outcome::errored);
  const auto due = bed.guard.due(kNow);
  assert(due.notes.size() == 5 && due.notes[0].to == 0 && due.notes[1].to == 2 &&
         due.notes[4].to == -1); // pooled and route, two peers; the stance, all
  assert(bed.guard.s.channels[0].ratio == 0 && bed.guard.s.channels[0].y > 2);
}

static void notesAreFusedAndMalformedOnesDropped() {
  Bed from(smallDeployment(), 1, 1), to(smallDeployment(), 1, 1);
  from.guard.s.d.me = 2;
  for (int i = 0; i < 2; ++i) outcome(from, from.node(1), Outcome::errored);
  const auto note = from.guard.due(kNow).notes.at(0).bytes;
  to.guard.note(2, note.data(), note.size(), kNow);
  assert(to.guard.s.channels[0].y > 2 && to.guard.s.stageOutcomes == 2);
  to.guard.note(2, note.data(), note.size(), kNow); // a repeat does no harm
  assert(to.guard.s.stageOutcomes == 2);
  const double before = to.guard.s.channels[0].y;
  auto bad = note;
  bad[0] = 99;
  to.guard.note(2, bad.data(), bad.size(), kNow);
  to.guard.note(2, note.data(), note.size() - 1, kNow);
  to.guard.note(2, note.data(), 0, kNow);
  assert(to.guard.s.channels[0].y == before);
}

static void restartedFuserHearsTheTotals() {
  Bed from(smallDeployment(), 1, 10), late(smallDeployment(), 1, 1);
  from.guard.s.d.me = 2;
  for (std::size_t i = 1; i <= 10; ++i) outcome(from, from.node(i), Outcome::errored);
  const auto notes = from.guard.due(kNow).notes;
  const auto &last = notes.at(notes.size() - 4).bytes; // pooled and route, to two fusers each
  late.guard.note(2, last.data(), last.size(), kNow);
  assert(last[1] == 0 && late.guard.s.channels[0].y > 8 && late.guard.s.stageOutcomes == 10);
}

static void badBuildIsVotedBack() {
  Bed bed(smallDeployment(), 1, 1);
  for (int i = 0; i < 20; ++i) outcome(bed, bed.node(1), Outcome::errored);
  const auto votes = bed.guard.due(kNow).votes;
  assert(votes.size() == 1 && votes[0].verdict == Verdict::back && votes[0].build == 2);
  bed.guard.voteAnswered(Reply::ok, kNow);
  assert(bed.guard.due(kNow + kSec).votes.empty());
  assert(bed.guard.due(kNow + 5 * kSec).votes.size() == 1); // renewed within its life
}

static void failingRouteDoesNotDrown() {
  Bed bed(smallDeployment(), 1, 1);
  for (int i = 0; i < 300; ++i)
    outcome(bed, bed.node(1), i % 30 == 0 ? Outcome::errored : Outcome::completed, kMs, i % 30 == 0 ? 1 : 0);
  assert(bed.guard.s.channels[2].y > bed.guard.s.channels[0].y + 5);
}

static void aBuildThatStoodIsTheMeasure() { // scored: a slow link sent a build back long after its release
  Bed bed(smallDeployment(), 1, 1, Phase::released);
  bed.guard.s.stageAt = kNow - 5 * kSec;
  for (int i = 0; i < 5; ++i) outcome(bed, bed.node(1), Outcome::completed);
  bed.guard.due(kNow);
  assert(bed.guard.s.tried); // it may yet go back
  bed.guard.due(kNow + 4 * kSec);
  for (int i = 0; i < 50; ++i) outcome(bed, bed.node(1), Outcome::errored);
  assert(!bed.guard.s.tried && bed.guard.s.channels[0].y <= 0);
}

static void
oneSickNodeDoesNotConvictItsBuild() { // scored: quick errors at one node of five sent a good one back
  Bed one(smallDeployment(), 1, 5), all(smallDeployment(), 1, 5);
  for (std::size_t i = 0; i < 5; ++i)
    one.node(i + 1).mark = all.node(i + 1).mark = static_cast<std::uint16_t>(i + 1);
  for (std::size_t i = 0; i < 40; ++i) {
    outcome(one, one.node(1), Outcome::errored);
    outcome(all, all.node(1 + i % 5), Outcome::errored);
  }
  assert(one.guard.s.channels[0].y > 20 && !one.guard.s.against && all.guard.s.against);
}

static void flagsConvictWrongAnswers() {
  auto d = smallDeployment();
  d.rollout.foundShare = 0.3;
  Bed bed(d, 1, 1);
  for (int i = 0; i < 8; ++i) bed.guard.flagged(bed.node(1), 0, kSec, kNow);
  const auto votes = bed.guard.due(kNow).votes;
  assert(votes.size() == 1 && votes[0].verdict == Verdict::back);
}

static void talliesStandInWherePeersMayNotSpeak() {
  auto d = smallDeployment();
  for (const bool peers : {true, false}) {
    d.peers = peers;
    Bed bed(d, 1, 1);
    bed.guard.tallied(2, 0, 30, 100, 0, kNow);
    assert(bed.guard.s.against == !peers);
  }
}

static void clockIsHeldInDoubt() {
  auto d = smallDeployment();
  d.rollout.control = Control::clock;
  Bed bed(d, 1, 1);
  bed.guard.s.channels[0].y = 5;
  const auto votes = bed.guard.due(kNow).votes;
  assert(votes.size() == 1 && votes[0].verdict == Verdict::hold);
}

static void untakenVoteIsSentAgain() {
  Bed bed(smallDeployment(), 1, 1);
  bed.guard.s.against = true;
  assert(bed.guard.due(kNow).votes.size() == 1);
  assert(bed.guard.due(kNow + 100 * kMs).votes.empty()); // its answer is out
  bed.guard.voteAnswered(Reply::full, kNow + 200 * kMs);
  assert(bed.guard.due(kNow + 250 * kMs).votes.empty());
  assert(bed.guard.due(kNow + 2 * kSec).votes.size() == 1);
}

static void noVoteOnBeforeTheStagesMachinesAreSeen() { // found on a day with a late list
  Bed bed(smallDeployment(), 1, 1);
  bed.node(1).listing.start = kNow - 10 * kSec;
  bed.guard.s.stageAt = kNow - 5 * kSec;
  assert(bed.guard.due(kNow).votes.empty());
  bed.node(1).listing.start = kNow - 4 * kSec;
  const auto votes = bed.guard.due(kNow + kMs).votes;
  assert(votes.size() == 1 && votes[0].verdict == Verdict::on);
}

static void machinesThatHaveJustComeExcuseNobody() { // scored: a bad build got 25 more, and stood 5 s longer
  Bed bed(smallDeployment(), 1, 5);
  for (std::size_t i = 1; i <= 5; ++i) bed.node(i).mark = static_cast<std::uint16_t>(i);
  for (int i = 0; i < 20; ++i) bed.list({.build = 2, .start = kNow - kSec});
  for (std::size_t i = 0; i < 40; ++i) outcome(bed, bed.node(1 + i % 5), Outcome::errored);
  assert(bed.guard.s.against);
}

// Scored: a zone was lost, the rest bore its load, and a good build was judged bad by 2,350 outcomes.
static void latenessWhilePlacesAreLostIsNoEvidence() {
  Bed bed(smallDeployment(), 1, 1);
  for (int i = 0; i < 5; ++i) outcome(bed, bed.node(0), Outcome::unreachable);
  outcome(bed, bed.node(1), Outcome::completed, kSec);
  assert(bed.guard.s.channels[0].ratio <= 0);
  outcome(bed, bed.node(1), Outcome::errored);
  assert(bed.guard.s.channels[0].ratio > 0); // errors still speak
  for (int i = 0; i < 120; ++i) outcome(bed, bed.node(0), Outcome::completed);
  assert(bed.guard.s.lost < 0.05 && bed.guard.s.lostUntil > kNow && bed.guard.s.lostUntil <= kNow + 5 * kSec);
  bed.guard.s.lostUntil = kNow;
  const double before = bed.guard.s.channels[0].ratio + bed.guard.s.channels[0].total;
  outcome(bed, bed.node(1), Outcome::completed, kSec);
  assert(bed.guard.s.channels[0].ratio + bed.guard.s.channels[0].total > before);
}

static void
aNewLifeDoesNotBlameLateness() { // scored: 33 restarted marshals convicted a build of their own crowding
  Guard guard(smallDeployment(), 7, kNow);
  assert(guard.s.lostUntil == kNow + 5 * kSec);
}

static void
aStanceIsKeptInSlightDoubt() { // scored: y 10.5 of 19.6 took 50 votes back half a second before a release
  for (const auto &[y, on] : {std::pair{3.0, true}, {5.5, true}, {7.5, false}}) {
    Bed bed(smallDeployment(), 1, 1);
    bed.guard.due(kNow);
    assert(bed.guard.s.said == (Vote{Verdict::on, 2, 0}));
    bed.guard.s.channels[0].y = y;
    bed.guard.due(kNow + kMs);
    assert((bed.guard.s.said.verdict == Verdict::on) == on);
  }
  Bed fresh(smallDeployment(), 1, 1);
  fresh.guard.s.channels[0].y = 5.5;
  fresh.guard.due(kNow);
  assert(fresh.guard.s.said.verdict == Verdict::withdraw); // what was not said is not said in doubt
}

int main() {
  for (auto *test : {noVoteOnBeforeTheStagesMachinesAreSeen,
                     failuresMoveTheRatioByTheDesignsTerms,
                     lateAnswersFailAndTurnedAwayOnesSayNothing,
                     youngNodesAreNoEvidence,
                     commonTroubleMovesNothingOnTheMean,
                     leftOversKeepTheirMean,
                     earlierBuildSetsP0,
                     troubleSinceTheOfferDoesNotExcuseTheBuild,
                     firstBuildIsTheMeasure,
                     aStepIsReportedToEachFuser,
                     notesAreFusedAndMalformedOnesDropped,
                     restartedFuserHearsTheTotals,
                     badBuildIsVotedBack,
                     aBuildThatStoodIsTheMeasure,
                     oneSickNodeDoesNotConvictItsBuild,
                     machinesThatHaveJustComeExcuseNobody,
                     latenessWhilePlacesAreLostIsNoEvidence,
                     aNewLifeDoesNotBlameLateness,
                     aStanceIsKeptInSlightDoubt,
                     failingRouteDoesNotDrown,
                     flagsConvictWrongAnswers,
                     talliesStandInWherePeersMayNotSpeak,
                     clockIsHeldInDoubt,
                     untakenVoteIsSentAgain})
    test();
}
