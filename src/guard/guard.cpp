// THE decision module. The adapter asks where() for each req (and again when a hold's wait() is over),
// after() for each outcome, and due() after each batch and each wait(); facts come by the other calls.
// Interface: guard.h, state: state.h; every decision, threshold, table and tuned value is here. The mechanism
// is docs/design.md's: own log-likelihood ratio on trial outcomes, step-triggered reports to the fusers,
// their CUSUM, and their votes.
#include "guard/guard.h"
#include "guard/log.h"
#include "guard/report.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace myrtlehead {

namespace {

// The mechanism's values, as the design page starts them.
constexpr double kStep = 1.5;                        // net move of the ratio that is reported
constexpr double kLeastMove = 0.3, kRounding = 1.5;  // told to many fusers; deviations of it that are no news
constexpr Ns kFlush = kSec;                          // so often what is left over is reported
constexpr double kThreshold = 8;                     // to which the log of the stage's outcomes is added
constexpr double kHoldLevel = 0.5, kKeepLevel = 0.8; // of the threshold: no vote on above; one is taken back
constexpr int kLeastFusers = 3;
constexpr Ns kYoung = 5 * kSec;         // this soon after a node's start, only errors are evidence
constexpr Ns kOnAfter = 3 * kSec;       // of quiet since the newest start, before a vote on
constexpr Ns kStageOverdue = 12 * kSec; // after a stage began, for its first machine to be listed
constexpr Ns kRenew = 4 * kSec;
constexpr double kAllowed = 0.97, kAtOnce = 1.8; // of the votes a second allowed: used, and sent at one time
constexpr Ns kSettled = 8 * kSec;   // after its release, a build that is not in doubt is no longer judged
constexpr double kLateWeight = 0.6; // of a late answer or a time-out against an error
constexpr double kEarlierFirst = 0.02, kEarlierLeast = 0.01, kEarlierMost = 0.45, kRise = 1.5, kMore = 0.03;
constexpr double kEarlierEnough = 20, kEarlierMemory = 300, kRecent = 20; // outcomes
constexpr double kMostPart = 4; // trial outcomes for each of the earlier build, while it has nodes
constexpr double kSick = 0.25, kApartFrom = 3;        // of a build's nodes, one at least; of so many or more
constexpr std::size_t kParts = 256;                   // nodes whose parts are kept
constexpr Ns kSay = 2 * kSec, kStanceLife = 5 * kSec; // a fuser says its stance so often; it holds so long
constexpr Ns kMatch = 2 * kSec;                       // over which outcomes of both are of the same moments
constexpr double kFlagsFirst = 0.002, kFlagPrior = 500; // flags for each answer, as if so many had been seen
constexpr double kFlagsLeast = 0.0005, kFlagsMost = 0.05, kFlagMemory = 5000, kWrongShare = 0.05;

// Routing and health.
constexpr Ns kBeat = 50 * kMs, kDeaf = 3 * kBeat; // how often due() looks round; without being asked at all
constexpr double kSlowFrom = 1.3,
                 kSilence = 5; // times the mean latency: a node is slow; with tries out, silent
constexpr double kLearn = 0.1; // weight of the newest sample in a running mean
constexpr Ns kForget = 5 * kSec, kReportLife = kSec;  // a latency is half forgiven, a report void, after this
constexpr double kFailWeight = 10, kCrossWeight = 10; // load of one that always fails; per cross-zone price
constexpr int kDraws = 16;                            // for a node, by its weight
constexpr double kQuartileStep = 0.1, kFarStill = 0.05; // the latter: share of reqs that still go far
constexpr double kFarAway = 3; // times the own zone's quartile, from which tries at others take long
constexpr double kLost = 0.05; // share of tries that find no place, or lose it, from which places are lost;
constexpr Ns kLostFor = 5 * kSec; // their load is on the others for so long
constexpr double kRoom = 0.25;    // part of the objectives used up, below which there is room
// Times as crowded as the others: a trial's nodes are passed over; their late answers are no evidence; on the
// way back.
constexpr double kTrialCrowd = 1.5, kFairCrowd = 1.2, kBackCrowd = 0.5;
constexpr double kTrialPace = 1.2, kAnyPace = 1e9, kUnknown = 0.5; // times what a warm node completes
constexpr int kStrikes = 3; // hard failures in a row that put a node out of use
constexpr double kFailRest = 0.5, kFailApart = 2,
                 kFailMargin = 0.1;                  // or a share; times the better's, and more
constexpr Ns kRest = kSec / 2, kMostRest = 8 * kSec; // first spell out of use, doubling
constexpr double kDoubt = 0.5; // share of the objective that a try may take at a node that has just failed
constexpr double kResendShare = 0.2, kResendBurst = 10; // further tries, as a share of reqs taken
constexpr double kHoldShare = 0.5; // of the objective that a req is held for want of a node
constexpr double kColdBudget = 0.6, kColdSaved = 0.25; // of the cold rule's budget; of a span's, saved up
constexpr double kLatest = 1.5,
                 kMedianStep = 0.02; // most that tries' time says, as a part of their objectives
constexpr double kTypical = 2.5; // times the median that the mean may be, before it is a few tries' trouble
constexpr double kFlowMemory = 0.5; // seconds over which tries out and outcomes are averaged
constexpr double kShedFrom = 0.5, kShedNow = 0.5, kShedGain = 0.4; // for each unit above: at once, a second
constexpr double kShedMost = 0.95, kBaseMost = 0.7; // some are let in, to tell when the trouble is over
constexpr double kShedLow = 0.7, kShedHigh = 2; // exponents on the share shed, from no importance to the most
constexpr double kShedRepeat = 0.5, kShedSay = 0.05; // on the exponent, for a repeat; share that is logged
constexpr double kLead = 2; // seconds' worth of its share, by which a tenant may be ahead of it
constexpr Ns kHoldLook = 20 * kMs;

bool hardFailure(Outcome o) {
  return o == Outcome::errored || o == Outcome::timedOut || o == Outcome::reset || o == Outcome::unreachable;
}

} // namespace

