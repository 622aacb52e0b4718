// THE decision module's values, thresholds and tables, all of them. Adapters ask where() for each request
// (and again when a hold's wait() is over), after() for each outcome, due() after each batch and each wait().
// The mechanism is docs/design.md's: own log-likelihood ratio, step-triggered reports to the fusers, their
// CUSUM, and votes.
#pragma once

#include "policy/guard.h"
#include "policy/log_text.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace myrtlehead {

// The mechanism's values, as the design page starts them.
constexpr double kStep = 1.5;                        // net move of the ratio that is reported
constexpr double kLeastMove = 0.3, kRounding = 1.5;  // told to many fusers; deviations of it that are no news
constexpr Nanoseconds kFlush = kSecond;              // so often what is left over is reported
constexpr double kThreshold = 8;                     // to which the log of the stage's outcomes is added
constexpr double kHoldLevel = 0.5, kKeepLevel = 0.8; // of the threshold: no vote on above; one is taken back
constexpr int kLeastFusers = 3;
constexpr Nanoseconds kYoung = 5 * kSecond;   // this soon after an endpoint's start, only errors are evidence
constexpr Nanoseconds kOnAfter = 3 * kSecond; // of quiet since the newest start, before a vote on
constexpr Nanoseconds kStageOverdue = 12 * kSecond; // after a stage began, for its first machine to be listed
constexpr Nanoseconds kRenew = 4 * kSecond;
constexpr double kAllowed = 0.97, kAtOnce = 1.8; // of the votes a second allowed: used, and sent at one time
constexpr Nanoseconds kSettled =
    8 * kSecond;                    // after its release, a build that is not in doubt is no longer judged
constexpr double kLateWeight = 0.6; // of a late answer or a time-out against an error
constexpr double kEarlierFirst = 0.02, kEarlierLeast = 0.01, kEarlierMost = 0.45, kRise = 1.5, kMore = 0.03;
constexpr double kEarlierEnough = 20, kEarlierMemory = 300, kRecent = 20; // outcomes
constexpr double kMostPart = 4; // trial outcomes for each of the earlier build, while it has endpoints
constexpr double kSick = 0.25, kApartFrom = 3; // of a build's endpoints, one at least; of so many or more
constexpr std::size_t kParts = 256;            // endpoints whose parts are kept
constexpr Nanoseconds kSay = 2 * kSecond,
                      kStanceLife = 5 * kSecond;        // a fuser says its stance so often; it holds so long
constexpr Nanoseconds kMatch = 2 * kSecond;             // over which outcomes of both are of the same moments
constexpr double kFlagsFirst = 0.002, kFlagPrior = 500; // flags for each answer, as if so many had been seen
constexpr double kFlagsLeast = 0.0005, kFlagsMost = 0.05, kFlagMemory = 5000, kWrongShare = 0.05;

// Routing and health.
constexpr Nanoseconds kBeat = 50 * kMillisecond,
                      kDeaf = 3 * kBeat;        // how often due() looks round; without being asked at all
constexpr double kSlowFrom = 1.3, kSilence = 5; // times the mean latency: slow; silent, with attempts out
constexpr double kLearn = 0.1;                  // weight of the newest sample in a running mean
constexpr Nanoseconds kForget = 5 * kSecond,
                      kReportLife = kSecond;          // a latency is half forgiven, a report void, after this
constexpr double kFailWeight = 10, kCrossWeight = 10; // load of one that always fails; per cross-zone price
constexpr int kDraws = 16;                            // for an endpoint, by its weight
constexpr double kQuartileStep = 0.1, kFarStill = 0.05; // the latter: share of requests that still go far
constexpr double kFarAway = 3; // times the own zone's quartile, from which attempts at others take long
constexpr double kLost =
    0.05; // share of attempts that find no place, or lose it, from which places are lost;
constexpr Nanoseconds kLostFor = 5 * kSecond; // their load is on the others for so long
constexpr double kRoom = 0.25;                // part of the objectives used up, below which there is room
// Times as crowded as the others: a trial is passed over; its late answers are no evidence; on the way back.
constexpr double kTrialCrowd = 1.5, kFairCrowd = 1.2, kBackCrowd = 0.5;
constexpr double kTrialPace = 1.2, kAnyPace = 1e9, kUnknown = 0.5; // times what a warm endpoint completes
constexpr int kStrikes = 3; // hard failures in a row that put an endpoint out of use
constexpr double kFailRest = 0.5, kFailApart = 2, kFailMargin = 0.1; // a share; times the better's, and more
constexpr Nanoseconds kRest = kSecond / 2, kMostRest = 8 * kSecond;  // first spell out of use, doubling
constexpr double kDoubt =
    0.5; // share of the objective that an attempt may take at an endpoint that has just failed
constexpr double kResendShare = 0.2, kResendBurst = 10; // retries, as a share of requests taken
constexpr double kHoldShare = 0.5; // of the objective that a request is held for want of an endpoint
constexpr double kColdBudget = 0.6, kColdSaved = 0.25; // of the cold rule's budget; of a span's, saved up
constexpr double kLatest = 1.5, kMedianStep = 0.02;    // most that attempts' time says, of their objectives
constexpr double kTypical =
    2.5; // times the median that the mean may be, before it is a few attempts' trouble
constexpr double kFlowMemory = 0.5;               // seconds over which attempts out and outcomes are averaged
constexpr double kShedFrom = 0.5, kShedNow = 0.5; // for each unit above: at once;
constexpr double kShedGain = 0.4, kShedEase = 2;  // a second; for each unit below, a second
constexpr double kShedMost = 0.95, kBaseMost = 0.7; // some are let in, to tell when the trouble is over
constexpr double kShedLow = 0.7, kShedHigh = 2; // exponents on the share shed, from no importance to the most
constexpr double kShedRepeat = 0.5, kShedSay = 0.05; // on the exponent, for a repeat; share that is logged
constexpr double kLead = 2; // seconds' worth of its share, by which a tenant may be ahead of it
constexpr Nanoseconds kHoldLook = 20 * kMillisecond;

inline bool hardFailure(Outcome o) {
  return o == Outcome::failed || o == Outcome::timedOut || o == Outcome::reset || o == Outcome::unreachable;
}

} // namespace myrtlehead
