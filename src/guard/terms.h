// The plain values that pass through the guard's door: what a deployment is, what is listed and told, what is
// answered and what falls due.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace myrtlehead {

using Ns = std::int64_t;
constexpr Ns kMs = 1'000'000, kSec = 1'000'000'000;
constexpr Ns kAnyTime = std::numeric_limits<Ns>::max();

enum class Repeat { retriable, deduped, nonRetriable };
enum class Group { all, zone, cell };
enum class Control { anyVoice, byCount, clock };
enum class LoadField { active, waiting, cpu, other };

struct Route {
  Ns objective = 0;
  Ns dedupeWindow = 0;
  double importance = 1;
  Repeat repeat = Repeat::retriable;
  Group group = Group::all;
};

struct Rollout {
  Control control = Control::anyVoice;
  std::vector<double> caps;
  double free = 0;
  bool capByRoute = false, noReturn = false;
  bool earlierStay = false; // until the release, rather than making room one by one
  int guardedStages = 0;
  double foundShare = 0; // of the wrong answers, how many are flagged
  int votesToGo = 0, noesNeeded = 1, stoppers = 0;
  Ns voteStands = 0;
  double voteAllowance = 1; // votes a second, of all marshals
};

struct Deployment {
  int me = 0, marshals = 1, zone = 0;
  std::vector<Route> routes;
  std::vector<LoadField> loadFields;
  std::vector<double> tenantRps; // reqs a second inside each tenant's share, over all marshals
  double overShareWorth = 1;     // what is left of the importance beyond it
  Rollout rollout;
  Ns tick = 0;
  Ns coldFor = 0, fallSpan = 0, maxRetryAfter = 0;
  Ns askEvery = 0; // a marshal that follows no list asks for it at least so often
  double coldFrom = 1, fallMultiple = 1;
  double crossZonePrice = 0;
  int mostTries = 1;
  bool listAsked = false, peers = false, retryAfter = false;
};

struct Node;
struct Req;

enum class Outcome { completed, errored, turnedAway, timedOut, unreachable, reset, cancelled, notSent };

// Whether an outcome proves that the try never ran.
inline bool neverRan(Outcome o) {
  return o == Outcome::turnedAway || o == Outcome::unreachable || o == Outcome::notSent;
}

enum class Mode { ready, draining, gone };
enum class Phase { trial, goingBack, released, withdrawn };
enum class Reply { ok, moot, full, error, timedOut };
enum class Verdict { withdraw, on, hold, back };

constexpr int kUnknownBuild = 65536; // later than any that can be told: on trial for ever

struct Listing {
  int build = 0, zone = 0, cell = 0;
  Ns start = 0; // 0: long ago
  Mode mode = Mode::ready;
  int tier = 0;      // its group by preference, 0 first
  double weight = 1; // of the largest in its group
};

struct News {
  int build = 0, stage = 0;
  Phase phase = Phase::trial;
  double cap = 0;
  Ns age = 0; // since this state began
};

// What to do with a req now. hold: nothing yet, ask again after wait().
struct Step {
  enum What { send, hold, shed, fail, nothing } what = nothing;
  Node *node = nullptr;
  Ns timeout = 0;    // send: give the try up after this
  Ns retryAfter = 0; // shed: time for the client to come back, 0 for none
  Ns sendBy = 0;     // send: its last byte may not leave later
};

struct Vote {
  Verdict verdict;
  int build, stage;
  bool operator==(const Vote &) const = default;
};

struct Note {
  int to; // number of the marshal; -1: every other one
  std::vector<std::uint8_t> bytes;
};

struct Due {
  std::vector<Vote> votes;
  std::vector<Note> notes;
  std::vector<std::string> lines;
};

} // namespace myrtlehead