Guard::Guard(Deployment deployment, std::uint64_t seed, Ns now) {
  s.d = std::move(deployment);
  s.chance.seed(static_cast<std::knuth_b::result_type>(seed ^ seed >> 32));
  // What the last life of this marshal sent to a trial is unknown, so no free try is assumed left.
  s.credit.assign(s.d.rollout.capByRoute ? std::max<std::size_t>(s.d.routes.size(), 1) : 1, 0.0);
  s.channels.resize(s.d.routes.size() + 2);
  s.tenantLead.resize(s.d.tenantRps.size());
  for (auto &rps : s.d.tenantRps) rps /= s.d.marshals; // as if each had a like part of the traffic
  s.stances.resize(static_cast<std::size_t>(s.d.marshals));
  for (auto &c : s.channels) c.heard.resize(static_cast<std::size_t>(s.d.marshals));
  s.life = 1 + s.chance() % 0xffff;
  s.resendCredit = kResendBurst, s.lostUntil = now + kLostFor; // it may have been started amid trouble
  s.rateAt = s.shedAt = s.seenAt = now;
}

// A build that the news does not name yet counts as on trial in the first stage; before any news, so does
// every build but the oldest listed.
bool Guard::onTrial(int build) const {
  if (s.haveNews) return build > s.news.build || (build == s.news.build && s.news.phase != Phase::released);
  return std::any_of(s.ready.begin(), s.ready.end(), [&](auto *n) { return n->listing.build < build; });
}

double Guard::capOf(int build) const {
  if (s.haveNews && build == s.news.build) return s.news.cap;
  return s.d.rollout.caps.empty() ? 0 : s.d.rollout.caps.front();
}

double &Guard::creditFor(const Req &rq) {
  return s.credit[s.d.rollout.capByRoute ? static_cast<std::size_t>(rq.route) : 0];
}

// The windowed count of the design, held for every window that is yet to end as well: each req taken adds the
// cap, each trial try takes one, and no more than `free` is ever saved up.
void Guard::bookCredit(const Req &rq) {
  const int named = s.haveNews ? s.news.build : 0;
  double cap = onTrial(named) ? capOf(named) : capOf(named + 1);
  for (const auto *n : s.ready)
    if (onTrial(n->listing.build)) cap = std::min(cap, capOf(n->listing.build));
  creditFor(rq) = std::min(creditFor(rq) + cap * (1 - 1e-6), s.d.rollout.free);
}

bool Guard::trialOpen(const Req &rq, int build) const {
  const int stage = s.haveNews && build == s.news.build ? s.news.stage : 0;
  if (stage < s.d.rollout.guardedStages && routeOf(rq).repeat != Repeat::retriable) return false;
  return capOf(build) > 0 && const_cast<Guard *>(this)->creditFor(rq) >= 1;
}

// The least share of its capacity that a node has by now.
double Guard::warmth(const Node &n, Ns now) const {
  if (n.listing.start == 0 || s.d.coldFor <= 0) return 1;
  const double age = static_cast<double>(std::max<Ns>(now - n.listing.start, 0));
  return std::min(1.0, s.d.coldFrom + (1 - s.d.coldFrom) * age / static_cast<double>(s.d.coldFor));
}

// Guards against pushing over a cold node, also when many come back at once or many marshals see it at once:
// what a warm node completes for each marshal, summed over all, is what it bears. Sends to it are saved up at
// that pace from a start drawn by chance, so that a quiet marshal's part of a send is one send now and then.
// A trial is held to its pace, warm or cold, as marshals whose own tries crowd nothing do so together.
bool Guard::room(Node &n, double mostPace, Ns now) {
  const double warm = warmth(n, now);
  const double multiple = warm < 1 ? std::min(mostPace, kColdBudget * s.d.fallMultiple) : mostPace;
  if (multiple == kAnyPace) return true;
  const double pace = multiple * warm * s.warmRate / 1e9; // sends a ns
  const double most = std::max(pace * static_cast<double>(s.d.fallSpan) * kColdSaved, 1.0);
  n.saved = std::min(n.saved + pace * static_cast<double>(now - n.savedAt), most);
  n.savedAt = now;
  return n.saved >= 1;
}

// Own load: tries out here and what the node last reported, dearer where tries take longer than elsewhere,
// fail or cross zones. A node that is silent while it holds tries counts as failing.
double Guard::load(const Node &n, Ns now) const {
  const double age = static_cast<double>(now - n.latencyAt) / static_cast<double>(kForget);
  const double slow = s.latency > 0 ? std::max(n.latency / s.latency - kSlowFrom, 0.0) * std::exp2(-age) : 0;
  const bool fresh = n.reportedAt > 0 && now - n.reportedAt < kReportLife;
  const double far = n.listing.zone == s.d.zone ? 1 : 1 + kCrossWeight * s.d.crossZonePrice;
  const double queue = 1 + n.inflight + (fresh ? n.reported : 0);
  return queue * (1 + slow) * far * (1 + kFailWeight * n.failShare) / warmth(n, now);
}

// Guards against nodes that hang or lose their answers, before any try has timed out. Could harm where one
// heavy req is all that a node holds: it is then only chosen less.
bool Guard::silent(const Node &n, Ns now) const {
  return n.inflight > 0 && static_cast<double>(now - n.quietSince) > kSilence * s.latency;
}

// Deduped reqs that may have run stay in their group; keys go to no earlier build where there is no return.
bool Guard::mayTake(const Req &rq, const Node &n) const {
  const auto &route = routeOf(rq);
  if (route.repeat == Repeat::deduped && route.group != Group::all)
    for (const auto &t : rq.tries) // all that may have run went to one group
      if (t.mayHaveRun && (route.group == Group::zone ? n.listing.zone != t.zone : n.listing.cell != t.cell))
        return false;
  if (!s.d.rollout.noReturn || rq.key == 0) return true;
  if (n.listing.build == kUnknownBuild) return false; // it might be an earlier one
  const auto it = s.keyBuild.find(rq.key);
  return it == s.keyBuild.end() || n.listing.build >= it->second;
}

// A node that rests, is silent, or has a try out since its rest and has not answered yet.
bool Guard::doubtful(const Node &n, Ns now) const {
  return n.restUntil > now || n.doubtedUntil > now || silent(n, now) || (n.rests > 0 && n.inflight > 0);
}

// Guards against slow or lossy ways between zones, as many marshals' few tries at each node can't show them.
// Could harm where the own zone is the busier one: its times then rise, and the others are taken again.
bool Guard::farAway() const { return s.nearTime > 0 && s.farTime > kFarAway * s.nearTime; }

