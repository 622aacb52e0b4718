// The mechanism, at each instance: the log-likelihood ratio of the trial's outcomes, and its reports.
#include "policy/guard_values.h"

namespace myrtlehead {

// Which outcomes are evidence: those that say something of the software. A build that was released before
// this life began has no earlier one to be measured against: it is the measure.
void Guard::judge(const Request &rq, const Attempt &t, Outcome outcome, Nanoseconds took, Nanoseconds now) {
  if (!s.haveNews || t.build > s.news.build) return;
  if (outcome == Outcome::succeeded) answered(t.build, 1, 0);
  const auto latencyObjective = routeOf(rq).latencyObjective;
  if (outcome == Outcome::timedOut && 2 * took < latencyObjective * kDoubt)
    return; // the client left it no time
  if (outcome != Outcome::succeeded && (!hardFailure(outcome) || outcome == Outcome::unreachable)) return;
  const bool silence = outcome == Outcome::timedOut || outcome == Outcome::reset;
  if (silence && t.node->strikes > kStrikes) return; // it answers nothing: its own trouble
  // Only errors speak of a crowded endpoint (faults that need load, not lateness of our own making), of a
  // cold one, which is slow, not faulty, where ways between zones are long, and while places are being lost,
  // whose load falls on all others.
  const Nanoseconds start = t.node->info.startedAt;
  const bool young = start != 0 && now - start < std::min(kYoung, s.d.warmupTime);
  const bool soft = !t.crowded && !young && now >= s.lostUntil && (t.zone == s.d.zone || !farAway());
  const bool late = outcome == Outcome::timedOut ||
                    (outcome == Outcome::succeeded && took > latencyObjective);
  if (!soft && silence) return;
  const bool hard = outcome == Outcome::failed || outcome == Outcome::reset;
  count(t.build, rq.route, hard ? 1 : 0, late && soft ? 1 : 0, 1, soft, t.node->mark, now);
}

// Outcomes count for the whole trial and for their route, so that one failing route does not drown. Late
// answers come in bursts, not independently, so each weighs less than an error. Guards against trouble that
// hits both builds alike and against a p0 from few outcomes: what the earlier build's outcomes of the same
// moments move beyond the mean at p0 is taken off, by the trial's part of them; so the sum over instances
// keeps the design's mean. Lateness is excused up to p0: a build may slow old and new.
void Guard::count(int build, int route, double hard, double late, double seen, bool soft, std::uint16_t mark,
                  Nanoseconds now) {
  const bool earlier = build < s.news.build || !s.tried;
  const bool open = s.news.stage >= s.d.rollout.idempotentOnlyStages ||
                    s.d.routes[static_cast<std::size_t>(route)].idempotency == Idempotency::idempotent;
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

// Where instances may not speak to each other, the platform's counts stand in for the others' reports.
void Guard::tallied(int build, int route, std::uint32_t bad, std::uint32_t all, Nanoseconds,
                    Nanoseconds now) {
  const bool known = s.haveNews && build <= s.news.build && route < static_cast<int>(s.d.routes.size());
  if (!s.d.hasPeers && known && bad <= all && all > 0) count(build, route, bad, 0, all, true, 0, now);
}

// Flags by clients are the only trace of wrong answers. They come late and rarely, so they are counted for
// each answer: at the earlier build's rate, against that rate with some wrong ones more.
void Guard::answered(int build, double answers, double flags) {
  if (s.d.rollout.reportedWrongShare <= 0 || !s.haveNews || build > s.news.build) return;
  auto &c = s.channels.back();
  if (build < s.news.build || !s.tried) {
    c.earlierSeen = c.earlierSeen * (1 - answers / kFlagMemory) + answers;
    c.earlierFailed = c.earlierFailed * (1 - answers / kFlagMemory) + flags;
    return;
  }
  const double f0 = std::clamp((c.earlierFailed + kFlagPrior * kFlagsFirst) / (c.earlierSeen + kFlagPrior),
                               kFlagsLeast, kFlagsMost);
  const double f1 = f0 + kWrongShare * s.d.rollout.reportedWrongShare;
  move(s.channels.size() - 1, flags * std::log(f1 / f0) - answers * (f1 - f0), answers + flags);
}

void Guard::move(std::size_t channel, double by, double outcomes) {
  if (!s.tried || s.news.phase == RolloutPhase::rollingBack || s.news.phase == RolloutPhase::withdrawn)
    return;
  auto &c = s.channels[channel];
  c.ratio += by;
  c.unreported += outcomes;
  if (std::abs(c.ratio) >= kStep) report(channel);
}

// Guards against lost, repeated and late notes and restarted fusers: a note states the totals of this life.
void Guard::report(std::size_t channel) {
  auto &c = s.channels[channel];
  c.total += c.ratio;
  c.outcomes += c.unreported;
  const auto bytes = pack({static_cast<std::uint32_t>(channel), static_cast<std::uint32_t>(s.news.build),
                           s.life, c.worst, c.total, c.outcomes});
  for (int to = 0; s.d.hasPeers && to < fusers(); ++to)
    if (to != s.d.ownIndex) out.notes.push_back({to, bytes});
  if (s.d.ownIndex < fusers()) fuse(channel, c.ratio, c.unreported, c.worst);
  c.ratio = c.unreported = 0, c.worst = 0;
}

// Guards against steps that pile up unsent at many instances, most of them small good news. What is left over
// goes out each second: as it is to few fusers; to many, a small move goes as the least that pays, at the
// chance that makes the mean right, and the count restarts.
void Guard::leftOver(std::size_t channel) {
  auto &ratio = s.channels[channel].ratio;
  if (const double least = leastMove(); std::abs(ratio) < least)
    ratio = uniform() * least < std::abs(ratio) ? std::copysign(least, ratio) : 0;
  if (ratio != 0) report(channel);
}

double Guard::leastMove() const { return kLeastMove * std::max(1 - 1.0 * kLeastFusers / fusers(), 0.0); }

} // namespace myrtlehead
