#include "policy/rollout_voter.h"

#include "policy/log_text.h"
#include "policy/rollout_roles.h"

#include <algorithm>

namespace myrtlehead {

namespace {

// Shares of the threshold: no vote to promote above the first; one that was announced is taken back above the
// second.
constexpr double kDoubtShare = 0.5;
constexpr double kKeptDoubtShare = 0.8;
constexpr Nanoseconds kQuietBeforePromotion = 3 * kSecond; // since the newest start at the build
constexpr Nanoseconds kStageOverdue = 12 * kSecond; // after a stage began, for its first machine to be listed
constexpr Nanoseconds kEvaluationTimeAfterRelease = 8 * kSecond; // a release
constexpr Nanoseconds kMaxRenewalDelay = 4 * kSecond;
constexpr Nanoseconds kAnnouncementInterval = 2 * kSecond;
constexpr Nanoseconds kPositionLifetime = 5 * kSecond;
constexpr double kUsedVoteRate = 0.97;       // of the votes a second that the platform accepts
constexpr double kVoteBurstSeconds = 1.8;    // of that rate, sent at one time
constexpr double kMinVoteRate = 0.1;         // votes a second
constexpr double kUncertainRetryDelay = 0.1; // seconds, after a vote with no reply
constexpr double kRefusedRetryDelay = 0.5;   // seconds, and up to one more by chance

} // namespace

RolloutVoter::RolloutVoter(const Deployment &deployment, const EndpointSet &endpoints,
                           const RolloutTracker &rollout, const FusionCenter &fusion)
    : deployment_(deployment), endpoints_(endpoints), rollout_(rollout), fusion_(fusion),
      positions_(static_cast<std::size_t>(deployment.instanceCount)) {}

void RolloutVoter::onPosition(int from, const Vote &position, Nanoseconds now) {
  if (from < fusionCenterCount(deployment_)) positions_[static_cast<std::size_t>(from)] = {position, now};
}

void RolloutVoter::announcePosition(Nanoseconds now, DueActions &due) {
  if (!deployment_.hasPeers || !isFusionCenter(deployment_) || !rollout_.isKnown()) return;
  const auto &state = rollout_.state();
  const Vote own{ownVerdict(now), state.build, state.stage};
  if (own == announcedPosition_ && (own.verdict == Verdict::abstain || now < announceAgainAt_)) return;
  announcedPosition_ = own;
  announceAgainAt_ = now + kAnnouncementInterval;
  if (deployment_.instanceCount > 1) due.messages.push_back({-1, encodePosition(own)});
}

bool RolloutVoter::isInDoubt(double shareOfThreshold) const {
  return fusion_.highestCusum() > shareOfThreshold * fusion_.threshold();
}

// When the newest of the build's ready endpoints started; -1: there is none.
Nanoseconds RolloutVoter::newestStart() const {
  Nanoseconds newest = -1;
  for (const auto *endpoint : endpoints_.ready())
    if (endpoint->info.build == rollout_.state().build) newest = std::max(newest, endpoint->info.startedAt);
  return newest;
}

// Guards against moving on while the endpoint list lags: the stage's own machines must be seen, or be
// overdue.
bool RolloutVoter::hasSeenStage(Nanoseconds newestStart, Nanoseconds now) const {
  return newestStart >= rollout_.stageStartedAt() || now - rollout_.stageStartedAt() >= kStageOverdue;
}

// The verdict by the evidence that this instance has fused itself.
Verdict RolloutVoter::ownVerdict(Nanoseconds now) const {
  const auto &state = rollout_.state();
  if (!rollout_.isKnown() || rollout_.isRollingBackOrWithdrawn()) return Verdict::abstain;
  if (fusion_.isJudgedBad()) return Verdict::rollBack;
  if (state.phase == RolloutPhase::released) return Verdict::abstain;
  // Hysteresis: an announced promotion is withdrawn only at the higher threshold, so that one second of noise
  // does not interrupt a stage.
  const bool isAnnounced = announcedPosition_ == Vote{Verdict::promote, state.build, state.stage};
  const bool doubt = isInDoubt(isAnnounced ? kKeptDoubtShare : kDoubtShare);
  if (deployment_.rollout.control == RolloutControl::timer) return doubt ? Verdict::hold : Verdict::abstain;
  const Nanoseconds newest = newestStart();
  if (!hasSeenStage(newest, now)) return Verdict::abstain;
  const bool isQuiet = newest >= 0 && now - newest >= kQuietBeforePromotion;
  return !doubt && isQuiet ? Verdict::promote : Verdict::abstain;
}

// The majority of the recent positions decides where this instance has no evidence of its own, so that no
// verdict waits for fusion centers that are down. Without any position its own verdict holds.
Verdict RolloutVoter::verdict(Nanoseconds now) const {
  const auto own = ownVerdict(now);
  const auto &state = rollout_.state();
  if (!rollout_.isKnown() || rollout_.isRollingBackOrWithdrawn()) return own;
  if (own == Verdict::rollBack || !deployment_.hasPeers) return own;
  int heard = 0;
  int promote = 0;
  int rollBack = 0;
  for (const auto &[position, heardAt] : positions_) {
    if (heardAt == 0 || now - heardAt >= kPositionLifetime || position.build != state.build) continue;
    ++heard;
    rollBack += position.verdict == Verdict::rollBack;
    promote += position.verdict == Verdict::promote && position.stage == state.stage;
  }
  if (heard > 1 && 2 * rollBack > heard) return Verdict::rollBack;
  const bool hasSeenNothing = own == Verdict::abstain && !isInDoubt(kDoubtShare);
  if (heard == 0 || (isFusionCenter(deployment_) && !hasSeenNothing)) return own;
  return 2 * promote > heard ? Verdict::promote : Verdict::abstain;
}

void RolloutVoter::endEvaluationAfterRelease(RolloutTracker &rollout, Nanoseconds now) const {
  if (!rollout.isEvaluated() || rollout.state().phase != RolloutPhase::released) return;
  if (now - rollout.stageStartedAt() < kEvaluationTimeAfterRelease) return;
  if (!fusion_.isJudgedBad() && !isInDoubt(kDoubtShare)) rollout.endEvaluation();
}

// Spreads votes by instance index, as all instances reach a verdict together and the platform limits votes a
// second: the first kVoteBurstSeconds' worth go at once. Instances that are no voters follow after all
// voters, in case some are down. Could harm where many of the first are notified late: they then vote among
// the others.
Nanoseconds RolloutVoter::turnDelay() const {
  const double allowed = std::max(deployment_.rollout.votesPerSecond, kMinVoteRate);
  const int voters = promotionVoterCount(deployment_);
  const double before = deployment_.ownIndex + 1 - kVoteBurstSeconds * allowed;
  const double spare = deployment_.ownIndex < voters ? 0 : voters;
  return static_cast<Nanoseconds>(std::max(before + spare, 0.0) / (kUsedVoteRate * allowed) * 1e9);
}

// How long until a vote is renewed: slowly enough that renewals use half of the accepted rate at most, but
// before the vote lapses, and never faster than the full rate.
Nanoseconds RolloutVoter::renewalDelay(Verdict verdict) const {
  const int voting = verdict == Verdict::rollBack ? fusionCenterCount(deployment_)
                                                  : promotionVoterCount(deployment_);
  const auto &rollout = deployment_.rollout;
  const auto fair = static_cast<Nanoseconds>(1e9 * voting / std::max(rollout.votesPerSecond, kMinVoteRate));
  const Nanoseconds lifetime = rollout.voteLifetime;
  return std::max({std::min(kMaxRenewalDelay, lifetime / 2), std::min(2 * fair, lifetime / 10 * 9), fair});
}

// Whether the latest vote still counts. One on an earlier stage is void.
bool RolloutVoter::lastVoteStillCounts(const Vote &wanted) const {
  return lastVote_.verdict != Verdict::abstain && lastVote_.build == wanted.build &&
         (lastVote_.stage == wanted.stage || lastVote_.verdict == Verdict::rollBack);
}

bool RolloutVoter::repeatsLastVote(const Vote &wanted) const {
  return wanted.verdict == lastVote_.verdict && wanted.build == lastVote_.build &&
         (wanted.stage == lastVote_.stage || wanted.verdict == Verdict::rollBack);
}

void RolloutVoter::castVote(Nanoseconds now, DueActions &due) {
  if (isReplyPending_ || now < notBefore_) return;
  const auto &state = rollout_.state();
  const Vote wanted{verdict(now), state.build, state.stage};
  if (wanted != wantedVote_) {
    wantedVote_ = wanted;
    wantedSince_ = now;
  }
  const bool abstains = wanted.verdict == Verdict::abstain;
  if (!abstains && now < wantedSince_ + turnDelay()) return;
  // A void vote is not taken back: that would cost the next ones their part of the rate.
  if (abstains && (!lastVoteStillCounts(wanted) || state.phase != RolloutPhase::evaluating)) return;
  const bool isRepeat = repeatsLastVote(wanted);
  if (isRepeat && now < renewAt_) return;
  if (!isRepeat)
    due.logLines.push_back(formatLine("votes to %s build %d at stage %d: CUSUM %.1f of %.1f, %.0f outcomes",
                                      nameOf(wanted.verdict), wanted.build, wanted.stage,
                                      fusion_.highestCusum(), fusion_.threshold(), fusion_.stageOutcomes()));
  due.votes.push_back(wanted);
  lastVote_ = wanted;
  isReplyPending_ = true;
  renewAt_ = now + renewalDelay(wanted.verdict);
}

// A vote that was not accepted is sent again soon; one with no reply may count, and is sent again sooner.
void RolloutVoter::onVoteReply(VoteReply reply, Nanoseconds now, RandomEngine &random) {
  isReplyPending_ = false;
  if (reply == VoteReply::accepted) return;
  renewAt_ = now;
  const double delay = reply == VoteReply::timedOut ? kUncertainRetryDelay
                                                    : kRefusedRetryDelay + drawUniform(random);
  notBefore_ = now + static_cast<Nanoseconds>(delay * 1e9);
}

} // namespace myrtlehead