// Two random choices by own load, among the nodes neither in doubt nor far away, if a quarter is left: fewer
// would be flooded. Nodes tried before for this req come last.
Node *Guard::twoChoices(std::vector<Node *> &from, const Req &rq, double mostPace, Ns now) {
  std::erase_if(from, [&](Node *n) {
    return n->provenAt < s.provenSince || !mayTake(rq, *n) || !room(*n, mostPace, now);
  });
  const auto leaveOut = [&](const auto &which) {
    if (4 * std::count_if(from.begin(), from.end(), which) <= 3 * std::ssize(from))
      std::erase_if(from, which);
  };
  leaveOut([&](Node *n) { return doubtful(*n, now); });
  if (farAway() && uniform() > kFarStill) leaveOut([&](Node *n) { return n->listing.zone != s.d.zone; });
  const auto tried = [&](Node *n) {
    return std::any_of(rq.tries.begin(), rq.tries.end(), [&](const Try &t) { return t.node == n; });
  };
  if (!rq.tries.empty() && !std::all_of(from.begin(), from.end(), tried)) std::erase_if(from, tried);
  if (from.empty()) return nullptr;
  if (from.size() == 1) return from[0];
  // By weight, where weights are told: a node is passed over by what it has less than the largest.
  const auto draw = [&](std::size_t beside) {
    std::uniform_int_distribution<std::size_t> some(0, from.size() - (beside < from.size() ? 2 : 1));
    for (int n = 0;; ++n) {
      const auto at = some(s.chance), i = at < beside ? at : at + 1;
      const double weight = from[i]->listing.weight;
      if (n == kDraws || weight >= 1 || uniform() < weight) return i;
    }
  };
  const auto i = draw(from.size()), j = draw(i);
  return load(*from[j], now) < load(*from[i], now) ? from[j] : from[i];
}

// The trial gets a req while the exposure lasts; others go to the newest other build that has half the nodes.
Node *Guard::choose(const Req &rq, Ns now) {
  std::vector<Node *> trial, main;
  int newest = 0;
  for (auto *n : s.ready) {
    if (!onTrial(n->listing.build))
      main.push_back(n), newest = std::max(newest, n->listing.build);
    else if (trialOpen(rq, n->listing.build))
      trial.push_back(n);
  }
  const auto otherTier = [&](Node *n) { return n->listing.tier != rq.tier; };
  for (auto *part : {&main, &trial})
    if (!std::all_of(part->begin(), part->end(), otherTier)) std::erase_if(*part, otherTier);
  const auto older = [&](Node *n) { return n->listing.build < newest; };
  if (2 * std::count_if(main.begin(), main.end(), older) <= std::ssize(main)) std::erase_if(main, older);
  Node *m = twoChoices(main, rq, kAnyPace, now);
  // Guards against an overload of the earlier nodes beside a trial that stands idle within its cap: once
  // tries take long, the trial's nodes are places like any other.
  const bool full = s.lateness > kShedFrom;
  Node *t = twoChoices(trial, rq, m != nullptr && !full ? kTrialPace : kAnyPace, now);
  if (m == nullptr || t == nullptr) return m != nullptr ? m : t;
  if (!rq.tries.empty()) return m; // a further try is no place for an experiment
  // Guards the judging: past the others' crowding, late answers would speak of our traffic, not of the build,
  // and some outcomes of the earlier build must be left to compare with. On the way back the cap is only for
  // what the returning nodes can't bear yet.
  const bool trying = s.news.phase == Phase::trial;
  if (trying && s.trialSeen > kMostPart * s.earlierSeen) return m;
  if (trying && full) return load(*t, now) <= load(*m, now) ? t : m;
  const double crowd = trying ? kTrialCrowd : kBackCrowd;
  return (t->inflight + 1) / warmth(*t, now) <= crowd * crowding(now) ? t : m;
}

// Tries out at the mean warm node, and the one to come: of all builds while there is room, so that a late
// stage meets its load, and of those not on trial on a busy fleet.
double Guard::crowding(Ns now) const {
  double tries = 0, nodes = 0;
  for (const auto *n : s.ready) {
    if (s.lateness > kRoom && onTrial(n->listing.build)) continue;
    tries += n->inflight;
    nodes += warmth(*n, now);
  }
  return tries / std::max(nodes, 1.0) + 1;
}

// Guards against spells in which this marshal itself stood still: no node was silent, we were deaf.
void Guard::awake(Ns now) {
  const Ns gap = now - s.seenAt;
  s.seenAt = now;
  if (gap <= kDeaf) return;
  s.deafUntil = now; // outcomes of tries sent before say nothing
  for (auto &n : s.nodes) n.quietSince += gap;
  out.lines.push_back(line("stood still for %lld ms", static_cast<long long>(gap / kMs)));
}

Step Guard::where(Req &rq, Ns now) {
  awake(now);
  if (rq.ended || rq.streaming || rq.out > 0) return {};
  if (!rq.counted) {
    rq.counted = true;
    ++s.taken;
    bookCredit(rq);
    if (rq.tenant < s.tenantLead.size()) ++s.tenantLead[rq.tenant];
    const auto objective = static_cast<double>(routeOf(rq).objective) / 1e9;
    s.objective = s.objective > 0 ? s.objective + kLearn / 4 * (objective - s.objective) : objective;
    s.resendCredit = std::min(s.resendCredit + kResendShare, kResendBurst);
  }
  if (rq.deadline - now <= 2 * s.d.tick || (rq.tries.empty() && uniform() < shedShare(rq)))
    return giveUp(rq, now);
  if (auto *n = choose(rq, now)) return dispatch(rq, *n, now);
  const double held = static_cast<double>(now - rq.taken) / static_cast<double>(routeOf(rq).objective);
  return held >= kHoldShare ? giveUp(rq, now) : Step{Step::hold};
}

