// The adapter for the simulator's wire: hosts the instances, turns records into calls on the decisions and
// their answers into records. It keeps the requests in flight and their timers, and decides nothing. Names of
// the wire end here and in sim/wire.
#pragma once

#include "policy/discovery_subscription.h"
#include "policy/outlier_gossip.h"
#include "policy/routing_policy.h"
#include "sim/wire/codec.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace myrtlehead::wire {

// One instance: its decisions, and the ids by which the wire knows its endpoints and requests.
struct Instance {
  Instance(Deployment deployment, std::uint64_t seed, Nanoseconds now)
      : policy(std::move(deployment), seed, now),
        gossip(policy.deployment().ownIndex, policy.deployment().instanceCount, policy.deployment().zone),
        random(seed + 3), subscription(policy.deployment()) {}
  RoutingPolicy policy;
  OutlierGossip gossip;
  RandomEngine random; // for the gossip and the calls for the endpoint list
  DiscoverySubscription subscription;
  Writer out; // its records in the reply; they go with it if it is killed in the batch
  std::unordered_map<EndpointId, Endpoint *> endpoints;
  std::unordered_map<std::uint64_t, std::unique_ptr<Request>> requests;
  Nanoseconds nextTickAt = 0; // when the next tick timer fires; 0: none is set
  bool isInBatch = false;     // a record of this batch was for it
};

struct ListEntry {
  EndpointId endpoint = 0;
  EndpointInfo info;
};

class Adapter {
public:
  // Answers one batch with one frame. Throws WireError where the batch can't be read; the adapter is of no
  // further use then.
  const std::vector<std::uint8_t> &answer(Reader &in);

private:
  void record(Reader &in);
  void onInstance(Reader &in);

  // Notifications of an instance (notifications.cpp).
  void onSpawn(Reader &in);
  void onDirectory(Reader &in);
  void onDirectoryUpdate(Reader &in);
  void onProbeDone(Reader &in);
  void onPeer(Reader &in);
  void onPromotion(Reader &in);
  void onSampled(Reader &in);
  void onReturned(Reader &in);

  // Requests.
  void onNewRequest(Reader &in);
  void onBegun(Reader &in);
  void onDone(Reader &in);
  void onGone(Reader &in);
  void onTimer(Reader &in);

  Instance &current(Reader &in);
  Endpoint &readEndpoint(Reader &in);
  const std::vector<float> &readLoadReport(Reader &in);
  Request *findRequest(std::uint64_t id);
  void carryOut(Request &request, const RoutingDecision &decision);
  void releaseIfOver(std::uint64_t id);
  void finishBatch(std::uint32_t index, Instance &instance);

  static constexpr std::size_t kLists = 16; // lists that a batch may refer to
  static constexpr std::int64_t kNoInstance = -1;

  Nanoseconds now_ = 0;
  std::int64_t index_ = kNoInstance; // of the instance that the records are for
  Instance *instance_ = nullptr;     // the same; null: it does not live
  std::unordered_map<std::uint32_t, std::unique_ptr<Instance>> instances_;
  std::vector<std::uint32_t> inBatch_; // indexes, in the order of their first record
  std::vector<ListEntry> lists_[kLists];
  std::vector<float> loadReport_;
  Frame out_;
};

} // namespace myrtlehead::wire
