// What this instance votes on the newest build, and when. Fusion centers announce their positions; other
// instances follow the majority of them.
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

  // A fusion center's position, heard from a peer.
  void onPosition(int from, const Vote &position, Nanoseconds now);
  void onVoteReply(VoteReply reply, Nanoseconds now, RandomEngine &random);
  // Sends a fusion center's own position where it is new, or has not been sent for a while.
  void announcePosition(Nanoseconds now, DueActions &due);
  // Votes where the verdict is new or an earlier vote is about to lapse, in this instance's turn.
  void castVote(Nanoseconds now, DueActions &due);
  // Ends the evaluation of a build that has been released for a while and is not in doubt. Guards against
  // trouble of the whole fleet long after a release, with nothing left to compare with: such a build is the
  // baseline of the next. One that turns bad later is missed.
  void endEvaluationAfterRelease(RolloutTracker &rollout, Nanoseconds now) const;

private:
  friend struct PolicyTestPeer;
  struct HeardPosition {
    Vote position{Verdict::abstain, 0, 0};
    Nanoseconds heardAt = 0; // 0: never
  };
  Verdict ownVerdict(Nanoseconds now) const;
  Verdict verdict(Nanoseconds now) const;
  bool hasSeenStage(Nanoseconds newestStart, Nanoseconds now) const;
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
  std::vector<HeardPosition> positions_;           // by the fusion center's index
  Vote announcedPosition_{Verdict::abstain, 0, 0}; // the own position as last sent
  Nanoseconds announceAgainAt_ = 0;
  Vote lastVote_{Verdict::abstain, 0, 0}; // the latest sent
  Vote wantedVote_{Verdict::abstain, 0, 0};
  Nanoseconds wantedSince_ = 0;
  bool isReplyPending_ = false;
  Nanoseconds renewAt_ = 0;   // no earlier vote unless the verdict changes
  Nanoseconds notBefore_ = 0; // no vote at all before this
};

} // namespace myrtlehead