Step Guard::after(Req &rq, int tryNo, Outcome outcome, Ns took, bool settled, Ns now) {
  awake(now);
  auto &t = rq.tries[static_cast<std::size_t>(tryNo)];
  if (!t.out) return {};
  t.out = false;
  t.mayHaveRun = !neverRan(outcome);
  --rq.out, --t.node->inflight, --s.inflight;
  t.node->quietSince = now;
  const bool lost = outcome == Outcome::unreachable || outcome == Outcome::reset;
  s.lost += kLearn / 4 * ((lost ? 1 : 0) - s.lost);
  if (s.lost >= kLost) s.lostUntil = now + kLostFor;
  s.finished += outcome == Outcome::completed || outcome == Outcome::errored; // others bear no work away
  if (t.sent >= s.deafUntil) {
    if (t.sent >= t.node->listing.start) health(*t.node, outcome, took, now); // else: of its former life
    learnTypical(routeOf(rq), outcome, took);
    judge(rq, t, outcome, took, now);
  }
  const bool ok = outcome == Outcome::completed;
  if (ok && s.d.rollout.noReturn && rq.key != 0) s.keyBuild[rq.key] = t.build;
  s.borne += ok && warmth(*t.node, now) >= 1;
  if (settled) rq.ended = true;
  if (rq.ended || rq.out > 0) return {};
  if (!mayResend(rq, now)) return giveUp(rq, now);
  auto *n = choose(rq, now);
  if (n == nullptr) return giveUp(rq, now);
  s.resendCredit -= 1;
  return dispatch(rq, *n, now);
}

Ns Guard::wait(const Req &rq, Ns) const { return rq.out > 0 ? 0 : kHoldLook; }

Ns Guard::wait(Ns) const { return kBeat; }

Step Guard::dispatch(Req &rq, Node &n, Ns now) {
  const auto &route = routeOf(rq);
  const auto &l = n.listing;
  Try t{.node = &n, .sent = now, .build = l.build, .zone = l.zone, .cell = l.cell, .trial = onTrial(l.build)};
  if (t.trial) creditFor(rq) -= 1;
  t.crowded = t.trial && (n.inflight + 1) / warmth(n, now) > kFairCrowd * crowding(now);
  // The last word is ours before the client's time is up, the tick's coarseness allowed for.
  t.timeout = rq.deadline - now - 2 * s.d.tick;
  const bool another = route.repeat != Repeat::nonRetriable && s.resendCredit >= 1 &&
                       static_cast<int>(rq.tries.size()) + 1 < s.d.mostTries;
  const bool suspect = n.rests > 0 || ((n.strikes > 0 || silent(n, now)) && s.shed <= 0);
  if (another && suspect)
    t.timeout = std::min(t.timeout, static_cast<Ns>(kDoubt * static_cast<double>(route.objective)));
  rq.tries.push_back(t);
  ++rq.out;
  if (n.inflight++ == 0) n.quietSince = now;
  ++s.inflight;
  n.saved = std::max(n.saved - 1, 0.0);
  return {Step::send, &n, t.timeout};
}

bool Guard::mayResend(const Req &rq, Ns now) const {
  const auto &route = routeOf(rq);
  if (static_cast<int>(rq.tries.size()) >= s.d.mostTries || s.resendCredit < 1) return false;
  if (rq.streaming || rq.deadline - now <= 4 * s.d.tick) return false;
  const auto ran = std::find_if(rq.tries.begin(), rq.tries.end(), [](const Try &t) { return t.mayHaveRun; });
  if (ran == rq.tries.end()) return true;
  if (s.shed > 0) return false; // no work is done twice while some is turned away
  if (route.repeat == Repeat::retriable) return true;
  return route.repeat == Repeat::deduped && now + s.d.tick <= ran->sent + route.dedupeWindow;
}

// A shed reply says that trying again is harmless.
bool Guard::mayShed(const Req &rq) const {
  const auto &route = routeOf(rq);
  if (route.repeat == Repeat::retriable) return true;
  if (route.repeat == Repeat::deduped && route.group == Group::all) return true;
  return std::none_of(rq.tries.begin(), rq.tries.end(), [](const Try &t) { return t.mayHaveRun; });
}

Step Guard::giveUp(Req &rq, Ns) {
  rq.ended = true;
  if (!mayShed(rq)) return {Step::fail};
  const auto pause = s.d.retryAfter ? std::min<Ns>(s.d.maxRetryAfter, static_cast<Ns>(2 * s.latency)) : 0;
  return {Step::shed, nullptr, 0, pause};
}

// The share of a route's reqs to shed: the share that the fleet can't bear, low importance first.
double Guard::shedShare(const Req &rq) const {
  double most = 0;
  for (const auto &r : s.d.routes) most = std::max(most, r.importance);
  const auto t = rq.tenant;
  const bool over = t < s.tenantLead.size() && s.tenantLead[t] > s.d.tenantRps[t] * kLead;
  const double worth = routeOf(rq).importance / most * (over ? s.d.overShareWorth : 1);
  const double repeat = rq.clientRepeat ? kShedRepeat : 1; // likely to be late already
  return std::pow(s.shed, repeat * (kShedLow + (kShedHigh - kShedLow) * worth));
}

// The median of what outcomes use up of their objectives.
void Guard::learnTypical(const Route &route, Outcome outcome, Ns took) {
  if (outcome != Outcome::completed && outcome != Outcome::timedOut) return;
  const bool lost = outcome == Outcome::timedOut;
  const double part = lost ? kLatest : static_cast<double>(took) / static_cast<double>(route.objective);
  s.typical = std::clamp(s.typical + (part > s.typical ? kMedianStep : -kMedianStep), 0.0, kLatest);
}

// Guards against overload of any cause: by Little's law, tries out over reqs completed a second are the time
// of tries by now, before the late ones come in. If the typical outcome is slow too (shedding cures no few
// lost tries), what is shed follows it. Could come late where traffic is thin.
void Guard::learnShed(Ns now) {
  const double beat = static_cast<double>(now - s.shedAt) / static_cast<double>(kSec);
  if (beat <= 0) return;
  s.shedAt = now;
  const double weight = std::min(1.0, beat / kFlowMemory);
  int live = 0, lost = 0;
  for (const auto *n : s.ready) (doubtful(*n, now) ? lost : live) += n->inflight;
  s.meanOut += weight * ((live > 0 ? live : lost) - s.meanOut);
  s.flow += weight * (s.finished / beat - s.flow);
  s.finished = 0;
  for (std::size_t i = 0; i < s.tenantLead.size(); ++i)
    s.tenantLead[i] = std::max(s.tenantLead[i] - s.d.tenantRps[i] * beat, 0.0);
  const double time = s.meanOut / std::max(s.flow, 1.0);
  s.lateness = s.objective > 0 ? std::min({time / s.objective, kTypical * s.typical, kLatest}) : 0;
  const double excess = s.lateness - kShedFrom;
  s.shedBase = std::clamp(s.shedBase + kShedGain * excess * beat, 0.0, kBaseMost);
  s.shed = std::clamp(s.shedBase + kShedNow * excess, 0.0, kShedMost);
  if (s.shedding ? s.shed > 0 : s.shed < kShedSay) return;
  s.shedding = !s.shedding;
  out.lines.push_back(line("%s: tries take %.2f of their objectives, %d out",
                           s.shedding ? "sheds by importance" : "sheds no more", s.lateness, s.inflight));
}

