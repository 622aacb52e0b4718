// THE decision module. The adapter asks where() for each req (and again when a hold's wait() is over),
// after() for each outcome, and due() after each batch and each wait(); facts come by the other calls. The
// interface stands in guard.h, the state in state.h. Every decision, threshold, table and tuned value is
// here. The mechanism is docs/design.md's: own log-likelihood ratio on trial outcomes, reports to the fusers
// when it has moved a step, the fusers' CUSUM, and their votes.
#include "guard/guard.h"
#include "guard/report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace myrtlehead {

namespace {

// The mechanism's values, as the design page starts them.
constexpr double kStep = 1.5;      // net move of the ratio that is reported
constexpr Ns kFlush = kSec;        // so often what is left over is reported
constexpr double kThreshold = 8;   // to which the log of the stage's outcomes is added
constexpr double kHoldLevel = 0.5; // share of the threshold above which no vote goes on
constexpr int kLeastFusers = 3;
constexpr Ns kYoung = 5 * kSec;         // outcomes this soon after a node's start are no evidence
constexpr Ns kOnAfter = 3 * kSec;       // of quiet since the newest start, before a vote on
constexpr Ns kStageOverdue = 12 * kSec; // after a stage began, for its first machine to be listed
constexpr Ns kRenew = 4 * kSec;
constexpr double kLateWeight = 0.6; // of a late answer or a time-out against an error
constexpr double kEarlierFirst = 0.02, kEarlierLeast = 0.01, kEarlierMost = 0.45, kRise = 1.5, kMore = 0.03;
constexpr double kEarlierEnough = 20, kEarlierMemory = 300; // outcomes
constexpr double kFlagsFirst = 0.002, kFlagPrior = 500; // flags for each answer, as if so many had been seen
constexpr double kFlagsLeast = 0.0005, kFlagsMost = 0.05, kFlagMemory = 5000;
constexpr double kWrongShare = 0.05; // of a bad build's answers

// Routing and health.
constexpr Ns kDeaf = 150 * kMs;   // without being asked anything, beats and all
constexpr Ns kBeat = 50 * kMs;    // how often due() looks round
constexpr double kSlowFrom = 1.3; // times the mean latency, before a node counts as slow
constexpr double kSilence = 5;    // times the mean latency, before a node with tries out counts as silent
constexpr double kLearn = 0.1;    // weight of the newest sample in a running mean
constexpr Ns kForget = 5 * kSec, kReportLife = kSec; // a latency is half forgiven, a report void, after this
constexpr double kFailWeight = 10;                   // a node that fails always looks this much more loaded
constexpr double kCrossWeight = 10;                  // per unit of cross-zone price, likewise
constexpr double kBackCrowd = 0.5;                   // the same for a build on its way back
constexpr double kFairCrowd = 1.2;                   // above it, late answers are no evidence
constexpr double kRoom = 0.25;      // part of the objectives used up, below which there is room
constexpr double kTrialCrowd = 1.5; // the trial's nodes may be this many times as crowded as the others
constexpr double kTrialPace = 1.2, kAnyPace = 1e9;   // times what a warm node completes
constexpr int kStrikes = 3;                          // hard failures in a row that put a node out of use
constexpr double kFailApart = 2, kFailMargin = 0.1;  // times the better nodes' share, and this more
constexpr double kFailRest = 0.5;                    // or this share of failures
constexpr Ns kRest = kSec / 2, kMostRest = 8 * kSec; // first spell out of use, doubling
constexpr double kDoubt = 0.5; // share of the objective that a try may take at a node that has just failed
constexpr double kResendShare = 0.2, kResendBurst = 10; // further tries, as a share of reqs taken
constexpr double kHoldShare = 0.5;   // of the objective that a req is held for want of a node
constexpr double kColdBudget = 0.6;  // share of the cold rule's budget that we plan to use
constexpr double kColdSaved = 0.25;  // of a fall span: so much of its budget may be saved up
constexpr double kLatest = 1.5;      // most that the time of tries says, as a part of their objectives
constexpr double kMedianStep = 0.02; // by which an outcome moves the median
constexpr double kTypical = 2.5; // times the median that the mean may be, before it is a few tries' trouble
constexpr double kFlowMemory = 0.5;               // seconds over which tries out and outcomes are averaged
constexpr double kShedFrom = 0.5;                 // part of the objectives used up, above which reqs are shed
constexpr double kShedNow = 0.5, kShedGain = 0.4; // share shed for each unit above: at once, and each second
constexpr double kShedMost = 0.95, kBaseMost = 0.7; // some are let in, to tell when the trouble is over
constexpr double kShedLow = 0.7, kShedHigh = 2; // exponents on the share shed, from no importance to the most
constexpr double kShedRepeat = 0.5, kShedSay = 0.05; // on the exponent, for a repeat; share that is logged
constexpr double kLead = 2; // seconds' worth of its share, by which a tenant may be ahead of it
constexpr Ns kListWait = 3 * kSec, kListRetry = 400 * kMs, kHoldLook = 20 * kMs;

bool hardFailure(Outcome o) {
  return o == Outcome::errored || o == Outcome::timedOut || o == Outcome::reset || o == Outcome::unreachable;
}

bool neverRan(Outcome o) {
  return o == Outcome::turnedAway || o == Outcome::unreachable || o == Outcome::notSent;
}

const char *word(Verdict v) {
  constexpr const char *kWords[] = {"withdraws", "on", "hold", "back"};
  return kWords[static_cast<int>(v)];
}

template <class... A> std::string line(const char *format, A... a) {
  char text[160];
  std::snprintf(text, sizeof text, format, a...);
  return text;
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
  for (auto &c : s.channels) c.heard.resize(static_cast<std::size_t>(s.d.marshals));
  s.life = 1 + s.chance() % 0xffff;
  s.resendCredit = kResendBurst;
  s.rateAt = s.shedAt = s.seenAt = now;
}

const Route &Guard::routeOf(const Req &rq) const {
  return s.d.routes[static_cast<std::size_t>(rq.route)];
}

double Guard::uniform() {
  return std::uniform_real_distribution<double>(0, 1)(s.chance);
}

// ---- Exposure ----

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
  auto &credit = creditFor(rq);
  credit = std::min(credit + cap * (1 - 1e-6), s.d.rollout.free);
}

