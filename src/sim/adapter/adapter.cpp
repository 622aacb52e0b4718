#include "adapter.h"

namespace myrtlehead::wire {

namespace {

constexpr std::uint64_t kTickTimer = 1ULL << 63; // request ids stay below 2^52
constexpr std::uint8_t kRetryFlag = 2;           // of a new request: the client has sent it before

} // namespace

const std::vector<std::uint8_t> &Adapter::answer(Reader &in) {
  const auto head = readHead(in);
  now_ = head.now;
  index_ = kNoInstance;
  instance_ = nullptr;
  out_.begin(head.number);
  try {
    for (std::uint32_t i = 0; i < head.records; ++i) record(in);
    if (in.left() != 0) in.fail(std::to_string(in.left()) + " bytes after the last record");
    for (const auto index : inBatch_) {
      const auto found = instances_.find(index);
      if (found != instances_.end() && found->second->isInBatch) finishBatch(index, *found->second);
    }
  } catch (const WireError &) {
    throw;
  } catch (const std::exception &error) { // of the decisions: the wire has a record for it
    Writer fault;
    fault.exception(error.what());
    out_.add(static_cast<std::uint32_t>(index_), fault);
  }
  inBatch_.clear();
  return out_.bytes();
}

void Adapter::record(Reader &in) {
  const auto code = in.u8();
  switch (code) {
  case in::on:
    return onInstance(in);
  case in::directory:
    return onDirectory(in);
  case in::spawn:
    return onSpawn(in);
  case in::killed:
    current(in);
    instances_.erase(static_cast<std::uint32_t>(index_));
    instance_ = nullptr;
    return;
  case in::directoryUpdate:
    return onDirectoryUpdate(in);
  case in::newRequest:
    return onNewRequest(in);
  case in::begun:
    return onBegun(in);
  case in::done:
    return onDone(in);
  case in::gone:
    return onGone(in);
  case in::timer:
    return onTimer(in);
  case in::probeDone:
    return onProbeDone(in);
  case in::peer:
    return onPeer(in);
  case in::promotion:
    return onPromotion(in);
  case in::sampled:
    return onSampled(in);
  case in::returned:
    return onReturned(in);
  }
  in.fail("unknown record code " + std::to_string(code));
}

void Adapter::onInstance(Reader &in) {
  index_ = in.u32();
  const auto found = instances_.find(static_cast<std::uint32_t>(index_));
  instance_ = found != instances_.end() ? found->second.get() : nullptr;
}

Instance &Adapter::current(Reader &in) {
  if (instance_ == nullptr)
    in.fail(index_ < 0 ? "a record before any On" : "unknown instance " + std::to_string(index_));
  if (!instance_->isInBatch) {
    instance_->isInBatch = true;
    inBatch_.push_back(static_cast<std::uint32_t>(index_));
  }
  return *instance_;
}

void Adapter::onNewRequest(Reader &in) {
  auto &instance = current(in);
  auto request = std::make_unique<Request>();
  request->id = in.u64();
  request->route = in.u8();
  request->tenant = in.u16();
  request->key = in.u64();
  request->receivedAt = now_;
  request->deadline = now_ + Nanoseconds{in.u32()} * kMicrosecond;
  in.u32(); // the cost hint sways no decision
  request->isClientRetry = (in.u8() & kRetryFlag) != 0;
  if (static_cast<std::size_t>(request->route) >= instance.policy.deployment().routes.size())
    in.fail("unknown route " + std::to_string(request->route));
  auto &slot = instance.requests[request->id];
  if (slot != nullptr) in.fail("request id " + std::to_string(request->id) + " is already in flight");
  slot = std::move(request);
  carryOut(*slot, instance.policy.route(*slot, now_));
}

Request *Adapter::findRequest(std::uint64_t id) {
  const auto found = instance_->requests.find(id);
  return found == instance_->requests.end() ? nullptr : found->second.get();
}

void Adapter::releaseIfOver(std::uint64_t id) {
  const auto found = instance_->requests.find(id);
  if (found == instance_->requests.end()) return;
  if (found->second->finished && found->second->inFlight == 0) instance_->requests.erase(found);
}

void Adapter::carryOut(Request &request, const RoutingDecision &decision) {
  const auto id = request.id;
  auto &out = instance_->out;
  switch (decision.action) {
  case RoutingDecision::forward:
    out.submit(id, decision.timeout, decision.endpoint->id);
    break;
  case RoutingDecision::shed:
    out.busy(id, decision.retryAfter);
    break;
  case RoutingDecision::fail:
    out.error(id);
    break;
  case RoutingDecision::wait:
  case RoutingDecision::none:
    break;
  }
  const bool goesOn = decision.action == RoutingDecision::wait || decision.action == RoutingDecision::forward;
  if (!request.finished && goesOn)
    if (const auto delay = instance_->policy.recheckDelay(request); delay > 0) out.wake(delay, id);
  releaseIfOver(id);
}

void Adapter::onBegun(Reader &in) {
  auto &instance = current(in);
  auto *request = findRequest(in.u64());
  readEndpoint(in);
  const auto attempt = in.u8();
  in.u32();
  if (request != nullptr && attempt < request->attempts.size()) instance.policy.onAnswerStarted(*request);
}

void Adapter::onDone(Reader &in) {
  auto &instance = current(in);
  const auto id = in.u64();
  auto *request = findRequest(id);
  const auto index = in.u8();
  const bool isAnswered = in.u8() != 0;
  auto &endpoint = readEndpoint(in);
  const auto outcome = outcomeOf(in.u8(), in);
  const auto duration = Nanoseconds{in.u32()} * kMicrosecond;
  if (const auto &values = readLoadReport(in); !values.empty())
    instance.policy.onLoadReport(endpoint, values, now_);
  if (request == nullptr) return;
  if (index >= request->attempts.size()) in.fail("an outcome for an attempt never sent");
  const auto &attempt = request->attempts[index];
  const bool isSameIncarnation = attempt.build == endpoint.info.build &&
                                 attempt.sentAt >= endpoint.info.startedAt;
  if (instance.policy.deployment().hasPeers && attempt.inFlight && isSameIncarnation) {
    instance.gossip.onOutcome(endpoint.fingerprint, outcome);
    endpoint.health.peerSuspicionUntil = instance.gossip.suspectUntil(endpoint.fingerprint);
  }
  const auto decision = instance.policy.onAttemptFinished(*request, index, outcome, duration, isAnswered,
                                                          now_);
  carryOut(*request, decision);
}

void Adapter::onGone(Reader &in) {
  auto &instance = current(in);
  const auto id = in.u64();
  if (auto *request = findRequest(id)) instance.policy.onClientDisconnected(*request);
  releaseIfOver(id);
}

void Adapter::onTimer(Reader &in) {
  auto &instance = current(in);
  const auto timer = in.u64();
  if (timer == kTickTimer) {
    if (instance.nextTickAt <= now_) instance.nextTickAt = 0;
  } else if (auto *request = findRequest(timer); request != nullptr && !request->finished) {
    carryOut(*request, instance.policy.route(*request, now_));
  }
}

Endpoint &Adapter::readEndpoint(Reader &in) {
  const auto found = instance_->endpoints.find(in.endpointId());
  if (found == instance_->endpoints.end()) in.fail("an endpoint that no list has named");
  return *found->second;
}

// The records of one instance: log lines, calls, messages and votes, in this order, then its next timer.
void Adapter::finishBatch(std::uint32_t index, Instance &instance) {
  index_ = index;
  instance.isInBatch = false;
  const auto due = instance.policy.runDueTasks(now_);
  for (const auto &line : due.logLines) instance.out.log(line);
  const auto &deployment = instance.policy.deployment();
  if (deployment.pollsEndpointList && now_ >= instance.subscription.nextCallAt()) {
    instance.out.watch();
    instance.subscription.onCallSent(now_);
  }
  for (const auto &message : due.messages) instance.out.peer(message.to, message.bytes);
  if (deployment.hasPeers)
    for (const auto &message : instance.gossip.takeDueMessages(now_, instance.random))
      instance.out.peer(message.to, message.bytes);
  for (const auto &vote : due.votes) instance.out.opinion(vote);
  const auto interval = instance.policy.dueTaskInterval();
  if (instance.nextTickAt == 0 || now_ + interval < instance.nextTickAt) {
    instance.out.wake(interval, kTickTimer);
    instance.nextTickAt = now_ + interval;
  }
  out_.add(index, instance.out);
}

} // namespace myrtlehead::wire