void Guard::health(Node &n, Outcome outcome, Ns took, Ns now) {
  if (outcome == Outcome::cancelled || outcome == Outcome::notSent) return;
  const bool failed = hardFailure(outcome);
  if (outcome == Outcome::completed || outcome == Outcome::timedOut) {
    const double used = static_cast<double>(outcome == Outcome::timedOut ? 2 * took : took);
    n.latency = n.latency > 0 ? n.latency + kLearn * (used - n.latency) : used;
    n.latencyAt = now;
    s.latency = s.latency > 0 ? s.latency + kLearn / 4 * (used - s.latency) : used;
  }
  auto &way = n.listing.zone == s.d.zone ? s.nearTime : s.farTime;
  const auto time = static_cast<double>(took); // the lower quartile: slow nodes and builds leave it alone
  if (outcome == Outcome::completed)
    way = way <= 0 ? time : way * (time < way ? 1 - 3 * kQuartileStep : 1 + kQuartileStep);
  if (outcome == Outcome::completed) n.provenAt = now - took; // it was no departing one when that came in
  if (outcome == Outcome::turnedAway) n.provenAt = 0;
  n.failShare += kLearn * ((failed ? 1 : 0) - n.failShare);
  n.strikes = failed || outcome == Outcome::turnedAway ? n.strikes + 1 : 0;
  if (n.strikes == 0 && n.failShare < kFailRest / 2) n.rests = 0;
  if (n.restUntil > now || (n.strikes < kStrikes && n.failShare < kFailRest)) return;
  const bool apart = n.failShare >= kFailApart * betterFailShare() + kFailMargin;
  if (!apart && outcome != Outcome::turnedAway) return; // one that turns away is full, or drains unlisted
  // Guards against nodes that hang, fail or are out of reach, a whole zone of them too. The rest ends by
  // itself and one try at a time tells. Could harm where all nodes fail in turn: the better quarter must not.
  n.restUntil = now + std::min(kRest << std::min(n.rests, 10), kMostRest);
  out.lines.push_back(line("node rests %lld ms: %d strikes, fail share %.2f",
                           static_cast<long long>((n.restUntil - now) / kMs), n.strikes, n.failShare));
  ++n.rests;
  n.strikes = kStrikes - 1;
  n.failShare = kFailRest / 2;
}

// The share of failures below which a quarter of the nodes stay: what trouble common to all looks like.
double Guard::betterFailShare() const {
  std::vector<double> shares;
  for (const auto *n : s.ready) shares.push_back(n->failShare);
  if (shares.empty()) return 0;
  const auto quarter = shares.begin() + static_cast<std::ptrdiff_t>(shares.size() / 4);
  std::nth_element(shares.begin(), quarter, shares.end());
  return *quarter;
}

// Which outcomes are evidence: those that say something of the software. A build that was released before
// this life began has no earlier one to be measured against: it is the measure.
void Guard::judge(const Req &rq, const Try &t, Outcome outcome, Ns took, Ns now) {
  if (!s.haveNews || t.build > s.news.build) return;
  if (outcome == Outcome::completed) answered(t.build, 1, 0);
  const auto objective = routeOf(rq).objective;
  if (outcome == Outcome::timedOut && 2 * took < objective * kDoubt) return; // the client left it no time
  if (outcome != Outcome::completed && (!hardFailure(outcome) || outcome == Outcome::unreachable)) return;
  const bool silence = outcome == Outcome::timedOut || outcome == Outcome::reset;
  if (silence && t.node->strikes > kStrikes) return; // it answers nothing: its own trouble
  // Only errors speak of a crowded node (faults that need load, not lateness of our own making), of a cold
  // one, which is slow, not faulty, where ways between zones are long, and while places are being lost, whose
  // load falls on all others.
  const Ns start = t.node->listing.start;
  const bool young = start != 0 && now - start < std::min(kYoung, s.d.coldFor);
  const bool soft = !t.crowded && !young && now >= s.lostUntil && (t.zone == s.d.zone || !farAway());
  const bool late = outcome == Outcome::timedOut || (outcome == Outcome::completed && took > objective);
  if (!soft && silence) return;
  const bool hard = outcome == Outcome::errored || outcome == Outcome::reset;
  count(t.build, rq.route, hard ? 1 : 0, late && soft ? 1 : 0, 1, soft, t.node->mark, now);
}

