// What one instance remembers, grouped by how long it lives: for one upstream attempt, one request, one
// endpoint, the instance. Plain values; objects point to each other. `door` is the id by which the adapter
// knows a thing.
#pragma once

#include "policy/peer_messages.h"
#include "policy/types.h"

#include <deque>
#include <map>
#include <memory>
#include <random>

namespace myrtlehead {

struct Attempt {
  Endpoint *node = nullptr;
  Nanoseconds sent = 0, timeout = 0;
  int build = 0, zone = 0, cell = 0; // as listed when it was sent
  bool trial = false;
  bool crowded = false; // more so than the builds not on trial, when it was sent
  bool out = true;
  bool mayHaveExecuted = true; // until an outcome proves that it never ran
  bool given = false;          // called off by us
};

struct Request {
  std::uint64_t door = 0;
  int route = 0;
  std::size_t tenant = 0;
  std::uint64_t key = 0;
  Nanoseconds taken = 0, deadline = 0;
  bool clientRepeat = false;
  int priorityGroup = 0; // the group of endpoints that it is for
  std::vector<Attempt> tries;
  bool counted = false; // its exposure credit is booked
  bool ended = false;   // the client has its final answer, or has left
  bool streaming = false;
  int out = 0; // attempts still out
};

struct Endpoint {
  std::uint64_t door = 0;
  std::uint16_t mark = 0; // the same at every instance, as far as names differ in it; 0: none
  EndpointInfo info;
  bool named = false;         // in the latest list, and ready
  bool inWhole = false;       // met while a whole list is being read
  int inflight = 0;           // own attempts out
  Nanoseconds quietSince = 0; // no outcome from here since then, if attempts are out
  double latency = 0;         // mean time of own attempts here, ns
  Nanoseconds latencyAt = 0;
  double failShare = 0;         // recent share of own attempts here that failed
  int strikes = 0;              // hard failures in a row
  int rests = 0;                // spells out of use in a row
  Nanoseconds restUntil = 0;    // out of use until then
  Nanoseconds provenAt = 0;     // when the latest attempt that it has served was sent
  Nanoseconds doubtedUntil = 0; // left out until then for what other instances tell
  double saved = 0;             // sends to it saved up, while it is cold
  Nanoseconds savedAt = 0;
  double reported = 0; // requests waiting or held there, by its last report
  Nanoseconds reportedAt = 0;
};

// One stream of evidence: own log-likelihood ratio since the last report, own totals reported for this build,
// the fuser's CUSUM with what it has heard from each instance, and the earlier build's outcomes, decaying.
struct Channel {
  double ratio = 0, unreported = 0;
  double total = 0, outcomes = 0;
  double y = 0;
  std::vector<Report> heard;
  std::uint16_t worst = 0;               // the mark of the endpoint that failed last, not reported yet
  std::map<std::uint16_t, double> parts; // of y, by the endpoint that moved it
  double earlierFailed = 0, earlierSeen = 0;
  double hard = 0, late = 0; // shares of errors and of late answers among its latest outcomes
  double before = 1;         // the earlier build's share when this one was offered
};

// What a fuser has said of the build on offer.
struct Said {
  Vote stance{Verdict::abstain, 0, 0};
  Nanoseconds at = 0;
};

struct Instance {
  Deployment d;
  std::knuth_b chance;
  std::deque<Endpoint> nodes;    // in order of first listing
  std::vector<Endpoint *> ready; // in the same order

  Nanoseconds provenSince =
      0; // since when an endpoint must have served a try to be sent to; 0: the list is believed

  // The build on offer, and the exposure left to it, for the instance or by route.
  RolloutState news;
  bool haveNews = false;
  Nanoseconds stageAt = 0; // when its present state began
  bool tried = false;      // the build on offer has been on trial in this life
  std::vector<double> credit;
  std::map<std::uint64_t, int> keyBuild; // noReturn: the build that last answered a key

  // The mechanism.
  std::uint32_t life = 0;                // tells this life's notes from an earlier one's
  std::vector<Channel> channels;         // all outcomes; then a route each; last, flags
  double trialSeen = 0, earlierSeen = 0; // outcomes counted of both builds, decaying
  Nanoseconds judgedAt = 0;
  Nanoseconds flushAt = 0;  // when what is left over is reported next
  double stageOutcomes = 0; // reported this stage
  bool against = false;     // some y has reached the threshold for this build

  // The fusers' stances: heard by number, and the own one as last said.
  std::vector<Said> stances;
  Vote said{Verdict::abstain, 0, 0};
  Nanoseconds sayAt = 0;

  // The vote.
  Vote voted{Verdict::abstain, 0, 0}; // the latest sent
  Vote wanted{Verdict::abstain, 0, 0};
  Nanoseconds wantedAt = 0;  // since when it has been the verdict
  bool voteOut = false;      // its answer is still due
  Nanoseconds voteNext = 0;  // no earlier vote unless the verdict changes
  Nanoseconds voteRetry = 0; // none at all before this

  Nanoseconds seenAt = 0;    // when the instance was last asked anything
  Nanoseconds deafUntil = 0; // end of its last standstill

  // Load, and the rates that bound it.
  int inflight = 0;
  double nearTime = 0, farTime = 0; // lower quartiles of own attempts in the own zone and others, ns
  double latency = 0;               // mean time of own attempts, ns
  double lost = 0;                  // share of its latest attempts that found no place, or lost it
  Nanoseconds lostUntil = 0;        // so long lateness says nothing of a build
  double latencyObjective = 0;      // mean of the requests taken, seconds
  double finished = 0;              // outcomes since shedAt
  double meanOut = 0, flow = 0;     // attempts out, and outcomes a second
  double lateness = 0;              // time that attempts take, as a part of the objectives
  double typical = 0;               // the median of the same, outcome by outcome
  std::vector<double> tenantLead;   // requests by which each tenant is ahead of its share
  double shedBase = 0;              // the part of shed that builds up
  double shed = 0;                  // share of requests to shed
  Nanoseconds shedAt = 0;
  bool shedding = false;
  double resendCredit = 0;
  double warmRate =
      0; // requests a second that a warm endpoint completes for this instance: the next two's quotient
  double warmDone = 0, warmTime = 0; // decaying sums of requests completed at a warm endpoint, and of seconds
  double borne = 0, taken = 0;       // completed at warm endpoints, and requests taken, since rateAt
  Nanoseconds rateAt = 0;
};

} // namespace myrtlehead
