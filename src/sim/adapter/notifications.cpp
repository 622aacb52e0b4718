// What an instance is notified of: its settings, endpoint lists, rollout states and messages of peers.
#include "adapter.h"

namespace myrtlehead::wire {

namespace {

constexpr std::size_t kListEntrySize = 28; // bytes
constexpr std::uint64_t kFingerprints = 0xffff;

// Kinds of a directory update.
enum ListUpdateKind : std::uint8_t { delta = 0, full = 1, cached = 2, failed = 3 };

} // namespace

void Adapter::onSpawn(Reader &in) {
  const auto seed = in.u64();
  const auto size = in.u32();
  const auto *text = in.bytes(size);
  if (index_ < 0) in.fail("a record before any On");
  auto deployment = readDeployment({reinterpret_cast<const char *>(text), size});
  auto fresh = std::make_unique<Instance>(std::move(deployment), seed, now_);
  instance_ = fresh.get();
  instances_[static_cast<std::uint32_t>(index_)] = std::move(fresh);
  current(in);
}

void Adapter::onDirectory(Reader &in) {
  const auto list = in.u16();
  const auto count = in.u32();
  if (list >= kLists) in.fail("list number " + std::to_string(list) + " is above 15");
  if (count > in.left() / kListEntrySize)
    in.fail("impossible count of list entries: " + std::to_string(count));
  lists_[list].resize(count);
  for (auto &entry : lists_[list]) entry.info = readEndpointInfo(in, entry.endpoint);
}

void Adapter::onDirectoryUpdate(Reader &in) {
  auto &instance = current(in);
  const auto kind = in.u8();
  in.u64(); // the version: events already come in its order
  const auto list = in.u16();
  if (kind > failed) in.fail("unknown kind of list update " + std::to_string(kind));
  if (kind == failed) // failures bear no mark of their call
    return instance.subscription.onClosed(CallEnd::rejected, OtherCalls::none, now_,
                                          drawUniform(instance.random));
  if (list >= kLists) in.fail("list number " + std::to_string(list) + " is above 15");
  for (const auto &entry : lists_[list]) {
    auto &known = instance.endpoints[entry.endpoint];
    if (known == nullptr) {
      known = &instance.policy.addEndpoint();
      known->id = entry.endpoint;
      known->fingerprint = static_cast<std::uint16_t>(1 + entry.endpoint % kFingerprints);
    }
    if (known->info.build != entry.info.build || known->info.startedAt != entry.info.startedAt) {
      instance.gossip.onEndpointReplaced(known->fingerprint);
      known->health.peerSuspicionUntil = 0;
    }
    instance.policy.onEndpointUpdate(*known, entry.info, now_);
  }
  instance.policy.onEndpointListComplete(kind != delta);
  if (kind != cached) instance.subscription.onAnswered();
}

const std::vector<float> &Adapter::readLoadReport(Reader &in) {
  loadReport_.resize(in.u8());
  for (auto &value : loadReport_) value = in.f32();
  return loadReport_;
}

void Adapter::onProbeDone(Reader &in) {
  auto &instance = current(in);
  auto &endpoint = readEndpoint(in);
  outcomeOf(in.u8(), in);
  in.u32();
  if (const auto &values = readLoadReport(in); !values.empty())
    instance.policy.onLoadReport(endpoint, values, now_);
}

void Adapter::onPeer(Reader &in) {
  auto &instance = current(in);
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

void Adapter::onPromotion(Reader &in) {
  auto &instance = current(in);
  const bool isReply = in.u8() != 0;
  RolloutState state;
  state.stage = in.u8();
  state.age = Nanoseconds{in.u32()} * kMicrosecond;
  const auto reply = replyOf(in.u8(), in);
  state.phase = phaseOf(in.u8(), in);
  state.exposureCap = static_cast<double>(in.f32());
  state.build = in.u16();
  if (reply == VoteReply::accepted) instance.policy.onRolloutState(state, now_);
  if (isReply) instance.policy.onVoteReply(reply, now_);
}

void Adapter::onSampled(Reader &in) {
  auto &instance = current(in);
  const auto failures = in.u32();
  const auto route = in.u8();
  const auto build = in.u16();
  const auto total = in.u32();
  in.u32();
  in.u32(); // the mean time sways no decision
  instance.policy.onFailureCounts(build, route, failures, total, now_);
}

void Adapter::onReturned(Reader &in) {
  auto &instance = current(in);
  const auto &endpoint = readEndpoint(in);
  in.u8(); // the route
  instance.policy.onWrongAnswerReport(endpoint, Nanoseconds{in.u32()} * kMicrosecond, now_);
}

} // namespace myrtlehead::wire