// Outcomes count for the whole trial and for their route, so that one failing route does not drown. Late
// answers come in bursts, not independently, so each weighs less than an error.
// Guards against trouble that hits both builds alike and against a p0 from few outcomes: what the earlier
// build's outcomes of the same moments move beyond the mean at p0 is taken off, by the trial's part of them;
// so the sum over marshals keeps the design's mean. Lateness is excused up to p0: a build may slow old and
// new.
void Guard::count(int build, int route, double hard, double late, double seen, bool soft, std::uint16_t mark,
                  Ns now) {
  const bool earlier = build < s.news.build || !s.tried;
  const bool open = s.news.stage >= s.d.rollout.guardedStages ||
                    s.d.routes[static_cast<std::size_t>(route)].repeat == Repeat::retriable;
  if (earlier && !soft) return;
  const double kept = std::exp(-static_cast<double>(now - s.judgedAt) / static_cast<double>(kMatch));
  s.judgedAt = now;
  s.trialSeen = s.trialSeen * kept + (earlier || !soft ? 0 : seen);
  s.earlierSeen = s.earlierSeen * kept + (earlier && open ? seen : 0);
  const double matched = open ? std::min(s.trialSeen / std::max(s.earlierSeen, 1.0), kMostPart) : 0;
  for (const std::size_t channel : {std::size_t{0}, static_cast<std::size_t>(route) + 1}) {
    auto &c = s.channels[channel];
    if (!earlier && hard + late > 0) c.worst = mark;
    const double most = std::min(kEarlierMost, kRise * c.before + kMore);
    const double share = std::min(c.earlierFailed / std::max(c.earlierSeen, 1.0), most);
    const double p0 = c.earlierSeen < kEarlierEnough
                          ? kEarlierFirst
                          : std::clamp(std::max(share, c.hard), kEarlierLeast, kEarlierMost);
    const double p1 = 2 * p0 + 0.02;
    const double bad = std::log(p1 / p0), good = std::log((1 - p1) / (1 - p0));
    if (earlier) {
      c.earlierSeen = c.earlierSeen * std::max(1 - seen / kEarlierMemory, 0.0) + seen;
      c.earlierFailed = c.earlierFailed * std::max(1 - seen / kEarlierMemory, 0.0) + hard + late;
      const double newest = std::min(1.0, seen / std::min(c.earlierSeen, std::max(kRecent, s.earlierSeen)));
      c.hard += newest * (hard / seen - c.hard);
      c.late += newest * (late / seen - c.late);
    }
    const double blamed = earlier && c.late > p0 ? late * p0 / c.late : late;
    const double mean = kLateWeight * p0 * bad + (1 - p0) * good;
    const double ratio = soft ? (hard + kLateWeight * blamed) * bad + (seen - hard - blamed) * good
                              : (hard - c.hard) * (bad - good); // errors alone, beyond the earlier build's
    move(channel, earlier ? matched * (seen * mean - ratio) : ratio, earlier ? 0 : seen);
  }
}

// Where marshals may not speak to each other, the platform's counts stand in for the others' reports.
void Guard::tallied(int build, int route, std::uint32_t bad, std::uint32_t all, Ns, Ns now) {
  const bool known = s.haveNews && build <= s.news.build && route < static_cast<int>(s.d.routes.size());
  if (!s.d.peers && known && bad <= all && all > 0) count(build, route, bad, 0, all, true, 0, now);
}

// Flags by clients are the only trace of wrong answers. They come late and rarely, so they are counted for
// each answer: at the earlier build's rate, against that rate with some wrong ones more.
void Guard::answered(int build, double answers, double flags) {
  if (s.d.rollout.foundShare <= 0 || !s.haveNews || build > s.news.build) return;
  auto &c = s.channels.back();
  if (build < s.news.build || !s.tried) {
    c.earlierSeen = c.earlierSeen * (1 - answers / kFlagMemory) + answers;
    c.earlierFailed = c.earlierFailed * (1 - answers / kFlagMemory) + flags;
    return;
  }
  const double f0 = std::clamp((c.earlierFailed + kFlagPrior * kFlagsFirst) / (c.earlierSeen + kFlagPrior),
                               kFlagsLeast, kFlagsMost);
  const double f1 = f0 + kWrongShare * s.d.rollout.foundShare;
  move(s.channels.size() - 1, flags * std::log(f1 / f0) - answers * (f1 - f0), answers + flags);
}

void Guard::move(std::size_t channel, double by, double outcomes) {
  if (!s.tried || s.news.phase == Phase::goingBack || s.news.phase == Phase::withdrawn) return;
  auto &c = s.channels[channel];
  c.ratio += by;
  c.unreported += outcomes;
  if (std::abs(c.ratio) >= kStep) report(channel);
}

// As many hear the reports as can send the build back.
int Guard::fusers() const {
  const int most = std::max({s.d.rollout.noesNeeded, s.d.rollout.stoppers, kLeastFusers});
  return s.d.peers ? std::min(most, s.d.marshals) : s.d.marshals;
}

// And half as many more than are needed may vote on: so the doubt of half of the fusers stops a stage, while
// the others vote on what they see themselves, and as many may be down.
int Guard::voters() const {
  return std::min(std::max(s.d.rollout.votesToGo + fusers() / 2, fusers()), s.d.marshals);
}

// Guards against lost, repeated and late notes and restarted fusers: a note states the totals of this life.
void Guard::report(std::size_t channel) {
  auto &c = s.channels[channel];
  c.total += c.ratio;
  c.outcomes += c.unreported;
  const auto bytes = pack({static_cast<std::uint32_t>(channel), static_cast<std::uint32_t>(s.news.build),
                           s.life, c.worst, c.total, c.outcomes});
  for (int to = 0; s.d.peers && to < fusers(); ++to)
    if (to != s.d.me) out.notes.push_back({to, bytes});
  if (s.d.me < fusers()) fuse(channel, c.ratio, c.unreported, c.worst);
  c.ratio = c.unreported = 0, c.worst = 0;
}

// Guards against steps that pile up unsent at many marshals, most of them small good news. What is left over
// goes out each second: as it is to few fusers; to many, a small move goes as the least that pays, at the
// chance that makes the mean right, and the count restarts.
void Guard::leftOver(std::size_t channel) {
  auto &ratio = s.channels[channel].ratio;
  if (const double least = leastMove(); std::abs(ratio) < least)
    ratio = uniform() * least < std::abs(ratio) ? std::copysign(least, ratio) : 0;
  if (ratio != 0) report(channel);
}

double Guard::leastMove() const { return kLeastMove * std::max(1 - 1.0 * kLeastFusers / fusers(), 0.0); }

void Guard::note(int from, const std::uint8_t *bytes, std::size_t n, Ns now) {
  if (from < 0 || from >= s.d.marshals || from == s.d.me || !s.haveNews) return;
  if (const auto stance = unpackStance(bytes, n); stance && from < fusers())
    s.stances[static_cast<std::size_t>(from)] = {*stance, now};
  const auto said = unpack(bytes, n);
  if (!said || s.d.me >= fusers()) return;
  if (said->channel >= s.channels.size() || said->build != static_cast<std::uint32_t>(s.news.build)) return;
  auto &heard = s.channels[said->channel].heard[static_cast<std::size_t>(from)];
  if (said->life != heard.life) heard = {said->channel, said->build, said->life, 0, 0, 0};
  if (said->outcomes < heard.outcomes) return; // overtaken by a later one; a repeat adds nothing
  fuse(said->channel, said->total - heard.total, said->outcomes - heard.outcomes, said->worst);
  heard = *said;
}