bool Guard::trialOpen(const Req &rq, int build) const {
  const int stage = s.haveNews && build == s.news.build ? s.news.stage : 0;
  const auto &route = routeOf(rq);
  if (stage < s.d.rollout.guardedStages && route.repeat != Repeat::retriable) return false;
  return capOf(build) > 0 && const_cast<Guard *>(this)->creditFor(rq) >= 1;
}

// ---- Nodes ----

// The least share of its capacity that a node has by now.
double Guard::warmth(const Node &n, Ns now) const {
  if (n.listing.start == 0 || s.d.coldFor <= 0) return 1;
  const double age = static_cast<double>(std::max<Ns>(now - n.listing.start, 0));
  return std::min(1.0, s.d.coldFrom + (1 - s.d.coldFrom) * age / static_cast<double>(s.d.coldFor));
}

// Guards against pushing over a cold node, also when many come back at once or many marshals see it at once:
// what a warm node completes for each marshal, summed over all, is what it bears. Sends to it are saved up at
// that pace from a start drawn by chance, so that a quiet marshal's part of one send is one send now and
// then. A trial is held to its pace, warm or cold: marshals whose own tries crowd nothing do so together.
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
    for (const auto &t : rq.tries) {
      if (!t.mayHaveRun) continue;
      if (n.listing.zone != t.zone && route.group == Group::zone) return false;
      if (n.listing.cell != t.cell && route.group == Group::cell) return false;
      break;
    }
  if (!s.d.rollout.noReturn || rq.key == 0) return true;
  const auto it = s.keyBuild.find(rq.key);
  return it == s.keyBuild.end() || n.listing.build >= it->second;
}

// A node that rests, is silent, or has a try out since its rest and has not answered yet.
bool Guard::doubtful(const Node &n, Ns now) const {
  return n.restUntil > now || silent(n, now) || (n.rests > 0 && n.inflight > 0);
}

