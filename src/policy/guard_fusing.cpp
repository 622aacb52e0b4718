// The mechanism, at the fusers: CUSUM, stances, votes.
#include "policy/guard_values.h"

namespace myrtlehead {

// As many hear the reports as can send the build back.
int Guard::fusers() const {
  const int most = std::max({s.d.rollout.votesToRollBack, s.d.rollout.votesToHold, kLeastFusers});
  return s.d.hasPeers ? std::min(most, s.d.instanceCount) : s.d.instanceCount;
}

// And half as many more than are needed may vote on: so the doubt of half of the fusers stops a stage, while
// the others vote on what they see themselves, and as many may be down.
int Guard::voters() const {
  return std::min(std::max(s.d.rollout.votesToPromote + fusers() / 2, fusers()), s.d.instanceCount);
}

void Guard::note(int from, const std::uint8_t *bytes, std::size_t n, Nanoseconds now) {
  if (from < 0 || from >= s.d.instanceCount || from == s.d.ownIndex || !s.haveNews) return;
  if (const auto stance = unpackStance(bytes, n); stance && from < fusers())
    s.stances[static_cast<std::size_t>(from)] = {*stance, now};
  const auto said = unpack(bytes, n);
  if (!said || s.d.ownIndex >= fusers()) return;
  if (said->channel >= s.channels.size() || said->build != static_cast<std::uint32_t>(s.news.build)) return;
  auto &heard = s.channels[said->channel].heard[static_cast<std::size_t>(from)];
  if (said->life != heard.life) heard = {said->channel, said->build, said->life, 0, 0, 0};
  if (said->outcomes < heard.outcomes) return; // overtaken by a later one; a repeat adds nothing
  fuse(said->channel, said->total - heard.total, said->outcomes - heard.outcomes, said->worst);
  heard = *said;
}

// What the rounding of all instances' left-over moves adds in a flush is no news: kRounding deviations.
double Guard::threshold() const {
  const double rounding = kRounding * leastMove() * std::sqrt(s.d.instanceCount);
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
    if (n->info.build == s.news.build) ++runs, grown += s.seenAt - n->info.startedAt >= kYoung;
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

// Guards against votes by instances that know nothing, or a verdict that waits for fusers that are down:
// where most that are heard would send the build back, or on, anybody may. Who hears none goes by what it
// sees.
Verdict Guard::verdict(Nanoseconds now) const {
  const auto own = ownVerdict(now);
  const bool over = s.news.phase == RolloutPhase::rollingBack || s.news.phase == RolloutPhase::withdrawn;
  if (!s.haveNews || over || own == Verdict::rollBack || !s.d.hasPeers) return own;
  int heard = 0, on = 0, back = 0;
  for (const auto &[said, at] : s.stances) {
    if (at == 0 || now - at >= kStanceLife || said.build != s.news.build) continue;
    ++heard, back += said.verdict == Verdict::rollBack;
    on += said.verdict == Verdict::promote && said.stage == s.news.stage;
  }
  if (heard > 1 && 2 * back > heard) return Verdict::rollBack;
  const bool unseen = own == Verdict::abstain && highest() <= kHoldLevel * threshold();
  if (heard == 0 || (s.d.ownIndex < fusers() && !unseen)) return own;
  return 2 * on > heard ? Verdict::promote : Verdict::abstain;
}

void Guard::say(Nanoseconds now) {
  if (!s.d.hasPeers || s.d.ownIndex >= fusers() || !s.haveNews) return;
  const Vote own{ownVerdict(now), s.news.build, s.news.stage};
  if (own == s.said && (own.verdict == Verdict::abstain || now < s.sayAt)) return;
  s.said = own, s.sayAt = now + kSay;
  if (s.d.instanceCount > 1) out.notes.push_back({-1, packStance(own)});
}

Verdict Guard::ownVerdict(Nanoseconds now) const {
  const auto phase = s.news.phase;
  if (!s.haveNews || phase == RolloutPhase::rollingBack || phase == RolloutPhase::withdrawn)
    return Verdict::abstain;
  if (s.against) return Verdict::rollBack;
  if (phase == RolloutPhase::released) return Verdict::abstain;
  // Guards a stage that all but stands against one second of noise: what was said is kept until more speaks.
  const bool stands = s.said == Vote{Verdict::promote, s.news.build, s.news.stage};
  const bool doubt = highest() > (stands ? kKeepLevel : kHoldLevel) * threshold();
  if (s.d.rollout.control == RolloutControl::timer) return doubt ? Verdict::hold : Verdict::abstain;
  Nanoseconds newest = -1;
  for (const auto *n : s.ready)
    if (n->info.build == s.news.build) newest = std::max(newest, n->info.startedAt);
  // Guards against moving on while the list lags: the stage's own machines must be seen, or be overdue.
  if (newest < s.stageAt && now - s.stageAt < kStageOverdue) return Verdict::abstain;
  return !doubt && newest >= 0 && now - newest >= kOnAfter ? Verdict::promote : Verdict::abstain;
}

// All come to a verdict in the same moment, and the platform takes so many votes a second. Guards against
// votes that are turned away together: by their numbers, those beyond a first few go when those before have
// gone. Instances that are no voters come last, for voters that are down; as a rule the stage has moved by
// then. Could harm where the news reaches many of the first late: they then vote among the others.
Nanoseconds Guard::turn() const {
  const double allowed = std::max(s.d.rollout.votesPerSecond, 0.1);
  const double before = s.d.ownIndex + 1 - kAtOnce * allowed, spare = s.d.ownIndex < voters() ? 0 : voters();
  return static_cast<Nanoseconds>(std::max(before + spare, 0.0) / (kAllowed * allowed) * 1e9);
}

void Guard::castVote(Nanoseconds now) {
  if (s.voteOut || now < s.voteRetry) return;
  const Vote want{verdict(now), s.news.build, s.news.stage};
  if (want != s.wanted) s.wanted = want, s.wantedAt = now;
  if (want.verdict != Verdict::abstain && now < s.wantedAt + turn()) return;
  // A vote on an earlier stage is void, so it is not taken back: that would cost the next ones their room.
  const bool standing = s.voted.verdict != Verdict::abstain && s.voted.build == want.build &&
                        (s.voted.stage == want.stage || s.voted.verdict == Verdict::rollBack);
  const bool same = want.verdict == s.voted.verdict && want.build == s.voted.build &&
                    (want.stage == s.voted.stage || want.verdict == Verdict::rollBack);
  if (want.verdict == Verdict::abstain && (!standing || s.news.phase != RolloutPhase::evaluating)) return;
  if (same && now < s.voteNext) return;
  if (!same)
    out.lines.push_back(line("votes %s on build %d stage %d: y %.1f of %.1f, %.0f outcomes",
                             word(want.verdict), want.build, want.stage, highest(), threshold(),
                             s.stageOutcomes));
  out.votes.push_back(want);
  s.voted = want;
  s.voteOut = true;
  const int voting = want.verdict == Verdict::rollBack ? fusers() : voters();
  const auto fair = static_cast<Nanoseconds>(1e9 * voting / std::max(s.d.rollout.votesPerSecond, 0.1));
  const Nanoseconds stands = s.d.rollout
                                 .voteLifetime; // half of the allowance, if votes don't lapse meanwhile
  s.voteNext = now + std::max({std::min(kRenew, stands / 2), std::min(2 * fair, stands / 10 * 9), fair});
}

// A vote that was not taken is sent again soon; one with no answer may count, and is sent again just as soon.
void Guard::voteAnswered(VoteReply reply, Nanoseconds now) {
  s.voteOut = false;
  if (reply == VoteReply::accepted) return;
  s.voteNext = now;
  s.voteRetry = now + static_cast<Nanoseconds>((reply == VoteReply::timedOut ? 0.1 : 0.5 + uniform()) * 1e9);
}

} // namespace myrtlehead