// What the rounding of all marshals' left-over moves adds in a flush is no news: kRounding deviations.
double Guard::threshold() const {
  const double rounding = kRounding * leastMove() * std::sqrt(s.d.marshals);
  return kThreshold + rounding + std::log(std::max(s.stageOutcomes, 1.0));
}

void Guard::fuse(std::size_t channel, double moved, double outcomes, std::uint16_t mark) {
  auto &c = s.channels[channel];
  const double was = std::max(c.y, 0.0);
  c.y = was + moved;
  for (auto &[_, part] : c.parts) part *= was > 0 ? std::clamp(c.y / was, 0.0, 1.0) : 0;
  if (moved > 0 && mark != 0 && (c.parts.size() < kParts || c.parts.contains(mark))) c.parts[mark] += moved;
  if (channel == 0) s.stageOutcomes += outcomes;
  if (s.against || level(c) < threshold()) return;
  s.against = true;
  out.lines.push_back(line("build %d is judged bad by channel %d: y %.1f of %.1f, %.0f outcomes this stage",
                           s.news.build, static_cast<int>(channel), c.y, threshold(), s.stageOutcomes));
}

// Guards a good build against the sick among the machines that run it: what the worst quarter of them adds is
// taken to be what the others add. Could harm where a build hurts few machines alone: they rest one by one.
double Guard::level(const Channel &c) const {
  double runs = 0, grown = 0; // those that come with a stage are counted once they can have shown something
  for (const auto *n : s.ready)
    if (n->listing.build == s.news.build) ++runs, grown += s.seenAt - n->listing.start >= kYoung;
  if (runs < kApartFrom) return c.y;
  const double of = grown < kApartFrom ? runs : grown, sick = std::max(std::floor(kSick * of), 1.0);
  std::vector<double> parts;
  for (const auto &[_, part] : c.parts) parts.push_back(part);
  std::ranges::sort(parts);
  double rest = c.y;
  for (double i = 0; i < sick && !parts.empty(); ++i) rest -= parts.back(), parts.pop_back();
  return std::min(c.y, rest <= 0 ? rest : rest / (1 - sick / of));
}

// The channel nearest to the threshold speaks for the build.
double Guard::highest() const {
  double most = level(s.channels[0]);
  for (const auto &c : s.channels) most = std::max(most, level(c));
  return most;
}

// Guards against votes by marshals that know nothing, or a verdict that waits for fusers that are down: where
// most that are heard would send the build back, or on, anybody may. Who hears none goes by what it sees.
Verdict Guard::verdict(Ns now) const {
  const auto own = ownVerdict(now);
  const bool over = s.news.phase == Phase::goingBack || s.news.phase == Phase::withdrawn;
  if (!s.haveNews || over || own == Verdict::back || !s.d.peers) return own;
  int heard = 0, on = 0, back = 0;
  for (const auto &[said, at] : s.stances) {
    if (at == 0 || now - at >= kStanceLife || said.build != s.news.build) continue;
    ++heard, back += said.verdict == Verdict::back;
    on += said.verdict == Verdict::on && said.stage == s.news.stage;
  }
  if (heard > 1 && 2 * back > heard) return Verdict::back;
  const bool unseen = own == Verdict::withdraw && highest() <= kHoldLevel * threshold();
  if (heard == 0 || (s.d.me < fusers() && !unseen)) return own;
  return 2 * on > heard ? Verdict::on : Verdict::withdraw;
}

void Guard::say(Ns now) {
  if (!s.d.peers || s.d.me >= fusers() || !s.haveNews) return;
  const Vote own{ownVerdict(now), s.news.build, s.news.stage};
  if (own == s.said && (own.verdict == Verdict::withdraw || now < s.sayAt)) return;
  s.said = own, s.sayAt = now + kSay;
  if (s.d.marshals > 1) out.notes.push_back({-1, packStance(own)});
}

Verdict Guard::ownVerdict(Ns now) const {
  const auto phase = s.news.phase;
  if (!s.haveNews || phase == Phase::goingBack || phase == Phase::withdrawn) return Verdict::withdraw;
  if (s.against) return Verdict::back;
  if (phase == Phase::released) return Verdict::withdraw;
  // Guards a stage that all but stands against one second of noise: what was said is kept until more speaks.
  const bool stands = s.said == Vote{Verdict::on, s.news.build, s.news.stage};
  const bool doubt = highest() > (stands ? kKeepLevel : kHoldLevel) * threshold();
  if (s.d.rollout.control == Control::clock) return doubt ? Verdict::hold : Verdict::withdraw;
  Ns newest = -1;
  for (const auto *n : s.ready)
    if (n->listing.build == s.news.build) newest = std::max(newest, n->listing.start);
  // Guards against moving on while the list lags: the stage's own machines must be seen, or be overdue.
  if (newest < s.stageAt && now - s.stageAt < kStageOverdue) return Verdict::withdraw;
  return !doubt && newest >= 0 && now - newest >= kOnAfter ? Verdict::on : Verdict::withdraw;
}

// All come to a verdict in the same moment, and the platform takes so many votes a second. Guards against
// votes that are turned away together: by their numbers, those beyond a first few go when those before have
// gone. Marshals that are no voters come last, for voters that are down; as a rule the stage has moved by
// then. Could harm where the news reaches many of the first late: they then vote among the others.
Ns Guard::turn() const {
  const double allowed = std::max(s.d.rollout.voteAllowance, 0.1);
  const double before = s.d.me + 1 - kAtOnce * allowed, spare = s.d.me < voters() ? 0 : voters();
  return static_cast<Ns>(std::max(before + spare, 0.0) / (kAllowed * allowed) * 1e9);
}

