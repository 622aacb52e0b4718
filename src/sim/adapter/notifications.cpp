// Handlers of the notifications to an instance: its settings, endpoint lists, rollout states, peer messages
// and reports on builds.
#include "adapter.h"

namespace myrtlehead::wire {

namespace {

constexpr std::size_t kListEntrySize = 28; // bytes
constexpr std::uint64_t kMaxFingerprint = 0xffff;

// The kinds of an endpoint list update.
enum ListUpdateKind : std::uint8_t { delta = 0, full = 1, cached = 2, failed = 3 };

} // namespace

void Adapter::onStartInstance(Reader &in) {
  const auto seed = in.u64();
  const auto size = in.u32();
  const auto *text = in.bytes(size);
  if (instanceIndex_ < 0) in.fail("a record precedes the first On record");
  auto deployment = readDeployment({reinterpret_cast<const char *>(text), size});
  auto instance = std::make_unique<Instance>(std::move(deployment), seed, now_);
  instance_ = instance.get();
  instances_[static_cast<std::uint32_t>(instanceIndex_)] = std::move(instance);
  currentInstance(in);
}

void Adapter::onEndpointList(Reader &in) {
  const auto list = in.u16();
  const auto count = in.u32();
  if (list >= kMaxLists) in.fail("endpoint list number " + std::to_string(list) + " is greater than 15");
  if (count > in.remaining() / kListEntrySize)
    in.fail("the record is too short for its " + std::to_string(count) + " endpoint list entries");
  lists_[list].resize(count);
  for (auto &entry : lists_[list]) entry.info = readEndpointInfo(in, entry.endpoint);
}

void Adapter::onEndpointListUpdate(Reader &in) {
  auto &instance = currentInstance(in);
  const auto kind = in.u8();
  in.u64(); // the version, which is not needed as updates arrive in order
  const auto list = in.u16();
  if (kind > failed) in.fail("unknown kind of an endpoint list update: " + std::to_string(kind));
  if (kind == failed) // a failure does not tell which call has failed
    return instance.subscription.onClosed(CallEnd::rejected, OtherCalls::none, now_,
                                          drawUniform(instance.random));
  if (list >= kMaxLists) in.fail("endpoint list number " + std::to_string(list) + " is greater than 15");
  for (const auto &entry : lists_[list]) {
    auto &known = instance.endpoints[entry.endpoint];
    if (known == nullptr) {
      known = &instance.policy.addEndpoint();
      known->id = entry.endpoint;
      known->fingerprint = static_cast<std::uint16_t>(1 + entry.endpoint % kMaxFingerprint);
    }
    if (known->info.build != entry.info.build || known->info.startedAt != entry.info.startedAt) {
      instance.gossip.onEndpointReplaced(known->fingerprint);
      known->health.peerSuspicionUntil = 0;
    }
    instance.policy.onEndpointUpdate(*known, entry.info, now_);
  }
  instance.policy.onEndpointUpdatesApplied(kind != delta);
  if (kind != cached) instance.subscription.onAnswered();
}

const std::vector<float> &Adapter::readLoadReport(Reader &in) {
  loadReport_.resize(in.u8());
  for (auto &value : loadReport_) value = in.f32();
  return loadReport_;
}

void Adapter::onProbeFinished(Reader &in) {
  auto &instance = currentInstance(in);
  auto &endpoint = readEndpoint(in);
  decodeOutcome(in.u8(), in);
  in.u32();
  if (const auto &values = readLoadReport(in); !values.empty())
    instance.policy.onLoadReport(endpoint, values, now_);
}

void Adapter::onPeerMessage(Reader &in) {
  auto &instance = currentInstance(in);
  const auto from = static_cast<int>(in.u32());
  const auto size = in.u16();
  const auto *bytes = in.bytes(size);
  const auto message = decodeGossip(bytes, size);
  if (!message) return instance.policy.onPeerMessage(from, bytes, size, now_);
  instance.gossip.onGossip(from, *message, now_, instance.random);
  for (const auto &observed : message->observations)
    for (auto &endpoint : instance.policy.endpoints())
      if (endpoint.fingerprint == observed.fingerprint)
        endpoint.health.peerSuspicionUntil = instance.gossip.suspectUntil(observed.fingerprint);
}

void Adapter::onRolloutState(Reader &in) {
  auto &instance = currentInstance(in);
  const bool isReply = in.u8() != 0;
  RolloutState state;
  state.stage = in.u8();
  state.age = Nanoseconds{in.u32()} * kMicrosecond;
  const auto reply = decodeVoteReply(in.u8(), in);
  state.phase = decodePhase(in.u8(), in);
  state.exposureCap = static_cast<double>(in.f32());
  state.build = in.u16();
  if (reply == VoteReply::accepted) instance.policy.onRolloutState(state, now_);
  if (isReply) instance.policy.onVoteReply(reply, now_);
}

void Adapter::onFailureCounts(Reader &in) {
  auto &instance = currentInstance(in);
  const auto failures = in.u32();
  const auto route = in.u8();
  const auto build = in.u16();
  const auto total = in.u32();
  in.u32();
  in.u32(); // the mean duration, which no decision uses
  instance.policy.onFailureCounts(build, route, failures, total, now_);
}

void Adapter::onWrongAnswer(Reader &in) {
  auto &instance = currentInstance(in);
  const auto &endpoint = readEndpoint(in);
  in.u8(); // the route
  instance.policy.onWrongAnswerReport(endpoint, Nanoseconds{in.u32()} * kMicrosecond, now_);
}

} // namespace myrtlehead::wire
