// Sheds a share of the requests while attempts take too long, low priority first, whatever the cause of the
// overload.
//
// By Little's law, the number of attempts in flight divided by the completion rate is an estimate of the
// latency that does not have to wait for late attempts to complete. A proportional-integral controller
// derives the share to shed from the ratio of this estimate to the latency objective. The median latency of
// the outcomes caps the estimate, so that a few lost attempts cause no shedding. Limitation: the controller
// reacts late if traffic is low.
#pragma once

#include "policy/deployment.h"
#include "policy/due_actions.h"
#include "policy/endpoint_set.h"
#include "policy/outlier_detector.h"
#include "policy/request.h"

#include <vector>

namespace myrtlehead {

class OverloadController {
public:
  OverloadController(const Deployment &deployment, const EndpointSet &endpoints,
                     const OutlierDetector &outliers, Nanoseconds now);

  void onRequest(const Request &request);
  void onAttempt() { ++inFlight_; }
  // Must be called after each attempt.
  void onOutcome(Outcome outcome);
  // Must be called after each attempt that was not delayed by a stall of this instance.
  void onTimelyOutcome(const Route &route, Outcome outcome, Nanoseconds duration);
  // Updates the shed share from the completions since the last call. Must be called often; RoutingPolicy
  // calls it at least every dueTaskInterval().
  void update(Nanoseconds now, DueActions &due);

  // The probability with which to shed the request, from 0 to 1.
  double shedFraction(const Request &request) const;
  bool isShedding() const { return shedShare_ > 0; }
  // Whether attempts take more than kOverloadRatio of their latency objectives.
  bool isOverloaded() const { return latencyRatio_ > kOverloadRatio; }
  // Whether attempts take at most kSpareCapacityRatio of their latency objectives.
  bool hasSpareCapacity() const { return latencyRatio_ <= kSpareCapacityRatio; }

private:
  friend struct PolicyTestPeer;
  static constexpr double kOverloadRatio = 0.5;       // share of the objective above which requests are shed
  static constexpr double kSpareCapacityRatio = 0.25; // share of the objective

  bool isOverQuota(std::size_t tenant) const;
  void updateRates(double elapsedSeconds, Nanoseconds now);
  void updateShedShare(double elapsedSeconds);

  const Deployment &deployment_;
  const EndpointSet &endpoints_;
  const OutlierDetector &outliers_;
  int inFlight_ = 0;     // attempts of this instance
  double completed_ = 0; // attempts answered since updatedAt_
  // Moving average: attempts in flight at endpoints that are not suspect, or at suspect endpoints while no
  // attempt is in flight at the others.
  double meanInFlight_ = 0;
  double completionRate_ = 0;       // moving average: completed attempts per second
  double meanObjective_ = 0;        // moving average: latency objective of the requests, in seconds
  double latencyRatio_ = 0;         // estimated latency divided by the latency objective
  double medianLatencyRatio_ = 0;   // moving median of latency divided by latency objective
  std::vector<double> quotaExcess_; // by tenant: requests beyond its quota
  double integralShedShare_ = 0;    // integral term of shedShare_
  double shedShare_ = 0;            // share of the requests to shed, before weighting by priority
  bool isSheddingLogged_ = false;   // the last log line said that requests are shed
  Nanoseconds updatedAt_;
};

} // namespace myrtlehead