void Guard::castVote(Ns now) {
  if (s.voteOut || now < s.voteRetry) return;
  const Vote want{verdict(now), s.news.build, s.news.stage};
  if (want != s.wanted) s.wanted = want, s.wantedAt = now;
  if (want.verdict != Verdict::withdraw && now < s.wantedAt + turn()) return;
  // A vote on an earlier stage is void, so it is not taken back: that would cost the next ones their room.
  const bool standing = s.voted.verdict != Verdict::withdraw && s.voted.build == want.build &&
                        (s.voted.stage == want.stage || s.voted.verdict == Verdict::back);
  const bool same = want.verdict == s.voted.verdict && want.build == s.voted.build &&
                    (want.stage == s.voted.stage || want.verdict == Verdict::back);
  if (want.verdict == Verdict::withdraw && (!standing || s.news.phase != Phase::trial)) return;
  if (same && now < s.voteNext) return;
  if (!same)
    out.lines.push_back(line("votes %s on build %d stage %d: y %.1f of %.1f, %.0f outcomes",
                             word(want.verdict), want.build, want.stage, highest(), threshold(),
                             s.stageOutcomes));
  out.votes.push_back(want);
  s.voted = want;
  s.voteOut = true;
  const int voting = want.verdict == Verdict::back ? fusers() : voters();
  const auto fair = static_cast<Ns>(1e9 * voting / std::max(s.d.rollout.voteAllowance, 0.1));
  const Ns stands = s.d.rollout.voteStands; // half of the allowance, if votes don't lapse meanwhile
  s.voteNext = now + std::max({std::min(kRenew, stands / 2), std::min(2 * fair, stands / 10 * 9), fair});
}

// A vote that was not taken is sent again soon; one with no answer may count, and is sent again just as soon.
void Guard::voteAnswered(Reply reply, Ns now) {
  s.voteOut = false;
  if (reply == Reply::ok) return;
  s.voteNext = now;
  s.voteRetry = now + static_cast<Ns>((reply == Reply::timedOut ? 0.1 : 0.5 + uniform()) * 1e9);
}

void Guard::news(const News &news, Ns now) {
  const bool newer = !s.haveNews || news.build != s.news.build;
  const bool changed = newer || news.stage != s.news.stage || news.phase != s.news.phase;
  if (newer) {
    for (auto &c : s.channels) {
      c.ratio = c.unreported = c.y = c.total = c.outcomes = c.worst = 0;
      c.before = c.earlierSeen < kEarlierEnough ? 1 : c.earlierFailed / c.earlierSeen; // 1: not known
      c.heard.assign(static_cast<std::size_t>(s.d.marshals), {}), c.parts.clear();
    }
    s.stageOutcomes = s.trialSeen = 0;
    s.against = false;
  } else if (news.stage != s.news.stage) {
    s.stageOutcomes = 0;
  }
  s.tried = news.phase != Phase::released || (!newer && s.tried);
  if (news.phase == Phase::goingBack || news.phase == Phase::withdrawn) // its keys may return
    std::erase_if(s.keyBuild, [&](const auto &key) { return key.second >= news.build; });
  const bool known = std::exchange(s.haveNews, true);
  s.news = news;
  if (changed) s.stageAt = now - news.age;
  if (!changed || !known) return;
  out.lines.push_back(
      line("build %d %s, stage %d, cap %.3f", news.build, word(news.phase), news.stage, news.cap));
}

// A flag speaks of the build that the node ran when the answer was sent.
void Guard::flagged(Node &n, int, Ns sentAgo, Ns now) {
  if (now - sentAgo >= n.listing.start) answered(n.listing.build, 0, 1);
}

void Guard::listed(Node &n, const Listing &listing, Ns now) {
  // The same id with another build or start is another node to us.
  if (listing.build != n.listing.build || listing.start != n.listing.start) {
    n.latency = n.failShare = n.reported = 0;
    n.restUntil = n.strikes = n.rests = n.provenAt = 0;
    n.saved = uniform(), n.savedAt = now;
  }
  n.listing = listing;
  n.named = listing.mode == Mode::ready;
  n.inWhole = true;
}

void Guard::listComplete(bool whole) {
  s.ready.clear();
  for (auto &n : s.nodes) {
    if (whole && !n.inWhole) n.named = false;
    n.inWhole = false;
    if (n.named) s.ready.push_back(&n);
  }
}

void Guard::loadReport(Node &n, const std::vector<float> &values, Ns now) {
  for (std::size_t i = 0; i < std::min(values.size(), s.d.loadFields.size()); ++i) {
    if (!std::isfinite(values[i])) return;
    if (s.d.loadFields[i] != LoadField::waiting && s.d.loadFields[i] != LoadField::active) continue;
    n.reported = std::max(0.0, static_cast<double>(values[i]));
    n.reportedAt = now;
    if (s.d.loadFields[i] == LoadField::waiting) return; // says more than what is held
  }
}

// What a warm node completes for this marshal; sends say nothing in a storm of further tries. Sum and time
// decay alike, so a quiet marshal's rate is right on the mean from its first second on. Where the earlier
// nodes all stay, they are the places: a trial is to meet what one bears without it.
void Guard::learnRate(Ns now) {
  const Ns span = now - s.rateAt;
  if (span < kSec / 2) return;
  const auto warm = std::count_if(s.ready.begin(), s.ready.end(), [&](Node *n) {
    return warmth(*n, now) >= 1 && !(s.d.rollout.earlierStay && onTrial(n->listing.build));
  });
  if (warm > 0) {
    s.warmDone += s.borne / static_cast<double>(warm) - kLearn * s.warmDone;
    s.warmTime += static_cast<double>(span) / 1e9 - kLearn * s.warmTime;
    s.warmRate = s.warmDone / s.warmTime;
  }
  // Guards a new life that meets cold nodes alone: until a warm one has completed something for it, it goes
  // by half of what it takes itself, spread over all.
  if (s.warmDone <= 0 && !s.ready.empty())
    s.warmRate = kUnknown * s.taken * 1e9 / static_cast<double>(span) / static_cast<double>(s.ready.size());
  s.borne = s.taken = 0, s.rateAt = now;
}

// Guards against trouble of the whole fleet long after a release, with nothing left to compare with: a build
// that has stood the full traffic for a while is the measure of the next. One that turns bad later is missed.
void Guard::settle(Ns now) {
  if (!s.tried || s.news.phase != Phase::released || now - s.stageAt < kSettled) return;
  s.tried = s.against || highest() > kHoldLevel * threshold();
}

Due Guard::due(Ns now) {
  awake(now);
  settle(now);
  learnRate(now);
  learnShed(now);
  for (std::size_t i = 0; now >= s.flushAt && i < s.channels.size(); ++i) leftOver(i);
  if (now >= s.flushAt) s.flushAt = now + kFlush;
  say(now);
  castVote(now);
  return std::exchange(out, {});
}

} // namespace myrtlehead
