// What the module is told, and what falls due.
#include "policy/guard_values.h"

namespace myrtlehead {

Guard::Guard(Deployment deployment, std::uint64_t seed, Nanoseconds now) {
  s.d = std::move(deployment);
  s.chance.seed(static_cast<std::knuth_b::result_type>(seed ^ seed >> 32));
  // What the last life of this instance sent to a trial is unknown, so no free try is assumed left.
  s.credit.assign(s.d.rollout.capPerRoute ? std::max<std::size_t>(s.d.routes.size(), 1) : 1, 0.0);
  s.channels.resize(s.d.routes.size() + 2);
  s.tenantLead.resize(s.d.tenantQuotas.size());
  for (auto &rps : s.d.tenantQuotas) rps /= s.d.instanceCount; // as if each had a like part of the traffic
  s.stances.resize(static_cast<std::size_t>(s.d.instanceCount));
  for (auto &c : s.channels) c.heard.resize(static_cast<std::size_t>(s.d.instanceCount));
  s.life = 1 + s.chance() % 0xffff;
  s.resendCredit = kResendBurst, s.lostUntil = now + kLostFor; // it may have been started amid trouble
  s.rateAt = s.shedAt = s.seenAt = now;
}

void Guard::news(const RolloutState &news, Nanoseconds now) {
  const bool newer = !s.haveNews || news.build != s.news.build;
  const bool changed = newer || news.stage != s.news.stage || news.phase != s.news.phase;
  if (newer) {
    for (auto &c : s.channels) {
      c.ratio = c.unreported = c.y = c.total = c.outcomes = c.worst = 0;
      c.before = c.earlierSeen < kEarlierEnough ? 1 : c.earlierFailed / c.earlierSeen; // 1: not known
      c.heard.assign(static_cast<std::size_t>(s.d.instanceCount), {}), c.parts.clear();
    }
    s.stageOutcomes = s.trialSeen = 0, s.against = false;
  } else if (news.stage != s.news.stage) {
    s.stageOutcomes = 0;
  }
  s.tried = news.phase != RolloutPhase::released || (!newer && s.tried);
  if (news.phase == RolloutPhase::rollingBack || news.phase == RolloutPhase::withdrawn) // its keys may return
    std::erase_if(s.keyBuild, [&](const auto &key) { return key.second >= news.build; });
  const bool known = std::exchange(s.haveNews, true);
  s.news = news;
  if (changed) s.stageAt = now - news.age;
  if (!changed || !known) return;
  out.lines.push_back(
      line("build %d %s, stage %d, cap %.3f", news.build, word(news.phase), news.stage, news.cap));
}

// A flag speaks of the build that the endpoint ran when the answer was sent.
void Guard::flagged(Endpoint &n, int, Nanoseconds sentAgo, Nanoseconds now) {
  if (now - sentAgo >= n.info.startedAt) answered(n.info.build, 0, 1);
}

void Guard::listed(Endpoint &n, const EndpointInfo &info, Nanoseconds now) {
  // The same id with another build or start is another endpoint to us.
  if (info.build != n.info.build || info.startedAt != n.info.startedAt) {
    n.latency = n.failShare = n.reported = 0;
    n.restUntil = n.strikes = n.rests = n.provenAt = 0;
    n.saved = uniform(), n.savedAt = now;
  }
  n.info = info;
  n.named = info.state == EndpointState::ready;
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

void Guard::loadReport(Endpoint &n, const std::vector<float> &values, Nanoseconds now) {
  for (std::size_t i = 0; i < std::min(values.size(), s.d.loadReportFields.size()); ++i) {
    if (!std::isfinite(values[i])) return;
    if (s.d.loadReportFields[i] != LoadReportField::queued &&
        s.d.loadReportFields[i] != LoadReportField::inFlight)
      continue;
    n.reported = std::max(0.0, static_cast<double>(values[i]));
    n.reportedAt = now;
    if (s.d.loadReportFields[i] == LoadReportField::queued) return; // says more than what is held
  }
}

// What a warm endpoint completes for this instance; sends say nothing in a storm of retries. Sum and time
// decay alike, so a quiet instance's rate is right on the mean from its first second on. Where the earlier
// endpoints all stay, they are the places: a trial is to meet what one bears without it.
void Guard::learnRate(Nanoseconds now) {
  const Nanoseconds span = now - s.rateAt;
  if (span < kSecond / 2) return;
  const auto warm = std::ranges::count_if(s.ready, [&](Endpoint *n) {
    return warmth(*n, now) >= 1 && !(s.d.rollout.baselineStays && onTrial(n->info.build));
  });
  if (warm > 0) {
    s.warmDone += s.borne / static_cast<double>(warm) - kLearn * s.warmDone;
    s.warmTime += static_cast<double>(span) / 1e9 - kLearn * s.warmTime;
    s.warmRate = s.warmDone / s.warmTime;
  }
  // Guards a new life that meets cold endpoints alone: until a warm one has completed something for it, it
  // goes by half of what it takes itself, spread over all.
  if (s.warmDone <= 0 && !s.ready.empty())
    s.warmRate = kUnknown * s.taken * 1e9 / static_cast<double>(span) / static_cast<double>(s.ready.size());
  s.borne = s.taken = 0, s.rateAt = now;
}

// Guards against trouble of the whole fleet long after a release, with nothing left to compare with: a build
// that has stood the full traffic for a while is the measure of the next. One that turns bad later is missed.
void Guard::settle(Nanoseconds now) {
  if (!s.tried || s.news.phase != RolloutPhase::released || now - s.stageAt < kSettled) return;
  s.tried = s.against || highest() > kHoldLevel * threshold();
}

DueActions Guard::due(Nanoseconds now) {
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
