// What the module is told, and what falls due.
#include "guard/values.h"

namespace myrtlehead {

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

void Guard::news(const News &news, Ns now) {
  const bool newer = !s.haveNews || news.build != s.news.build;
  const bool changed = newer || news.stage != s.news.stage || news.phase != s.news.phase;
  if (newer) {
    for (auto &c : s.channels) {
      c.ratio = c.unreported = c.y = c.total = c.outcomes = c.worst = 0;
      c.before = c.earlierSeen < kEarlierEnough ? 1 : c.earlierFailed / c.earlierSeen; // 1: not known
      c.heard.assign(static_cast<std::size_t>(s.d.marshals), {}), c.parts.clear();
    }
    s.stageOutcomes = s.trialSeen = 0, s.against = false;
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
  const auto warm = std::ranges::count_if(s.ready, [&](Node *n) {
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
