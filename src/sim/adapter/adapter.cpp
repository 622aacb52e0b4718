#include "adapter.h"

namespace myrtlehead::wire {

namespace {

// Timer id of the tick; all other timer ids are request ids, which are less than 2^52.
constexpr std::uint64_t kTickTimer = 1ULL << 63;
constexpr std::uint8_t kClientRetryFlag = 2; // flag of a new request: it is a retry by the client

} // namespace

const std::vector<std::uint8_t> &Adapter::processBatch(Reader &in) {
  const auto header = readBatchHeader(in);
  now_ = header.now;
  instanceIndex_ = kNoInstance;
  instance_ = nullptr;
  reply_.begin(header.batchNumber);
  try {
    for (std::uint32_t i = 0; i < header.recordCount; ++i) handleRecord(in);
    if (in.remaining() != 0)
      in.fail(std::to_string(in.remaining()) + " unexpected bytes after the last record");
    for (const auto index : batchInstances_) {
      const auto found = instances_.find(index);
      if (found != instances_.end() && found->second->isInBatch) finishBatch(index, *found->second);
    }
  } catch (const WireError &) {
    throw;
  } catch (const std::exception &error) { // thrown by the policies; reported to the simulator
    Writer report;
    report.exception(error.what());
    reply_.add(static_cast<std::uint32_t>(instanceIndex_), report);
  }
  batchInstances_.clear();
  return reply_.finish();
}

void Adapter::handleRecord(Reader &in) {
  const auto code = in.u8();
  switch (code) {
  case inbound::selectInstance:
    return onSelectInstance(in);
  case inbound::endpointList:
    return onEndpointList(in);
  case inbound::startInstance:
    return onStartInstance(in);
  case inbound::instanceKilled:
    currentInstance(in);
    instances_.erase(static_cast<std::uint32_t>(instanceIndex_));
    instance_ = nullptr;
    return;
  case inbound::endpointListUpdate:
    return onEndpointListUpdate(in);
  case inbound::newRequest:
    return onNewRequest(in);
  case inbound::answerStarted:
    return onAnswerStarted(in);
  case inbound::attemptFinished:
    return onAttemptFinished(in);
  case inbound::clientDisconnected:
    return onClientDisconnected(in);
  case inbound::timerFired:
    return onTimerFired(in);
  case inbound::probeFinished:
    return onProbeFinished(in);
  case inbound::peerMessage:
    return onPeerMessage(in);
  case inbound::rolloutState:
    return onRolloutState(in);
  case inbound::failureCounts:
    return onFailureCounts(in);
  case inbound::wrongAnswer:
    return onWrongAnswer(in);
  }
  in.fail("unknown code of a record: " + std::to_string(code));
}

void Adapter::onSelectInstance(Reader &in) {
  instanceIndex_ = in.u32();
  const auto found = instances_.find(static_cast<std::uint32_t>(instanceIndex_));
  instance_ = found != instances_.end() ? found->second.get() : nullptr;
}

Instance &Adapter::currentInstance(Reader &in) {
  if (instance_ == nullptr)
    in.fail(instanceIndex_ < 0 ? "a record precedes the first On record"
                               : "instance " + std::to_string(instanceIndex_) + " is not running");
  if (!instance_->isInBatch) {
    instance_->isInBatch = true;
    batchInstances_.push_back(static_cast<std::uint32_t>(instanceIndex_));
  }
  return *instance_;
}

void Adapter::onNewRequest(Reader &in) {
  auto &instance = currentInstance(in);
  auto request = std::make_unique<Request>();
  request->id = in.u64();
  request->route = in.u8();
  request->tenant = in.u16();
  request->key = in.u64();
  request->receivedAt = now_;
  request->deadline = now_ + Nanoseconds{in.u32()} * kMicrosecond;
  in.u32(); // the cost hint, which no decision uses
  request->isClientRetry = (in.u8() & kClientRetryFlag) != 0;
  if (static_cast<std::size_t>(request->route) >= instance.policy.deployment().routes.size())
    in.fail("route " + std::to_string(request->route) + " is not configured");
  auto &slot = instance.requests[request->id];
  if (slot != nullptr) in.fail("request id " + std::to_string(request->id) + " is already in flight");
  slot = std::move(request);
  applyDecision(*slot, instance.policy.route(*slot, now_));
}

Request *Adapter::findRequest(std::uint64_t id) {
  const auto found = instance_->requests.find(id);
  return found == instance_->requests.end() ? nullptr : found->second.get();
}

void Adapter::eraseIfComplete(std::uint64_t id) {
  const auto found = instance_->requests.find(id);
  if (found == instance_->requests.end()) return;
  if (found->second->finished && found->second->inFlight == 0) instance_->requests.erase(found);
}

void Adapter::applyDecision(Request &request, const RoutingDecision &decision) {
  const auto id = request.id;
  auto &out = instance_->out;
  switch (decision.action) {
  case RoutingDecision::forward:
    out.sendAttempt(id, decision.timeout, decision.endpoint->id);
    break;
  case RoutingDecision::shed:
    out.shedRequest(id, decision.retryAfter);
    break;
  case RoutingDecision::fail:
    out.failRequest(id);
    break;
  case RoutingDecision::wait:
  case RoutingDecision::none:
    break;
  }
  const bool isPending = decision.action == RoutingDecision::wait ||
                         decision.action == RoutingDecision::forward;
  if (!request.finished && isPending)
    if (const auto delay = instance_->policy.recheckDelay(request); delay > 0) out.setTimer(delay, id);
  eraseIfComplete(id);
}

void Adapter::onAnswerStarted(Reader &in) {
  auto &instance = currentInstance(in);
  auto *request = findRequest(in.u64());
  readEndpoint(in);
  const auto attempt = in.u8();
  in.u32();
  if (request != nullptr && attempt < request->attempts.size()) instance.policy.onAnswerStarted(*request);
}

void Adapter::onAttemptFinished(Reader &in) {
  auto &instance = currentInstance(in);
  const auto id = in.u64();
  auto *request = findRequest(id);
  const auto index = in.u8();
  const bool isAnswered = in.u8() != 0;
  auto &endpoint = readEndpoint(in);
  const auto outcome = decodeOutcome(in.u8(), in);
  const auto duration = Nanoseconds{in.u32()} * kMicrosecond;
  if (const auto &values = readLoadReport(in); !values.empty())
    instance.policy.onLoadReport(endpoint, values, now_);
  if (request == nullptr) return;
  if (index >= request->attempts.size())
    in.fail("outcome of attempt " + std::to_string(index) + ", which request " + std::to_string(id) +
            " has not sent");
  const auto &attempt = request->attempts[index];
  const bool isSameIncarnation = attempt.build == endpoint.info.build &&
                                 attempt.sentAt >= endpoint.info.startedAt;
  if (instance.policy.deployment().hasPeers && attempt.inFlight && isSameIncarnation) {
    instance.gossip.onOutcome(endpoint.fingerprint, outcome);
    endpoint.health.peerSuspicionUntil = instance.gossip.suspectUntil(endpoint.fingerprint);
  }
  const auto decision = instance.policy.onAttemptFinished(*request, index, outcome, duration, isAnswered,
                                                          now_);
  applyDecision(*request, decision);
}

void Adapter::onClientDisconnected(Reader &in) {
  auto &instance = currentInstance(in);
  const auto id = in.u64();
  if (auto *request = findRequest(id)) instance.policy.onClientDisconnected(*request);
  eraseIfComplete(id);
}

void Adapter::onTimerFired(Reader &in) {
  auto &instance = currentInstance(in);
  const auto timer = in.u64();
  if (timer == kTickTimer) {
    if (instance.nextTickAt <= now_) instance.nextTickAt = 0;
  } else if (auto *request = findRequest(timer); request != nullptr && !request->finished) {
    applyDecision(*request, instance.policy.route(*request, now_));
  }
}

Endpoint &Adapter::readEndpoint(Reader &in) {
  const auto found = instance_->endpoints.find(in.endpointId());
  if (found == instance_->endpoints.end())
    in.fail("a record refers to an endpoint that no endpoint list contains");
  return *found->second;
}

// Writes the records of one instance in this order: log lines, endpoint list calls, peer messages, votes, and
// the next tick timer.
void Adapter::finishBatch(std::uint32_t index, Instance &instance) {
  instanceIndex_ = index;
  instance.isInBatch = false;
  const auto due = instance.policy.runDueTasks(now_);
  for (const auto &line : due.logLines) instance.out.log(line);
  const auto &deployment = instance.policy.deployment();
  if (deployment.pollsEndpointList && now_ >= instance.subscription.nextCallAt()) {
    instance.out.watchEndpointList();
    instance.subscription.onCallSent(now_);
  }
  for (const auto &message : due.messages) instance.out.sendPeerMessage(message.to, message.bytes);
  if (deployment.hasPeers)
    for (const auto &message : instance.gossip.takeDueMessages(now_, instance.random))
      instance.out.sendPeerMessage(message.to, message.bytes);
  for (const auto &vote : due.votes) instance.out.castVote(vote);
  const auto interval = instance.policy.dueTaskInterval();
  if (instance.nextTickAt == 0 || now_ + interval < instance.nextTickAt) {
    instance.out.setTimer(interval, kTickTimer);
    instance.nextTickAt = now_ + interval;
  }
  reply_.add(index, instance.out);
}

} // namespace myrtlehead::wire