// Two random choices by own load, among the nodes not in doubt if a quarter is left: fewer would be flooded.
// Nodes tried before for this req come last.
Node *Guard::twoChoices(std::vector<Node *> &from, const Req &rq, double mostPace, Ns now) {
  std::erase_if(from, [&](Node *n) { return !mayTake(rq, *n) || !room(*n, mostPace, now); });
  const auto doubt = [&](Node *n) { return doubtful(*n, now); };
  const auto doubted = std::count_if(from.begin(), from.end(), doubt);
  if (4 * doubted <= 3 * static_cast<std::ptrdiff_t>(from.size())) std::erase_if(from, doubt);
  const auto tried = [&](Node *n) {
    return std::any_of(rq.tries.begin(), rq.tries.end(), [&](const Try &t) { return t.node == n; });
  };
  if (!rq.tries.empty() && !std::all_of(from.begin(), from.end(), tried)) std::erase_if(from, tried);
  if (from.empty()) return nullptr;
  if (from.size() == 1) return from[0];
  std::uniform_int_distribution<std::size_t> first(0, from.size() - 1), second(0, from.size() - 2);
  const auto i = first(s.chance), j = second(s.chance);
  Node *a = from[i], *b = from[j < i ? j : j + 1];
  return load(*b, now) < load(*a, now) ? b : a;
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
  const auto older = [&](Node *n) { return n->listing.build < newest; };
  if (2 * std::count_if(main.begin(), main.end(), older) <= static_cast<std::ptrdiff_t>(main.size()))
    std::erase_if(main, older);
  Node *m = twoChoices(main, rq, kAnyPace, now);
  Node *t = twoChoices(trial, rq, m != nullptr ? kTrialPace : kAnyPace, now);
  if (m == nullptr || t == nullptr) return m != nullptr ? m : t;
  if (!rq.tries.empty()) return m; // a further try is no place for an experiment
  // Guards the judging: past the others' crowding, late answers would speak of our traffic, not of the build.
  // On the way back the cap is only for what the returning nodes can't bear yet.
  const double crowd = s.news.phase == Phase::trial ? kTrialCrowd : kBackCrowd;
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

// ---- The three questions ----

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
    bookCredit(rq);
    if (rq.tenant < s.tenantLead.size()) ++s.tenantLead[rq.tenant];
    const auto objective = static_cast<double>(routeOf(rq).objective) / 1e9;
    s.objective = s.objective > 0 ? s.objective + kLearn / 4 * (objective - s.objective) : objective;
    s.resendCredit = std::min(s.resendCredit + kResendShare, kResendBurst);
  }
  if (rq.deadline - now <= 2 * s.d.tick || (rq.tries.empty() && uniform() < shedShare(rq)))
    return giveUp(rq, now);
  if (auto *n = choose(rq, now)) return dispatch(rq, *n, now);
  const auto &route = routeOf(rq);
  if (static_cast<double>(now - rq.taken) >= kHoldShare * static_cast<double>(route.objective))
    return giveUp(rq, now);
  return {Step::hold};
}

Step Guard::after(Req &rq, int tryNo, Outcome outcome, Ns took, bool settled, Ns now) {
  awake(now);
  auto &t = rq.tries[static_cast<std::size_t>(tryNo)];
  if (!t.out) return {};
  t.out = false;
  t.mayHaveRun = !neverRan(outcome);
  --rq.out;
  --t.node->inflight;
  t.node->quietSince = now;
  --s.inflight;
  if (outcome == Outcome::completed || outcome == Outcome::errored)
    s.finished += 1; // others bear no work away
  if (t.sent >= s.deafUntil) {
    health(*t.node, outcome, took, now);
    learnTypical(routeOf(rq), outcome, took);
    judge(rq, t, outcome, took, now);
  }
  if (outcome == Outcome::completed && s.d.rollout.noReturn && rq.key != 0) s.keyBuild[rq.key] = t.build;
  if (outcome == Outcome::completed && warmth(*t.node, now) >= 1) s.borne += 1;
  if (settled) rq.ended = true;
  if (rq.ended || rq.out > 0) return {};
  if (!mayResend(rq, now)) return giveUp(rq, now);
  auto *n = choose(rq, now);
  if (n == nullptr) return giveUp(rq, now);
  s.resendCredit -= 1;
  return dispatch(rq, *n, now);
}

Ns Guard::wait(const Req &rq, Ns) const {
  return rq.out > 0 ? 0 : kHoldLook;
}

Ns Guard::wait(Ns) const {
  return kBeat;
}

