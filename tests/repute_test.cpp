// What marshals tell each other of nodes that fail.
#include "decide/repute/repute.h"

#include <cassert>
#include <cmath>
#include <cstdio>

using namespace myrtlehead;
using namespace myrtlehead::repute;

static std::knuth_b chance(7);
constexpr Ns kNow = 1000 * kSec;

static Telling word(std::uint8_t failed, std::uint8_t lost, std::uint8_t completed, std::uint16_t zone = 0) {
  return {zone, {{9, failed, lost, completed}}};
}

static void notesComeBackAsTheyWent() {
  const Telling t{513, {{9, 1, 0, 255}, {65535, 0, 7, 3}}};
  const auto bytes = pack(t);
  const auto back = unpack(bytes.data(), bytes.size());
  assert(bytes.size() == 13 && back && back->zone == 513 && back->nodes.size() == 2);
  assert(back->nodes[0].completed == 255 && back->nodes[1].node == 65535 && back->nodes[1].lost == 7);
}

static void whatIsNoNoteIsNotRead() {
  auto bytes = pack(word(1, 0, 0));
  for (std::size_t n = 0; n < bytes.size(); ++n) assert(!unpack(bytes.data(), n)); // cut anywhere
  auto other = bytes;
  other[0] = 6;
  assert(!unpack(other.data(), other.size()));
  const auto nothing = pack(word(0, 0, 5)), nobody = pack({0, {{0, 1, 0, 0}}});
  assert(!unpack(nothing.data(), nothing.size()) && !unpack(nobody.data(), nobody.size()));
  const auto longest = pack({0, std::vector<Seen>(kMostNodes, {1, 1, 0, 0})});
  const auto tooLong = pack({0, std::vector<Seen>(kMostNodes + 1, {1, 1, 0, 0})});
  assert(longest.size() <= 256 && unpack(longest.data(), longest.size()));
  assert(!unpack(tooLong.data(), tooLong.size()));
}

static void nothingIsToldWhileNothingFails() {
  Repute r(0, 100, 0);
  for (int i = 0; i < 50; ++i) r.finished(9, Outcome::completed);
  r.finished(9, Outcome::turnedAway), r.finished(9, Outcome::cancelled);
  assert(r.due(kNow, chance).empty());
}

static void aFailureIsToldOnceToAFewOthers() {
  Repute r(3, 300, 0);
  r.finished(9, Outcome::completed), r.finished(9, Outcome::errored);
  const auto notes = r.due(kNow, chance);
  assert(notes.size() == 20);
  for (std::size_t i = 0; i < notes.size(); ++i) {
    assert(notes[i].to >= 0 && notes[i].to < 300 && notes[i].to != 3);
    for (std::size_t j = 0; j < i; ++j) assert(notes[i].to != notes[j].to);
  }
  assert(r.due(kNow + 2 * kSec, chance).empty());
  r.finished(9, Outcome::errored);
  assert(!r.due(kNow + 4 * kSec, chance).empty());
  r.finished(9, Outcome::errored);
  assert(r.due(kNow + 4 * kSec + kMs, chance).empty()); // not before its time
  Repute alone(0, 1, 0), pair(0, 2, 0);
  alone.finished(9, Outcome::errored), pair.finished(9, Outcome::errored);
  assert(alone.due(kNow, chance).empty() && pair.due(kNow, chance).size() == 1);
}

static void aNodeThatFailsForOthersIsLeftOut() {
  Repute r(0, 100, 0);
  r.heard(5, word(2, 0, 0), kNow, chance);
  assert(r.doubtedUntil(9) == 0); // one teller may be the one that is cut off
  r.heard(5, word(9, 0, 0), kNow, chance);
  assert(r.doubtedUntil(9) == 0);
  r.heard(6, word(1, 0, 0), kNow, chance);
  assert(r.doubtedUntil(9) > kNow && r.doubtedUntil(9) <= kNow + 3 * kSec && r.doubtedUntil(8) == 0);
}

static void aNodeThatServesMostIsKept() {
  Repute r(0, 100, 0);
  for (int from = 1; from < 20; ++from) r.heard(from, word(1, 0, 3), kNow, chance);
  assert(r.doubtedUntil(9) == 0);
}

