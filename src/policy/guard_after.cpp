// What follows an outcome: retries, giving up, health, and how much is shed.
#include "policy/guard_values.h"

namespace myrtlehead {

RoutingDecision Guard::after(Request &rq, int tryNo, Outcome outcome, Nanoseconds took, bool settled,
                             Nanoseconds now) {
  awake(now);
  auto &t = rq.tries[static_cast<std::size_t>(tryNo)];
  if (!t.out) return {};
  t.out = false;
  t.mayHaveExecuted = !neverExecuted(outcome);
  --rq.out, --t.node->inflight, --s.inflight;
  t.node->quietSince = now;
  // An answer that breaks off is no lost place while the endpoint goes on answering others.
  const bool lost = outcome == Outcome::unreachable || (outcome == Outcome::reset && t.node->strikes > 0);
  s.lost += kLearn / 4 * ((lost ? 1 : 0) - s.lost);
  if (s.lost >= kLost) s.lostUntil = now + kLostFor;
  s.finished += outcome == Outcome::succeeded || outcome == Outcome::failed; // others bear no work away
  if (t.sent >= s.deafUntil) {
    if (t.sent >= t.node->info.startedAt) health(*t.node, outcome, took, now); // else: of its former life
    learnTypical(routeOf(rq), outcome, took);
    judge(rq, t, outcome, took, now);
  }
  const bool ok = outcome == Outcome::succeeded;
  if (ok && s.d.rollout.stickyKeys && rq.key != 0) s.keyBuild[rq.key] = t.build;
  s.borne += ok && warmth(*t.node, now) >= 1;
  if (settled) rq.ended = true;
  if (rq.ended || rq.out > 0) return {};
  auto *n = mayResend(rq, now) ? choose(rq, now) : nullptr;
  if (n == nullptr) return giveUp(rq, now);
  s.resendCredit -= 1;
  return dispatch(rq, *n, now);
}

Nanoseconds Guard::wait(const Request &rq, Nanoseconds) const { return rq.out > 0 ? 0 : kHoldLook; }

Nanoseconds Guard::wait(Nanoseconds) const { return kBeat; }

RoutingDecision Guard::dispatch(Request &rq, Endpoint &n, Nanoseconds now) {
  const auto &route = routeOf(rq);
  const auto &l = n.info;
  Attempt t{
      .node = &n, .sent = now, .build = l.build, .zone = l.zone, .cell = l.cell, .trial = onTrial(l.build)};
  if (t.trial) creditFor(rq) -= 1;
  t.crowded = t.trial && (n.inflight + 1) / warmth(n, now) > kFairCrowd * crowding(now);
  // The last word is ours before the client's time is up, the tick's coarseness allowed for.
  t.timeout = rq.deadline - now - 2 * s.d.tickInterval;
  const bool another = route.idempotency != Idempotency::notIdempotent && s.resendCredit >= 1 &&
                       static_cast<int>(rq.tries.size()) + 1 < s.d.maxAttempts;
  const bool suspect = n.rests > 0 || ((n.strikes > 0 || silent(n, now)) && s.shed <= 0);
  if (another && suspect)
    t.timeout = std::min(t.timeout,
                         static_cast<Nanoseconds>(kDoubt * static_cast<double>(route.latencyObjective)));
  rq.tries.push_back(t);
  ++rq.out;
  if (n.inflight++ == 0) n.quietSince = now;
  ++s.inflight;
  n.saved = std::max(n.saved - 1, 0.0);
  return {RoutingDecision::forward, &n, t.timeout, 0, sendBy(rq)};
}

bool Guard::mayResend(const Request &rq, Nanoseconds now) const {
  if (static_cast<int>(rq.tries.size()) >= s.d.maxAttempts || s.resendCredit < 1) return false;
  if (rq.streaming || rq.deadline - now <= 4 * s.d.tickInterval) return false;
  // While some is turned away, no work is done twice.
  return now + s.d.tickInterval <= sendBy(rq) &&
         (s.shed <= 0 || std::ranges::none_of(rq.tries, &Attempt::mayHaveExecuted));
}

// What may have run is repeated freely, or within the window that the first such attempt has opened, or
// never.
Nanoseconds Guard::sendBy(const Request &rq) const {
  const auto &route = routeOf(rq);
  const auto ran = std::ranges::find_if(rq.tries,
                                        [](const Attempt &t) { return !t.out && t.mayHaveExecuted; });
  if (ran == rq.tries.end() || route.idempotency == Idempotency::idempotent) return kNoDeadline;
  return route.idempotency == Idempotency::idempotentWithKey ? ran->sent + route.idempotencyWindow : 0;
}

// A shed reply says that trying again is harmless.
bool Guard::mayShed(const Request &rq) const {
  const auto &r = routeOf(rq);
  if (r.idempotency == Idempotency::idempotent ||
      (r.idempotency == Idempotency::idempotentWithKey && r.idempotencyScope == IdempotencyScope::anywhere))
    return true;
  return std::ranges::none_of(rq.tries, &Attempt::mayHaveExecuted);
}

RoutingDecision Guard::giveUp(Request &rq, Nanoseconds) {
  rq.ended = true;
  if (!mayShed(rq)) return {RoutingDecision::fail};
  const auto pause = s.d.sendsRetryAfter
                         ? std::min<Nanoseconds>(s.d.maxRetryAfter, static_cast<Nanoseconds>(2 * s.latency))
                         : 0;
  return {RoutingDecision::shed, nullptr, 0, pause};
}

// The share of a route's requests to shed: the share that the fleet can't bear, low importance first.
double Guard::shedShare(const Request &rq) const {
  double most = 0;
  for (const auto &r : s.d.routes) most = std::max(most, r.priorityWeight);
  const auto t = rq.tenant;
  const bool over = t < s.tenantLead.size() && s.tenantLead[t] > s.d.tenantQuotas[t] * kLead;
  const double worth = routeOf(rq).priorityWeight / most * (over ? s.d.overQuotaWeight : 1);
  const double repeat = rq.clientRepeat ? kShedRepeat : 1; // likely to be late already
  return std::pow(s.shed, repeat * (kShedLow + (kShedHigh - kShedLow) * worth));
}

// The median of what outcomes use up of their objectives.
void Guard::learnTypical(const Route &route, Outcome outcome, Nanoseconds took) {
  if (outcome != Outcome::succeeded && outcome != Outcome::timedOut) return;
  const bool lost = outcome == Outcome::timedOut;
  const double part = lost ? kLatest
                           : static_cast<double>(took) / static_cast<double>(route.latencyObjective);
  s.typical = std::clamp(s.typical + (part > s.typical ? kMedianStep : -kMedianStep), 0.0, kLatest);
}

// Guards against overload of any cause: by Little's law, attempts out over requests completed a second are
// the time of attempts by now, before the late ones come in. If the typical outcome is slow too (shedding
// cures no few lost attempts), what is shed follows it. Could come late where traffic is thin.
void Guard::learnShed(Nanoseconds now) {
  const double beat = static_cast<double>(now - s.shedAt) / static_cast<double>(kSecond);
  if (beat <= 0) return;
  s.shedAt = now;
  const double weight = std::min(1.0, beat / kFlowMemory);
  int live = 0, lost = 0;
  for (const auto *n : s.ready) (doubtful(*n, now) ? lost : live) += n->inflight;
  s.meanOut += weight * ((live > 0 ? live : lost) - s.meanOut);
  s.flow += weight * (s.finished / beat - s.flow);
  s.finished = 0;
  for (std::size_t i = 0; i < s.tenantLead.size(); ++i)
    s.tenantLead[i] = std::max(s.tenantLead[i] - s.d.tenantQuotas[i] * beat, 0.0);
  const double time = s.meanOut / std::max(s.flow, 1.0);
  s.lateness = s.latencyObjective > 0 ? std::min({time / s.latencyObjective, kTypical * s.typical, kLatest})
                                      : 0;
  const double excess = s.lateness - kShedFrom;
  s.shedBase = std::clamp(s.shedBase + (excess > 0 ? kShedGain : kShedEase) * excess * beat, 0.0, kBaseMost);
  s.shed = std::clamp(s.shedBase + kShedNow * excess, 0.0, kShedMost);
  if (s.shedding ? s.shed > 0 : s.shed < kShedSay) return;
  s.shedding = !s.shedding;
  out.lines.push_back(line("%s: tries take %.2f of their objectives, %d out",
                           s.shedding ? "sheds by importance" : "sheds no more", s.lateness, s.inflight));
}

void Guard::health(Endpoint &n, Outcome outcome, Nanoseconds took, Nanoseconds now) {
  if (outcome == Outcome::cancelled || outcome == Outcome::notSent) return;
  const bool failed = hardFailure(outcome);
  if (outcome == Outcome::succeeded || outcome == Outcome::timedOut) {
    const double used = static_cast<double>(outcome == Outcome::timedOut ? 2 * took : took);
    n.latency = n.latency > 0 ? n.latency + kLearn * (used - n.latency) : used;
    n.latencyAt = now;
    s.latency = s.latency > 0 ? s.latency + kLearn / 4 * (used - s.latency) : used;
  }
  auto &way = n.info.zone == s.d.zone ? s.nearTime : s.farTime;
  const auto time = static_cast<double>(took); // the lower quartile: slow endpoints and builds leave it alone
  if (outcome == Outcome::succeeded)
    way = way <= 0 ? time : way * (time < way ? 1 - 3 * kQuartileStep : 1 + kQuartileStep);
  if (outcome == Outcome::succeeded) n.provenAt = now - took; // it was no departing one when that came in
  if (outcome == Outcome::rejected) n.provenAt = 0;
  n.failShare += kLearn * ((failed ? 1 : 0) - n.failShare);
  n.strikes = failed || outcome == Outcome::rejected ? n.strikes + 1 : 0;
  if (n.strikes == 0 && n.failShare < kFailRest / 2) n.rests = 0;
  if (n.restUntil > now || (n.strikes < kStrikes && n.failShare < kFailRest)) return;
  const bool apart = n.failShare >= kFailApart * betterFailShare() + kFailMargin;
  if (!apart && outcome != Outcome::rejected) return; // one that turns away is full, or drains unlisted
  // Guards against endpoints that hang, fail or are out of reach, a whole zone of them too. The rest ends by
  // itself and one try at a time tells. Could harm where all endpoints fail in turn: the better quarter must
  // not.
  n.restUntil = now + std::min(kRest << std::min(n.rests, 10), kMostRest);
  out.lines.push_back(line("node rests %lld ms: %d strikes, fail share %.2f",
                           static_cast<long long>((n.restUntil - now) / kMillisecond), n.strikes,
                           n.failShare));
  ++n.rests;
  n.strikes = kStrikes - 1;
  n.failShare = kFailRest / 2;
}

// The share of failures below which a quarter of the endpoints stay: what trouble common to all looks like.
double Guard::betterFailShare() const {
  std::vector<double> shares;
  for (const auto *n : s.ready) shares.push_back(n->failShare);
  if (shares.empty()) return 0;
  const auto quarter = shares.begin() + std::ssize(shares) / 4;
  std::ranges::nth_element(shares, quarter);
  return *quarter;
}

} // namespace myrtlehead
