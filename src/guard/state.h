// What one instance remembers, grouped by how long it lives: for one upstream try, one req, one node, the
// instance. Plain values; objects point to each other. `door` is the id by which the adapter knows a thing.
#pragma once

#include "guard/report.h"
#include "guard/terms.h"

#include <deque>
#include <map>
#include <memory>
#include <random>

namespace myrtlehead {

struct Try {
  Node *node = nullptr;
  Ns sent = 0, timeout = 0;
  int build = 0, zone = 0, cell = 0; // as listed when it was sent
  bool trial = false;
  bool crowded = false; // more so than the builds not on trial, when it was sent
  bool out = true;
  bool mayHaveRun = true; // until an outcome proves that it never ran
  bool given = false;     // called off by us
};

struct Req {
  std::uint64_t door = 0;
  int route = 0;
  std::size_t tenant = 0;
  std::uint64_t key = 0;
  Ns taken = 0, deadline = 0;
  bool clientRepeat = false;
  int tier = 0; // the group of nodes that it is for
  std::vector<Try> tries;
  bool counted = false; // its exposure credit is booked
  bool ended = false;   // the client has its final answer, or has left
  bool streaming = false;
  int out = 0; // tries still out
};

struct Node {
  std::uint64_t door = 0;
  std::uint16_t mark = 0; // the same at every marshal, as far as names differ in it; 0: none
  Listing listing;
  bool named = false;   // in the latest list, and ready
  bool inWhole = false; // met while a whole list is being read
  int inflight = 0;     // own tries out
  Ns quietSince = 0;    // no outcome from here since then, if tries are out
  double latency = 0;   // mean time of own tries here, ns
  Ns latencyAt = 0;
  double failShare = 0; // recent share of own tries here that failed
  int strikes = 0;      // hard failures in a row
  int rests = 0;        // spells out of use in a row
  Ns restUntil = 0;     // out of use until then
  Ns provenAt = 0;      // when the latest try that it has served was sent
  Ns doubtedUntil = 0;  // left out until then for what other marshals tell
  double saved = 0;     // sends to it saved up, while it is cold
  Ns savedAt = 0;
  double reported = 0; // reqs waiting or held there, by its last report
  Ns reportedAt = 0;
};

// One stream of evidence: own log-likelihood ratio since the last report, own totals reported for this build,
// the fuser's CUSUM with what it has heard from each marshal, and the earlier build's outcomes, decaying.
struct Channel {
  double ratio = 0, unreported = 0;
  double total = 0, outcomes = 0;
  double y = 0;
  std::vector<Report> heard;
  std::uint16_t worst = 0;               // the mark of the node that failed last, not reported yet
  std::map<std::uint16_t, double> parts; // of y, by the node that moved it
  double earlierFailed = 0, earlierSeen = 0;
  double hard = 0, late = 0; // shares of errors and of late answers among its latest outcomes
  double before = 1;         // the earlier build's share when this one was offered
};

// What a fuser has said of the build on offer.
struct Said {
  Vote stance{Verdict::withdraw, 0, 0};
  Ns at = 0;
};

struct Instance {
  Deployment d;
  std::knuth_b chance;
  std::deque<Node> nodes;    // in order of first listing
  std::vector<Node *> ready; // in the same order

  Ns provenSince = 0; // since when a node must have served a try to be sent to; 0: the list is believed

  // The build on offer, and the exposure left to it, for the instance or by route.
  News news;
  bool haveNews = false;
  Ns stageAt = 0;     // when its present state began
  bool tried = false; // the build on offer has been on trial in this life
  std::vector<double> credit;
  std::map<std::uint64_t, int> keyBuild; // noReturn: the build that last answered a key

  // The mechanism.
  std::uint32_t life = 0;                // tells this life's notes from an earlier one's
  std::vector<Channel> channels;         // all outcomes; then a route each; last, flags
  double trialSeen = 0, earlierSeen = 0; // outcomes counted of both builds, decaying
  Ns judgedAt = 0;
  Ns flushAt = 0;           // when what is left over is reported next
  double stageOutcomes = 0; // reported this stage
  bool against = false;     // some y has reached the threshold for this build

  // The fusers' stances: heard by number, and the own one as last said.
  std::vector<Said> stances;
  Vote said{Verdict::withdraw, 0, 0};
  Ns sayAt = 0;

  // The vote.
  Vote voted{Verdict::withdraw, 0, 0}; // the latest sent
  Vote wanted{Verdict::withdraw, 0, 0};
  Ns wantedAt = 0;      // since when it has been the verdict
  bool voteOut = false; // its answer is still due
  Ns voteNext = 0;      // no earlier vote unless the verdict changes
  Ns voteRetry = 0;     // none at all before this

  Ns seenAt = 0;    // when the instance was last asked anything
  Ns deafUntil = 0; // end of its last standstill

  // Load, and the rates that bound it.
  int inflight = 0;
  double nearTime = 0, farTime = 0; // lower quartiles of own tries in the own zone and others, ns
  double latency = 0;               // mean time of own tries, ns
  double lost = 0;                  // share of its latest tries that found no place, or lost it
  Ns lostUntil = 0;                 // so long lateness says nothing of a build
  double objective = 0;             // mean of the reqs taken, seconds
  double finished = 0;              // outcomes since shedAt
  double meanOut = 0, flow = 0;     // tries out, and outcomes a second
  double lateness = 0;              // time that tries take, as a part of the objectives
  double typical = 0;               // the median of the same, outcome by outcome
  std::vector<double> tenantLead;   // reqs by which each tenant is ahead of its share
  double shedBase = 0;              // the part of shed that builds up
  double shed = 0;                  // share of reqs to shed
  Ns shedAt = 0;
  bool shedding = false;
  double resendCredit = 0;
  double warmRate = 0; // reqs a second that a warm node completes for this marshal: the next two's quotient
  double warmDone = 0, warmTime = 0; // decaying sums of reqs completed at a warm node, and of seconds
  double borne = 0, taken = 0;       // completed at warm nodes, and reqs taken, since rateAt
  Ns rateAt = 0;
};

} // namespace myrtlehead