Step Guard::dispatch(Req &rq, Node &n, Ns now) {
  const auto &route = routeOf(rq);
  Try t;
  t.node = &n;
  t.sent = now;
  t.build = n.listing.build;
  t.zone = n.listing.zone;
  t.cell = n.listing.cell;
  t.trial = onTrial(t.build);
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

// ---- Further tries and final answers ----

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
  const double used = static_cast<double>(took) / static_cast<double>(route.objective);
  const double part = outcome == Outcome::timedOut ? kLatest : used;
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
    const double time = static_cast<double>(outcome == Outcome::timedOut ? 2 * took : took);
    n.latency = n.latency > 0 ? n.latency + kLearn * (time - n.latency) : time;
    n.latencyAt = now;
    s.latency = s.latency > 0 ? s.latency + kLearn / 4 * (time - s.latency) : time;
  }
  n.failShare += kLearn * ((failed ? 1 : 0) - n.failShare);
  n.strikes = failed || outcome == Outcome::turnedAway ? n.strikes + 1 : 0;
  if (n.strikes == 0 && n.failShare < kFailRest / 2) n.rests = 0;
  if (n.restUntil > now || (n.strikes < kStrikes && n.failShare < kFailRest)) return;
  const bool apart = n.failShare >= kFailApart * betterFailShare() + kFailMargin;
  if (!apart && outcome != Outcome::turnedAway) return; // one that turns away is full, or drains unlisted
  // Guards against nodes that hang, fail or are out of reach, whatever the cause, a whole zone of them too.
  // The rest ends by itself and one try at a time tells. Could harm where all nodes fail in turn: the better
  // quarter must not.
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

// ---- The mechanism ----

// Which outcomes are evidence: not those of young nodes, nor those that say nothing of the software. A build
// that was released before this life began has no earlier one to be measured against: it is the measure.
void Guard::judge(const Req &rq, const Try &t, Outcome outcome, Ns took, Ns now) {
  if (!s.haveNews || t.build > s.news.build) return;
  if (outcome == Outcome::completed) answered(t.build, 1, 0);
  const auto objective = routeOf(rq).objective;
  if (outcome == Outcome::timedOut && 2 * took < objective * kDoubt) return; // the client left it no time
  if (outcome != Outcome::completed && (!hardFailure(outcome) || outcome == Outcome::unreachable)) return;
  // Of a crowded node only errors speak: faults that need load, not lateness of our own making.
  if (t.crowded && outcome != Outcome::errored) return;
  const bool silence = outcome == Outcome::timedOut || outcome == Outcome::reset;
  if (silence && t.node->strikes > kStrikes) return; // it answers nothing: its own trouble
  // Cold nodes are slow, not faulty: errors speak at any age, and lateness once the node is warm.
  const bool young = t.node->listing.start != 0 &&
                     now - t.node->listing.start < std::min(kYoung, s.d.coldFor);
  if (young && outcome != Outcome::errored) return;
  const bool failed = outcome != Outcome::completed || took > objective;
  const double weight = outcome == Outcome::errored || outcome == Outcome::reset ? 1 : kLateWeight;
  count(t.build, rq.route, failed ? 1 : 0, 1, weight);
}

// Outcomes count for the whole trial and for their route, so that one failing route does not drown. Late
// answers come in bursts, not independently, so each weighs less than an error.
void Guard::count(int build, int route, double failed, double seen, double weight) {
  for (const std::size_t channel : {std::size_t{0}, static_cast<std::size_t>(route) + 1}) {
    auto &c = s.channels[channel];
    if (build < s.news.build || !s.tried) {
      const double kept = std::max(1 - seen / kEarlierMemory, 0.0);
      c.earlierSeen = c.earlierSeen * kept + seen;
      c.earlierFailed = c.earlierFailed * kept + failed;
      continue;
    }
    const double share = c.earlierFailed / std::max(c.earlierSeen, 1.0);
    const double most = std::min(kEarlierMost, kRise * c.before + kMore);
    const bool known = c.earlierSeen >= kEarlierEnough;
    const double p0 = known ? std::clamp(share, kEarlierLeast, most) : kEarlierFirst;
    const double p1 = 2 * p0 + 0.02; // p0 rises no more: a build may slow old and new alike
    move(channel, failed * weight * std::log(p1 / p0) + (seen - failed) * std::log((1 - p1) / (1 - p0)),
         seen);
  }
}

// Where marshals may not speak to each other, the platform's counts stand in for the others' reports.
void Guard::tallied(int build, int route, std::uint32_t bad, std::uint32_t all, Ns, Ns) {
  if (s.d.peers || !s.haveNews || build > s.news.build || route >= static_cast<int>(s.d.routes.size()))
    return;
  if (bad <= all) count(build, route, bad, all, 1);
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
  if (s.news.phase == Phase::goingBack || s.news.phase == Phase::withdrawn) return;
  auto &c = s.channels[channel];
  c.ratio += by;
  c.unreported += outcomes;
  if (std::abs(c.ratio) >= kStep) report(channel);
}

