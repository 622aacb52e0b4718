#include "policy/rollout_voter.h"

#include "policy/log_text.h"
#include "policy/rollout_roles.h"

#include <algorithm>

namespace myrtlehead {

namespace {

// Shares of the fusion center's threshold. A build whose CUSUM is above the first one is not promoted; an
// announced position to promote is withdrawn only above the second one.
constexpr double kDoubtShare = 0.5;
constexpr double kWithdrawalShare = 0.8;
// No vote to promote is cast within this time after the newest of the build's endpoints has started.
constexpr Nanoseconds kQuietBeforePromotion = 3 * kSecond;
// How long the endpoint list may take to show the first endpoint of a stage.
constexpr Nanoseconds kStageListingTimeout = 12 * kSecond;
constexpr Nanoseconds kEvaluationTimeAfterRelease = 8 * kSecond;
constexpr Nanoseconds kMaxRenewalDelay = 4 * kSecond;
constexpr Nanoseconds kAnnouncementInterval = 2 * kSecond;
constexpr Nanoseconds kPositionLifetime = 5 * kSecond;
constexpr double kUsedVoteRateShare = 0.97; // share of the platform's accepted vote rate that is used
constexpr double kVoteBurstSeconds = 1.8;   // the first burst holds the votes of this many seconds
constexpr double kMinVoteRate = 0.1;        // votes per second
constexpr double kNoReplyRetryDelay = 0.1;  // seconds, after a vote without a reply
constexpr double kRejectedRetryDelay = 0.5; // seconds, plus a random delay of up to one second

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

// Prevents a promotion while the endpoint list lags behind the rollout: an endpoint that started in this
// stage must be listed, or the time for listing it must be over.
bool RolloutVoter::hasSeenStageEndpoints(Nanoseconds newestStart, Nanoseconds now) const {
  return newestStart >= rollout_.stageStartedAt() || now - rollout_.stageStartedAt() >= kStageListingTimeout;
}

// The verdict from the evidence that this instance has fused itself.
Verdict RolloutVoter::ownVerdict(Nanoseconds now) const {
  const auto &state = rollout_.state();
  if (!rollout_.isKnown() || rollout_.isRollingBackOrWithdrawn()) return Verdict::abstain;
  if (fusion_.isJudgedBad()) return Verdict::rollBack;
  if (state.phase == RolloutPhase::released) return Verdict::abstain;
  // Hysteresis: an announced position to promote is withdrawn only above the higher share of the threshold,
  // so that one second of noise does not interrupt a stage.
  const bool isAnnounced = announcedPosition_ == Vote{Verdict::promote, state.build, state.stage};
  const bool doubt = isInDoubt(isAnnounced ? kWithdrawalShare : kDoubtShare);
  if (deployment_.rollout.control == RolloutControl::timer) return doubt ? Verdict::hold : Verdict::abstain;
  const Nanoseconds newest = newestStart();
  if (!hasSeenStageEndpoints(newest, now)) return Verdict::abstain;
  const bool isQuiet = newest >= 0 && now - newest >= kQuietBeforePromotion;
  return !doubt && isQuiet ? Verdict::promote : Verdict::abstain;
}

// A majority to roll back among two or more recent positions always decides. Otherwise the majority of the
// recent positions decides unless this instance is a fusion center with evidence of its own. Only positions
// that have arrived count, so that no verdict waits for fusion centers that are down. Without any position,
// the instance's own verdict stands.
Verdict RolloutVoter::verdict(Nanoseconds now) const {
  const auto own = ownVerdict(now);
  const auto &state = rollout_.state();
  if (!rollout_.isKnown() || rollout_.isRollingBackOrWithdrawn()) return own;
  if (own == Verdict::rollBack || !deployment_.hasPeers) return own;
  int received = 0;
  int promote = 0;
  int rollBack = 0;
  for (const auto &[position, receivedAt] : positions_) {
    if (receivedAt == 0 || now - receivedAt >= kPositionLifetime || position.build != state.build) continue;
    ++received;
    rollBack += position.verdict == Verdict::rollBack;
    promote += position.verdict == Verdict::promote && position.stage == state.stage;
  }
  if (received > 1 && 2 * rollBack > received) return Verdict::rollBack;
  const bool lacksOwnEvidence = own == Verdict::abstain && !isInDoubt(kDoubtShare);
  if (received == 0 || (isFusionCenter(deployment_) && !lacksOwnEvidence)) return own;
  return 2 * promote > received ? Verdict::promote : Verdict::abstain;
}

void RolloutVoter::endEvaluationAfterRelease(RolloutTracker &rollout, Nanoseconds now) const {
  if (!rollout.isEvaluated() || rollout.state().phase != RolloutPhase::released) return;
  if (now - rollout.stageStartedAt() < kEvaluationTimeAfterRelease) return;
  if (!fusion_.isJudgedBad() && !isInDoubt(kDoubtShare)) rollout.endEvaluation();
}

// The delay of this instance's vote by its index. All instances reach a verdict at about the same time, but
// the platform limits the votes per second, so the votes of kVoteBurstSeconds are sent at once and the others
// one after another. Instances that are not among the voters follow after all voters, in case some voters are
// down. Limitation: if many of the first instances learn of the rollout state late, their votes coincide with
// those of later instances.
Nanoseconds RolloutVoter::turnDelay() const {
  const double allowed = std::max(deployment_.rollout.votesPerSecond, kMinVoteRate);
  const int voters = promotionVoterCount(deployment_);
  const double precedingVotes = deployment_.ownIndex + 1 - kVoteBurstSeconds * allowed;
  const double extraTurns = deployment_.ownIndex < voters ? 0 : voters;
  return static_cast<Nanoseconds>(std::max(precedingVotes + extraTurns, 0.0) /
                                  (kUsedVoteRateShare * allowed) * 1e9);
}

// The time until a vote is renewed. Renewals use at most half of the accepted vote rate, unless a vote would
// lapse before its renewal, and never exceed the full rate.
Nanoseconds RolloutVoter::renewalDelay(Verdict verdict) const {
  const int voterCount = verdict == Verdict::rollBack ? fusionCenterCount(deployment_)
                                                      : promotionVoterCount(deployment_);
  const auto &rollout = deployment_.rollout;
  const auto fullRateInterval = static_cast<Nanoseconds>(1e9 * voterCount /
                                                         std::max(rollout.votesPerSecond, kMinVoteRate));
  const Nanoseconds lifetime = rollout.voteLifetime;
  return std::max({std::min(kMaxRenewalDelay, lifetime / 2),
                   std::min(2 * fullRateInterval, lifetime / 10 * 9), fullRateInterval});
}

// Whether the last vote still counts. A vote on an earlier stage does not, unless it is to roll back.
bool RolloutVoter::lastVoteStillCounts(const Vote &wanted) const {
  return lastVote_.verdict != Verdict::abstain && lastVote_.build == wanted.build &&
         (lastVote_.stage == wanted.stage || lastVote_.verdict == Verdict::rollBack);
}

bool RolloutVoter::repeatsLastVote(const Vote &wanted) const {
  return wanted.verdict == lastVote_.verdict && wanted.build == lastVote_.build &&
         (wanted.stage == lastVote_.stage || wanted.verdict == Verdict::rollBack);
}

void RolloutVoter::castVote(Nanoseconds now, DueActions &due) {
  if (isReplyPending_ || now < noVoteBefore_) return;
  const auto &state = rollout_.state();
  const Vote wanted{verdict(now), state.build, state.stage};
  if (wanted != wantedVote_) {
    wantedVote_ = wanted;
    wantedSince_ = now;
  }
  const bool abstains = wanted.verdict == Verdict::abstain;
  if (!abstains && now < wantedSince_ + turnDelay()) return;
  // A vote that no longer counts is not withdrawn, which would use up vote rate that the next votes need.
  if (abstains && (!lastVoteStillCounts(wanted) || state.phase != RolloutPhase::evaluating)) return;
  const bool isRepeat = repeatsLastVote(wanted);
  if (isRepeat && now < renewAt_) return;
  if (!isRepeat)
    due.logLines.push_back(formatLine(
        "votes to %s build %d at stage %d: CUSUM %.1f, threshold %.1f, %.0f outcomes", nameOf(wanted.verdict),
        wanted.build, wanted.stage, fusion_.highestCusum(), fusion_.threshold(), fusion_.stageOutcomes()));
  due.votes.push_back(wanted);
  lastVote_ = wanted;
  isReplyPending_ = true;
  renewAt_ = now + renewalDelay(wanted.verdict);
}

// A vote that was not accepted is retried after a delay. A vote without a reply may have been counted and is
// retried sooner.
void RolloutVoter::onVoteReply(VoteReply reply, Nanoseconds now, RandomEngine &random) {
  isReplyPending_ = false;
  if (reply == VoteReply::accepted) return;
  renewAt_ = now;
  const double delay = reply == VoteReply::timedOut ? kNoReplyRetryDelay
                                                    : kRejectedRetryDelay + drawUniform(random);
  noVoteBefore_ = now + static_cast<Nanoseconds>(delay * 1e9);
}

} // namespace myrtlehead
