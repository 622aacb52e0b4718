// Adapter between the simulator's wire protocol and the policy classes. It hosts the simulated instances,
// turns incoming records into calls on their policies, and turns the results into outgoing records. It keeps
// the requests in flight and their timers, and makes no decisions. The protocol's names are used only here
// and in sim/wire.
#pragma once

#include "policy/discovery_subscription.h"
#include "policy/outlier_gossip.h"
#include "policy/routing_policy.h"
#include "sim/wire/codec.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace myrtlehead::wire {

// One simulated instance: its policies, and its endpoints and requests by their ids in the wire protocol.
struct Instance {
  Instance(Deployment deployment, std::uint64_t seed, Nanoseconds now)
      : policy(std::move(deployment), seed, now),
        gossip(policy.deployment().ownIndex, policy.deployment().instanceCount, policy.deployment().zone),
        random(seed + 3), subscription(policy.deployment()) {}
  RoutingPolicy policy;
  OutlierGossip gossip;
  RandomEngine random; // used by the gossip and the subscription to the endpoint list
  DiscoverySubscription subscription;
  Writer out; // its records of the reply, which are discarded if the instance is killed in the batch
  std::unordered_map<EndpointId, Endpoint *> endpoints;
  std::unordered_map<std::uint64_t, std::unique_ptr<Request>> requests;
  Nanoseconds nextTickAt = 0; // when the next tick timer fires; 0: no tick timer is set
  bool isInBatch = false;     // the present batch holds a record for this instance
};

struct EndpointListEntry {
  EndpointId endpoint = 0;
  EndpointInfo info;
};

class Adapter {
public:
  // Processes one batch and returns the reply frame, which is valid until the next call. Throws WireError if
  // the batch is malformed; the adapter must not be used any more then.
  const std::vector<std::uint8_t> &processBatch(Reader &in);

private:
  void handleRecord(Reader &in);
  void onSelectInstance(Reader &in);

  // Notifications to an instance (notifications.cpp).
  void onStartInstance(Reader &in);
  void onEndpointList(Reader &in);
  void onEndpointListUpdate(Reader &in);
  void onProbeFinished(Reader &in);
  void onPeerMessage(Reader &in);
  void onRolloutState(Reader &in);
  void onFailureCounts(Reader &in);
  void onWrongAnswer(Reader &in);

  // Requests.
  void onNewRequest(Reader &in);
  void onAnswerStarted(Reader &in);
  void onAttemptFinished(Reader &in);
  void onClientDisconnected(Reader &in);
  void onTimerFired(Reader &in);

  Instance &currentInstance(Reader &in);
  Endpoint &readEndpoint(Reader &in);
  const std::vector<float> &readLoadReport(Reader &in);
  Request *findRequest(std::uint64_t id);
  void applyDecision(Request &request, const RoutingDecision &decision);
  void eraseIfComplete(std::uint64_t id);
  void finishBatch(std::uint32_t index, Instance &instance);

  static constexpr std::size_t kMaxLists = 16; // endpoint lists that records may refer to by number
  static constexpr std::int64_t kNoInstance = -1;

  Nanoseconds now_ = 0;
  std::int64_t instanceIndex_ = kNoInstance; // the instance that the next records are for
  Instance *instance_ = nullptr;             // the instance with that index; null: it is not running
  std::unordered_map<std::uint32_t, std::unique_ptr<Instance>> instances_;
  std::vector<std::uint32_t> batchInstances_; // indexes, in the order of their first records
  std::vector<EndpointListEntry> lists_[kMaxLists];
  std::vector<float> loadReport_;
  Frame reply_;
};

} // namespace myrtlehead::wire
