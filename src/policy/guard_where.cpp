// Where a request goes: exposure, cold endpoints, load, room and doubt.
#include "policy/guard_values.h"

namespace myrtlehead {

// A build that the news does not name yet counts as on trial in the first stage; before any news, so does
// every build but the oldest listed.
bool Guard::onTrial(int build) const {
  if (s.haveNews)
    return build > s.news.build || (build == s.news.build && s.news.phase != RolloutPhase::released);
  return std::ranges::any_of(s.ready, [&](auto *n) { return n->info.build < build; });
}

double Guard::capOf(int build) const {
  if (s.haveNews && build == s.news.build) return s.news.cap;
  return s.d.rollout.stageCaps.empty() ? 0 : s.d.rollout.stageCaps.front();
}

double &Guard::creditFor(const Request &rq) {
  return s.credit[s.d.rollout.capPerRoute ? static_cast<std::size_t>(rq.route) : 0];
}

// The windowed count of the design, held for every window that is yet to end as well: each request taken adds
// the cap, each trial try takes one, and no more than `free` is ever saved up.
void Guard::bookCredit(const Request &rq) {
  const int named = s.haveNews ? s.news.build : 0;
  double cap = onTrial(named) ? capOf(named) : capOf(named + 1);
  for (const auto *n : s.ready)
    if (onTrial(n->info.build)) cap = std::min(cap, capOf(n->info.build));
  creditFor(rq) = std::min(creditFor(rq) + cap * (1 - 1e-6), s.d.rollout.freeAttempts);
}

bool Guard::trialOpen(const Request &rq, int build) const {
  const int stage = s.haveNews && build == s.news.build ? s.news.stage : 0;
  if (stage < s.d.rollout.idempotentOnlyStages && routeOf(rq).idempotency != Idempotency::idempotent)
    return false;
  return capOf(build) > 0 && const_cast<Guard *>(this)->creditFor(rq) >= 1;
}

// The least share of its capacity that an endpoint has by now.
double Guard::warmth(const Endpoint &n, Nanoseconds now) const {
  if (n.info.startedAt == 0 || s.d.warmupTime <= 0) return 1;
  const double age = static_cast<double>(std::max<Nanoseconds>(now - n.info.startedAt, 0));
  return std::min(1.0, s.d.warmupStartFraction +
                           (1 - s.d.warmupStartFraction) * age / static_cast<double>(s.d.warmupTime));
}

// Guards against pushing over a cold endpoint, also when many come back at once or many instances see it at
// once: what a warm endpoint completes for each instance, summed over all, is what it bears. Sends to it are
// saved up at that pace from a start drawn by chance, so that a quiet instance's part of a send is one send
// now and then. A trial is held to its pace, warm or cold, as instances whose own attempts crowd nothing do
// so together.
bool Guard::room(Endpoint &n, double mostPace, Nanoseconds now) {
  const double warm = warmth(n, now);
  const double multiple = warm < 1 ? std::min(mostPace, kColdBudget * s.d.coldBudgetMultiple) : mostPace;
  if (multiple == kAnyPace) return true;
  const double pace = multiple * warm * s.warmRate / 1e9; // sends a ns
  const double most = std::max(pace * static_cast<double>(s.d.coldBudgetWindow) * kColdSaved, 1.0);
  n.saved = std::min(n.saved + pace * static_cast<double>(now - n.savedAt), most);
  n.savedAt = now;
  return n.saved >= 1;
}

// Own load: attempts out here and what the endpoint last reported, dearer where attempts take longer than
// elsewhere, fail or cross zones. An endpoint that is silent while it holds attempts counts as failing.
double Guard::load(const Endpoint &n, Nanoseconds now) const {
  const double age = static_cast<double>(now - n.latencyAt) / static_cast<double>(kForget);
  const double slow = s.latency > 0 ? std::max(n.latency / s.latency - kSlowFrom, 0.0) * std::exp2(-age) : 0;
  const bool fresh = n.reportedAt > 0 && now - n.reportedAt < kReportLife;
  const double far = n.info.zone == s.d.zone ? 1 : 1 + kCrossWeight * s.d.crossZoneCost;
  const double queue = 1 + n.inflight + (fresh ? n.reported : 0);
  return queue * (1 + slow) * far * (1 + kFailWeight * n.failShare) / warmth(n, now);
}

// Guards against endpoints that hang or lose their answers, before any try has timed out. Could harm where
// one heavy request is all that an endpoint holds: it is then only chosen less.
bool Guard::silent(const Endpoint &n, Nanoseconds now) const {
  return n.inflight > 0 && static_cast<double>(now - n.quietSince) > kSilence * s.latency;
}

// Deduped requests that may have run stay in their group; keys go to no earlier build where there is no
// return.
bool Guard::mayTake(const Request &rq, const Endpoint &n) const {
  const auto &route = routeOf(rq);
  if (route.idempotency == Idempotency::idempotentWithKey &&
      route.idempotencyScope != IdempotencyScope::anywhere)
    for (const auto &t : rq.tries) // all that may have run went to one group
      if (t.mayHaveExecuted &&
          (route.idempotencyScope == IdempotencyScope::zone ? n.info.zone != t.zone : n.info.cell != t.cell))
        return false;
  if (!s.d.rollout.stickyKeys || rq.key == 0) return true;
  if (n.info.build == kUnknownBuild) return false; // it might be an earlier one
  const auto it = s.keyBuild.find(rq.key);
  return it == s.keyBuild.end() || n.info.build >= it->second;
}

// An endpoint that rests, is silent, or has an attempt out since its rest and has not answered yet.
bool Guard::doubtful(const Endpoint &n, Nanoseconds now) const {
  return n.restUntil > now || n.doubtedUntil > now || silent(n, now) || (n.rests > 0 && n.inflight > 0);
}

// Guards against slow or lossy ways between zones, as many instances' few attempts at each endpoint can't
// show them. Could harm where the own zone is the busier one: its times then rise, and the others are taken
// again.
bool Guard::farAway() const { return s.nearTime > 0 && s.farTime > kFarAway * s.nearTime; }

// Two random choices by own load, among the endpoints neither in doubt nor far away, if a quarter is left:
// fewer would be flooded. Endpoints tried before for this request come last.
Endpoint *Guard::twoChoices(std::vector<Endpoint *> &from, const Request &rq, double mostPace,
                            Nanoseconds now) {
  std::erase_if(from, [&](Endpoint *n) {
    return n->provenAt < s.provenSince || !mayTake(rq, *n) || !room(*n, mostPace, now);
  });
  const auto leaveOut = [&](const auto &which) {
    if (4 * std::ranges::count_if(from, which) <= 3 * std::ssize(from)) std::erase_if(from, which);
  };
  leaveOut([&](Endpoint *n) { return doubtful(*n, now); });
  if (farAway() && uniform() > kFarStill) leaveOut([&](Endpoint *n) { return n->info.zone != s.d.zone; });
  const auto tried = [&](Endpoint *n) {
    return std::ranges::find(rq.tries, n, &Attempt::node) != rq.tries.end();
  };
  if (!rq.tries.empty() && !std::ranges::all_of(from, tried)) std::erase_if(from, tried);
  if (from.empty()) return nullptr;
  if (from.size() == 1) return from[0];
  // By weight, where weights are told: an endpoint is passed over by what it has less than the largest.
  const auto draw = [&](std::size_t beside) {
    std::uniform_int_distribution<std::size_t> some(0, from.size() - (beside < from.size() ? 2 : 1));
    for (int n = 0;; ++n) {
      const auto at = some(s.chance), i = at < beside ? at : at + 1;
      const double weight = from[i]->info.weight;
      if (n == kDraws || weight >= 1 || uniform() < weight) return i;
    }
  };
  const auto i = draw(from.size()), j = draw(i);
  return load(*from[j], now) < load(*from[i], now) ? from[j] : from[i];
}

// The trial gets a request while the exposure lasts; others go to the newest other build that has half the
// endpoints.
Endpoint *Guard::choose(const Request &rq, Nanoseconds now) {
  std::vector<Endpoint *> trial, main;
  int newest = 0;
  for (auto *n : s.ready) {
    if (!onTrial(n->info.build))
      main.push_back(n), newest = std::max(newest, n->info.build);
    else if (trialOpen(rq, n->info.build))
      trial.push_back(n);
  }
  const auto otherTier = [&](Endpoint *n) { return n->info.priorityGroup != rq.priorityGroup; };
  for (auto *part : {&main, &trial})
    if (!std::ranges::all_of(*part, otherTier)) std::erase_if(*part, otherTier);
  const auto older = [&](Endpoint *n) { return n->info.build < newest; };
  if (2 * std::ranges::count_if(main, older) <= std::ssize(main)) std::erase_if(main, older);
  Endpoint *m = twoChoices(main, rq, kAnyPace, now);
  // Guards against an overload of the earlier endpoints beside a trial that stands idle within its cap: once
  // attempts take long, the trial's endpoints are places like any other.
  const bool full = s.lateness > kShedFrom;
  Endpoint *t = twoChoices(trial, rq, m != nullptr && !full ? kTrialPace : kAnyPace, now);
  if (m == nullptr || t == nullptr) return m != nullptr ? m : t;
  if (!rq.tries.empty()) return m; // a retry is no place for an experiment
  // Guards the judging: past the others' crowding, late answers would speak of our traffic, not of the build,
  // and some outcomes of the earlier build must be left to compare with. On the way back the cap is only for
  // what the returning endpoints can't bear yet.
  const bool trying = s.news.phase == RolloutPhase::evaluating;
  if (trying && s.trialSeen > kMostPart * s.earlierSeen) return m;
  if (trying && full) return load(*t, now) <= load(*m, now) ? t : m;
  const double crowd = trying ? kTrialCrowd : kBackCrowd;
  return (t->inflight + 1) / warmth(*t, now) <= crowd * crowding(now) ? t : m;
}

// Tries out at the mean warm endpoint, and the one to come: of all builds while there is room, so that a late
// stage meets its load, and of those not on trial on a busy fleet.
double Guard::crowding(Nanoseconds now) const {
  double tries = 0, nodes = 0;
  for (const auto *n : s.ready) {
    if (s.lateness > kRoom && onTrial(n->info.build)) continue;
    tries += n->inflight;
    nodes += warmth(*n, now);
  }
  return tries / std::max(nodes, 1.0) + 1;
}

// Guards against spells in which this instance itself stood still: no endpoint was silent, we were deaf.
void Guard::awake(Nanoseconds now) {
  const Nanoseconds gap = now - s.seenAt;
  s.seenAt = now;
  if (gap <= kDeaf) return;
  s.deafUntil = now; // outcomes of attempts sent before say nothing
  for (auto &n : s.nodes) n.quietSince += gap;
  out.lines.push_back(line("stood still for %lld ms", static_cast<long long>(gap / kMillisecond)));
}

RoutingDecision Guard::where(Request &rq, Nanoseconds now) {
  awake(now);
  if (rq.ended || rq.streaming || rq.out > 0) return {};
  if (!rq.counted) {
    rq.counted = true;
    ++s.taken;
    bookCredit(rq);
    if (rq.tenant < s.tenantLead.size()) ++s.tenantLead[rq.tenant];
    const auto latencyObjective = static_cast<double>(routeOf(rq).latencyObjective) / 1e9;
    s.latencyObjective = s.latencyObjective > 0
                             ? s.latencyObjective + kLearn / 4 * (latencyObjective - s.latencyObjective)
                             : latencyObjective;
    s.resendCredit = std::min(s.resendCredit + kResendShare, kResendBurst);
  }
  if (rq.deadline - now <= 2 * s.d.tickInterval || (rq.tries.empty() && uniform() < shedShare(rq)))
    return giveUp(rq, now);
  if (auto *n = choose(rq, now)) return dispatch(rq, *n, now);
  const double held = static_cast<double>(now - rq.taken) / static_cast<double>(routeOf(rq).latencyObjective);
  return held >= kHoldShare ? giveUp(rq, now) : RoutingDecision{RoutingDecision::wait};
}

} // namespace myrtlehead