int Guard::fusers() const {
  const auto &r = s.d.rollout;
  const int most = std::max({r.votesToGo, r.noesNeeded, r.stoppers, kLeastFusers});
  return s.d.peers ? std::min(most, s.d.marshals) : s.d.marshals;
}

// Guards against lost, repeated and late notes and against restarted fusers: a note states the totals of this
// life.
void Guard::report(std::size_t channel) {
  auto &c = s.channels[channel];
  c.total += c.ratio;
  c.outcomes += c.unreported;
  const auto bytes = pack({static_cast<std::uint32_t>(channel), static_cast<std::uint32_t>(s.news.build),
                           s.life, c.total, c.outcomes});
  for (int to = 0; s.d.peers && to < fusers(); ++to)
    if (to != s.d.me) out.notes.push_back({to, bytes});
  if (s.d.me < fusers()) fuse(channel, c.ratio, c.unreported);
  c.ratio = c.unreported = 0;
}

// Guards against steps that pile up unsent at many marshals, most of them the small good news that outweighs
// one failure. What is left over goes out each second: as it is to few fusers; to many, a move too small to
// pay goes as the least one that does, with the chance that makes the mean right, and the count restarts.
void Guard::leftOver(std::size_t channel) {
  auto &ratio = s.channels[channel].ratio;
  const double least = kStep * std::max(1 - static_cast<double>(kLeastFusers) / fusers(), 0.0);
  if (std::abs(ratio) < least) ratio = uniform() * least < std::abs(ratio) ? std::copysign(least, ratio) : 0;
  if (ratio != 0) report(channel);
}

void Guard::note(int from, const std::uint8_t *bytes, std::size_t n, Ns) {
  const auto said = unpack(bytes, n);
  if (!said || from < 0 || from >= s.d.marshals || from == s.d.me || s.d.me >= fusers() || !s.haveNews)
    return;
  if (said->channel >= s.channels.size() || said->build != static_cast<std::uint32_t>(s.news.build)) return;
  auto &heard = s.channels[said->channel].heard[static_cast<std::size_t>(from)];
  if (said->life != heard.life) heard = {said->channel, said->build, said->life, 0, 0};
  if (said->outcomes <= heard.outcomes) return; // repeated, or overtaken by a later one
  fuse(said->channel, said->total - heard.total, said->outcomes - heard.outcomes);
  heard = *said;
}

double Guard::threshold() const {
  return kThreshold + std::log(std::max(s.stageOutcomes, 1.0));
}

void Guard::fuse(std::size_t channel, double moved, double outcomes) {
  auto &c = s.channels[channel];
  c.y = std::max(c.y, 0.0) + moved;
  if (channel == 0) s.stageOutcomes += outcomes;
  if (s.against || c.y < threshold()) return;
  s.against = true;
  out.lines.push_back(line("build %d is judged bad by channel %d: y %.1f of %.1f, %.0f outcomes this stage",
                           s.news.build, static_cast<int>(channel), c.y, threshold(), s.stageOutcomes));
}

// The channel nearest to the threshold speaks for the build.
double Guard::highest() const {
  double y = s.channels.front().y;
  for (const auto &c : s.channels) y = std::max(y, c.y);
  return y;
}

Verdict Guard::verdict(Ns now) const {
  const auto phase = s.news.phase;
  if (!s.haveNews || s.d.me >= fusers() || phase == Phase::goingBack || phase == Phase::withdrawn)
    return Verdict::withdraw;
  if (s.against) return Verdict::back;
  if (phase == Phase::released) return Verdict::withdraw;
  const bool doubt = highest() > kHoldLevel * threshold();
  if (s.d.rollout.control == Control::clock) return doubt ? Verdict::hold : Verdict::withdraw;
  Ns newest = -1;
  for (const auto *n : s.ready)
    if (n->listing.build == s.news.build) newest = std::max(newest, n->listing.start);
  // Guards against moving on while the list lags: the stage's own machines must have been seen, or be
  // overdue.
  if (newest < s.stageAt && now - s.stageAt < kStageOverdue) return Verdict::withdraw;
  return !doubt && newest >= 0 && now - newest >= kOnAfter ? Verdict::on : Verdict::withdraw;
}

