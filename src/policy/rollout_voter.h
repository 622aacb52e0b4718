// Decides what this instance votes on the newest build, and when. Fusion centers announce their positions,
// that is, the votes that they would cast. All other instances follow the majority of these positions.
#pragma once

#include "policy/deployment.h"
#include "policy/due_actions.h"
#include "policy/fusion_center.h"
#include "policy/random.h"
#include "policy/rollout_tracker.h"

#include <vector>

namespace myrtlehead {

class RolloutVoter {
public:
  RolloutVoter(const Deployment &deployment, const EndpointSet &endpoints, const RolloutTracker &rollout,
               const FusionCenter &fusion);

  // A peer has announced its position. Only the positions of fusion centers are kept.
  void onPosition(int from, const Vote &position, Nanoseconds now);
  void onVoteReply(VoteReply reply, Nanoseconds now, RandomEngine &random);
  // Sends a fusion center's own position if it has changed or its last announcement is too old. An unchanged
  // abstention is not repeated.
  void announcePosition(Nanoseconds now, DueActions &due);
  // Casts a vote once this instance's turn has come, if the verdict has changed or the earlier vote is about
  // to lapse.
  void castVote(Nanoseconds now, DueActions &due);
  // Ends the evaluation of a build that has been released for a while and is not in doubt, which makes it the
  // baseline of the next build. Otherwise the build could be judged bad because of a fault of the whole fleet
  // long after the release, when there is no baseline left to compare it with. Limitation: a build that turns
  // bad after that is not detected.
  void endEvaluationAfterRelease(RolloutTracker &rollout, Nanoseconds now) const;

private:
  friend struct PolicyTestPeer;
  struct ReceivedPosition {
    Vote position{Verdict::abstain, 0, 0};
    Nanoseconds receivedAt = 0; // 0: never
  };
  Verdict ownVerdict(Nanoseconds now) const;
  Verdict verdict(Nanoseconds now) const;
  bool hasSeenStageEndpoints(Nanoseconds newestStart, Nanoseconds now) const;
  bool isInDoubt(double shareOfThreshold) const;
  Nanoseconds newestStart() const;
  Nanoseconds turnDelay() const;
  Nanoseconds renewalDelay(Verdict verdict) const;
  bool lastVoteStillCounts(const Vote &wanted) const;
  bool repeatsLastVote(const Vote &wanted) const;

  const Deployment &deployment_;
  const EndpointSet &endpoints_;
  const RolloutTracker &rollout_;
  const FusionCenter &fusion_;
  std::vector<ReceivedPosition> positions_;        // by the fusion center's index
  Vote announcedPosition_{Verdict::abstain, 0, 0}; // the own position as last sent
  Nanoseconds announceAgainAt_ = 0;
  Vote lastVote_{Verdict::abstain, 0, 0};   // the vote last sent
  Vote wantedVote_{Verdict::abstain, 0, 0}; // the vote that this instance intends to cast
  Nanoseconds wantedSince_ = 0;
  bool isReplyPending_ = false;
  Nanoseconds renewAt_ = 0;      // an unchanged vote is not repeated before this time
  Nanoseconds noVoteBefore_ = 0; // no vote at all is sent before this time
};

} // namespace myrtlehead
