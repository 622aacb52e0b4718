// Fuses the evidence against the newest build that all instances report. Each channel keeps a CUSUM, which is
// y = max(y, 0) + x for each reported change x of a log-likelihood ratio. The build is judged bad as soon as
// the CUSUM of one channel reaches the threshold.
#pragma once

#include "policy/deployment.h"
#include "policy/due_actions.h"
#include "policy/endpoint_set.h"
#include "policy/peer_messages.h"
#include "policy/rollout_tracker.h"
#include "policy/stall_detector.h"

#include <map>
#include <vector>

namespace myrtlehead {

class FusionCenter {
public:
  FusionCenter(const Deployment &deployment, const EndpointSet &endpoints, const RolloutTracker &rollout,
               const StallDetector &stalls);

  void onNewBuild();
  void onNewStage() { stageOutcomes_ = 0; }
  // The log-likelihood ratio of one instance has changed by `ratioChange` over `outcomes` outcomes.
  // `lastFailedFingerprint` identifies the endpoint that failed last; 0: none.
  void onEvidence(std::size_t channel, double ratioChange, double outcomes,
                  std::uint16_t lastFailedFingerprint, DueActions &due);
  // The report of another instance. It states the totals of its sender's incarnation, so that lost, repeated
  // and late reports and restarts at either end do no harm.
  void onReport(int from, const EvidenceReport &report, DueActions &due);

  bool isJudgedBad() const { return isJudgedBad_; }
  // The CUSUM at which the build is judged bad. It grows with the number of outcomes of the stage.
  double threshold() const;
  // The highest CUSUM of all channels, with the contributions of outlying endpoints replaced by the average
  // of the others.
  double highestCusum() const;
  // Outcomes reported in the present stage.
  double stageOutcomes() const { return stageOutcomes_; }

private:
  friend struct PolicyTestPeer;
  struct Channel {
    double cusum = 0;
    std::vector<EvidenceReport> reports;           // the latest report of each instance, by its index
    std::map<std::uint16_t, double> contributions; // to the CUSUM, by the fingerprint of the failed endpoint
  };
  struct EndpointCounts {
    double all = 0;
    double pastColdPeriod = 0; // started at least kMaxColdPeriod ago
  };
  EndpointCounts countEndpointsOfBuild() const;
  double cusumWithoutOutliers(const Channel &channel) const;

  const Deployment &deployment_;
  const EndpointSet &endpoints_;
  const RolloutTracker &rollout_;
  const StallDetector &stalls_;
  std::vector<Channel> channels_; // in the order of SequentialTest's channels
  double stageOutcomes_ = 0;
  bool isJudgedBad_ = false;
};

} // namespace myrtlehead