void Guard::castVote(Ns now) {
  if (s.voteOut || now < s.voteRetry) return;
  const Vote want{verdict(now), s.news.build, s.news.stage};
  const bool standing = s.voted.verdict != Verdict::withdraw && s.voted.build == want.build;
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
  const Ns fair = static_cast<Ns>(2e9 * fusers() /
                                  std::max(s.d.rollout.voteAllowance, 0.1)); // of the allowance
  s.voteNext = now + std::max(std::min(kRenew, s.d.rollout.voteStands / 2), fair);
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
      c.ratio = c.unreported = c.y = c.total = c.outcomes = 0;
      c.before = c.earlierSeen < kEarlierEnough ? 1 : c.earlierFailed / c.earlierSeen; // 1: not known
      c.heard.assign(static_cast<std::size_t>(s.d.marshals), {});
    }
    s.stageOutcomes = 0;
    s.against = false;
  } else if (news.stage != s.news.stage) {
    s.stageOutcomes = 0;
  }
  s.tried = news.phase != Phase::released || (!newer && s.tried);
  if (news.phase == Phase::goingBack || news.phase == Phase::withdrawn) // its keys may return
    std::erase_if(s.keyBuild, [&](const auto &key) { return key.second >= news.build; });
  s.news = news;
  s.haveNews = true;
  if (changed) s.stageAt = now - news.age;
  constexpr const char *kPhases[] = {"on trial", "going back", "released", "withdrawn"};
  if (changed && 0)
    out.lines.push_back(line("build %d %s, stage %d, cap %.3f", news.build,
                             kPhases[static_cast<int>(news.phase)], news.stage, news.cap));
}

// A flag speaks of the build that the node ran when the answer was sent.
void Guard::flagged(Node &n, int, Ns sentAgo, Ns now) {
  if (now - sentAgo >= n.listing.start) answered(n.listing.build, 0, 1);
}

// ---- Facts ----

Node &Guard::newNode() {
  return s.nodes.emplace_back();
}

void Guard::listed(Node &n, const Listing &listing, Ns now) {
  // The same id with another build or start is another node to us.
  if (listing.build != n.listing.build || listing.start != n.listing.start) {
    n.latency = n.failShare = n.reported = 0;
    n.strikes = n.rests = 0;
    n.restUntil = 0;
    n.saved = uniform();
    n.savedAt = now;
  }
  n.listing = listing;
  n.named = listing.mode == Mode::ready;
  n.inWhole = true;
}

void Guard::listComplete(bool whole, bool saved, Ns) {
  s.ready.clear();
  for (auto &n : s.nodes) {
    if (whole && !n.inWhole) n.named = false;
    n.inWhole = false;
    if (n.named) s.ready.push_back(&n);
  }
  if (!saved) s.listCallOpen = true, s.listCallAt = -1; // answered: the subscription stands
}

// Failures bear no mark of their call, and a new subscription may always be asked for.
void Guard::listFailed(Ns now) {
  s.listCallOpen = false;
  s.listCallAt = now + static_cast<Ns>((0.5 + uniform()) * static_cast<double>(kListRetry));
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

void Guard::streaming(Req &rq, int, Ns) {
  rq.streaming = true;
}

void Guard::gone(Req &rq) {
  rq.ended = true;
}

// What a warm node completes for this marshal; what is sent to it says nothing in a storm of further tries.
// Sum and time decay alike, so that a quiet marshal's rate is right on the mean from its first second on.
// Where the earlier nodes all stay, they are the places: a trial is to meet what one bears without it.
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
  s.borne = 0;
  s.rateAt = now;
}

Due Guard::due(Ns now) {
  awake(now);
  learnRate(now);
  learnShed(now);
  for (std::size_t i = 0; now >= s.flushAt && i < s.channels.size(); ++i) leftOver(i);
  if (now >= s.flushAt) s.flushAt = now + kFlush;
  castVote(now);
  // Asked again after a failure, and where no answer came at all; a call that was answered has no time set.
  if (s.d.listAsked && now >= s.listCallAt && (!s.listCallOpen || s.listCallAt > 0)) {
    out.watchList = s.listCallOpen = true;
    s.listCallAt = now + kListWait;
  }
  return std::exchange(out, {});
}

} // namespace myrtlehead