static void waysOfOtherZonesSayNothing() {
  Repute r(0, 100, 1);
  for (int from = 1; from < 20; ++from) r.heard(from, word(0, 3, 0, 2), kNow, chance);
  assert(r.doubtedUntil(9) == 0);
  for (int from = 1; from < 4; ++from) r.heard(from, word(0, 1, 0, 1), kNow, chance);
  assert(r.doubtedUntil(9) > kNow);
}

static void oldWordsFade() {
  Repute r(0, 100, 0);
  for (int i = 0; i < 40; ++i) r.heard(1 + i % 2, word(1, 0, 0), kNow + i * 10 * kSec, chance);
  assert(r.doubtedUntil(9) == 0);
}

static void anOwnCompletedTryEndsTheDoubt() {
  Repute r(0, 100, 0);
  for (int from = 1; from < 5; ++from) r.heard(from, word(1, 0, 0), kNow, chance);
  assert(r.doubtedUntil(9) > kNow);
  r.finished(9, Outcome::completed);
  assert(r.doubtedUntil(9) == 0);
}

// A node that is away for `away` is left out no longer than that and the longest spell.
static void aNodeThatReturnsIsTakenBack() {
  for (const Ns away : {kSec, 5 * kSec, 30 * kSec}) {
    Repute r(0, 100, 0);
    for (Ns t = 0; t < away; t += kSec / 10)
      r.heard(1 + static_cast<int>(t / kMs / 100 % 3), word(0, 1, 0), kNow + t, chance);
    assert(r.doubtedUntil(9) > kNow && r.doubtedUntil(9) <= kNow + away + 11 * kSec);
  }
}

static void strangersAndOneselfAreNotHeard() {
  Repute r(4, 10, 0);
  for (const int from : {-1, 4, 10, 1000}) r.heard(from, word(9, 0, 0), kNow, chance);
  assert(r.size() == 0);
}

static void theTableIsBounded() {
  Repute r(0, 100, 0);
  for (int i = 1; i < 60000; ++i) r.heard(1, {0, {{static_cast<std::uint16_t>(i), 1, 0, 0}}}, kNow, chance);
  assert(r.size() <= 4096);
  r.heard(1, word(1, 0, 0), kNow + 100 * kSec, chance);
  assert(r.size() <= 2); // what nobody speaks of any more is forgotten
}

// A hundred marshals that meet each of 60 nodes once in seven seconds, six of which fail: how many tries find
// that out, with their word passed on and without.
static int triesAtFailingNodes(bool told) {
  std::vector<Repute> fleet;
  for (int i = 0; i < 100; ++i) fleet.emplace_back(i, 100, 0);
  std::vector<std::vector<int>> strikes(100, std::vector<int>(61));
  std::knuth_b draw(11);
  int failed = 0;
  for (Ns now = kNow; now < kNow + 10 * kSec; now += 100 * kMs)
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      const auto node = static_cast<std::uint16_t>(1 + draw() % 60);
      if (fleet[i].doubtedUntil(node) <= now && strikes[i][node] < 3) {
        const bool bad = node <= 6;
        failed += bad, strikes[i][node] += bad;
        fleet[i].finished(node, bad ? Outcome::errored : Outcome::completed);
      }
      if (!told) continue;
      for (const auto &note : fleet[i].due(now, draw))
        if (const auto t = unpack(note.bytes.data(), note.bytes.size()))
          fleet[static_cast<std::size_t>(note.to)].heard(static_cast<int>(i), *t, now, draw);
    }
  return failed;
}

static void aFleetFindsItOutTogether() {
  const int alone = triesAtFailingNodes(false), together = triesAtFailingNodes(true);
  std::printf("%d tries at failing nodes alone, %d with others' word\n", alone, together);
  assert(alone > 800 && 2 * together < alone);
}

int main() {
  notesComeBackAsTheyWent();
  whatIsNoNoteIsNotRead();
  nothingIsToldWhileNothingFails();
  aFailureIsToldOnceToAFewOthers();
  aNodeThatFailsForOthersIsLeftOut();
  aNodeThatServesMostIsKept();
  waysOfOtherZonesSayNothing();
  oldWordsFade();
  anOwnCompletedTryEndsTheDoubt();
  aNodeThatReturnsIsTakenBack();
  strangersAndOneselfAreNotHeard();
  theTableIsBounded();
  aFleetFindsItOutTogether();
}
