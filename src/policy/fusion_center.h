// Fuses the evidence that all instances report against the newest build: for each channel the paper's CUSUM,
// y = max(y, 0) + each reported move. The build is judged bad once a channel crosses the threshold.
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
  // An instance's evidence has moved by so much over so many outcomes. lastFailedFingerprint: the fingerprint
  // of the endpoint that failed last; 0: none.
  void onMove(std::size_t channel, double moved, double outcomes, std::uint16_t lastFailedFingerprint,
              DueActions &due);
  // The report of another instance. Guards against lost, repeated and late reports and against restarts at
  // either end: a report states the totals of its sender's incarnation.
  void onReport(int from, const EvidenceReport &report, DueActions &due);

  bool isJudgedBad() const { return isJudgedBad_; }
  double threshold() const;
  // The greatest CUSUM of all channels: the channel nearest to the threshold speaks for the build.
  double highestCusum() const;
  // Outcomes reported in the present stage.
  double stageOutcomes() const { return stageOutcomes_; }

private:
  friend struct PolicyTestPeer;
  struct Channel {
    double cusum = 0;
    std::vector<EvidenceReport> reports;           // the latest of each instance
    std::map<std::uint16_t, double> contributions; // to the CUSUM, by the endpoint that failed
  };
  struct OwnEndpoints {
    double all = 0;
    double grown = 0; // old enough to have shown something
  };
  OwnEndpoints endpointsOfBuild() const;
  double levelOf(const Channel &channel) const;

  const Deployment &deployment_;
  const EndpointSet &endpoints_;
  const RolloutTracker &rollout_;
  const StallDetector &stalls_;
  std::vector<Channel> channels_; // as in SequentialTest
  double stageOutcomes_ = 0;
  bool isJudgedBad_ = false;
};

} // namespace myrtlehead
