#include "sim/wire/codec.h"

#include "app/bootstrap/deployment_decoder.h"

#include <algorithm>
#include <bit>

namespace myrtlehead::wire {

namespace {

constexpr std::size_t kFrameHeaderBytes = 12;    // count of records, length, batch number
constexpr std::size_t kUncountedHeaderBytes = 8; // the part of the header that the length leaves out
constexpr std::size_t kMaxTextBytes = 0xffff;
constexpr std::uint64_t kBroadcastTarget = 0xffffffff;
constexpr std::uint64_t kMaxMicroseconds = 0x7fffffffffffffffULL / kMicrosecond;
constexpr float kBuildLimit = 65536; // greater than any build number

// A code of the wire protocol and the value that it stands for.
template <class Value> struct CodeMapping {
  std::uint8_t code;
  Value value;
};

// The results of attempts and of votes.
constexpr CodeMapping<Outcome> kOutcomes[] = {
    {0, Outcome::succeeded},    {13, Outcome::failed}, {8, Outcome::rejected},  {4, Outcome::timedOut},
    {14, Outcome::unreachable}, {10, Outcome::reset},  {1, Outcome::cancelled}, {9, Outcome::notSent}};
constexpr CodeMapping<VoteReply> kVoteReplies[] = {{0, VoteReply::accepted},
                                                   {9, VoteReply::outdated},
                                                   {8, VoteReply::rateLimited},
                                                   {13, VoteReply::error},
                                                   {4, VoteReply::timedOut}};

// The encoded form of a duration: whole microseconds, limited to 32 bits.
std::uint32_t encodeDuration(Nanoseconds duration) {
  return static_cast<std::uint32_t>(std::clamp<Nanoseconds>(duration / kMicrosecond, 0, 0xffffffffLL));
}

} // namespace

float Reader::f32() { return std::bit_cast<float>(u32()); }

void Reader::fail(const std::string &what) const {
  throw WireError(what + " (at byte " + std::to_string(offset_) + " of the frame)");
}

const std::uint8_t *Reader::bytes(std::size_t size) {
  if (size > remaining())
    fail("truncated frame: " + std::to_string(size) + " bytes expected, " + std::to_string(remaining()) +
         " remain");
  offset_ += size;
  return data_ + offset_ - size;
}

std::uint64_t Reader::number(std::size_t size) {
  const auto *from = bytes(size);
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < size; ++i) value = value << 8 | from[i];
  return value;
}

BatchHeader readBatchHeader(Reader &in) {
  BatchHeader header;
  const auto clock = in.u64();
  if (clock > kMaxMicroseconds)
    in.fail("the clock of the batch is out of range: " + std::to_string(clock) + " microseconds");
  header.now = static_cast<Nanoseconds>(clock) * kMicrosecond;
  header.recordCount = in.u32();
  header.batchNumber = in.u32();
  if (header.recordCount > in.remaining())
    in.fail("the batch is too short for its " + std::to_string(header.recordCount) + " records");
  return header;
}

void Writer::beginRecord(outbound::Code code) {
  buffer_.push_back(code);
  ++recordCount_;
}

void Writer::writeNumber(std::uint64_t value, std::size_t size) {
  while (size-- > 0) buffer_.push_back(static_cast<std::uint8_t>(value >> (8 * size)));
}

void Writer::writeText(std::string_view text) {
  text = text.substr(0, kMaxTextBytes);
  writeNumber(text.size(), 2);
  buffer_.insert(buffer_.end(), text.begin(), text.end());
}

void Writer::sendAttempt(std::uint64_t request, Nanoseconds timeout, EndpointId endpoint) {
  beginRecord(outbound::sendAttempt);
  writeNumber(request, 8);
  writeNumber(encodeDuration(timeout), 4);
  writeNumber(endpoint, 6);
}

void Writer::cancelAttempt(std::uint64_t request, std::uint8_t attempt) {
  beginRecord(outbound::cancelAttempt);
  writeNumber(request, 8);
  writeNumber(attempt, 1);
}

void Writer::shedRequest(std::uint64_t request, Nanoseconds retryAfter) {
  beginRecord(outbound::shedRequest);
  writeNumber(request, 8);
  writeNumber(encodeDuration(retryAfter), 4);
}

void Writer::failRequest(std::uint64_t request) {
  beginRecord(outbound::failRequest);
  writeNumber(request, 8);
}

void Writer::setTimer(Nanoseconds delay, std::uint64_t timer) {
  beginRecord(outbound::setTimer);
  writeNumber(encodeDuration(delay), 4);
  writeNumber(timer, 8);
}

void Writer::touch(EndpointId endpoint) {
  beginRecord(outbound::touch);
  writeNumber(endpoint, 6);
}

void Writer::watchEndpointList() {
  beginRecord(outbound::watchEndpointList);
  writeNumber(1, 1);
}

void Writer::fetchEndpointList() { beginRecord(outbound::fetchEndpointList); }

void Writer::closeIdleConnections(EndpointId endpoint) {
  beginRecord(outbound::closeIdleConnections);
  writeNumber(endpoint, 6);
}

void Writer::sendPeerMessage(int to, const std::vector<std::uint8_t> &bytes) {
  beginRecord(outbound::peerMessage);
  writeNumber(to < 0 ? kBroadcastTarget : static_cast<std::uint64_t>(to), 4);
  writeNumber(bytes.size(), 2);
  buffer_.insert(buffer_.end(), bytes.begin(), bytes.end());
}

void Writer::castVote(const Vote &vote) {
  beginRecord(outbound::vote);
  writeNumber(static_cast<std::uint64_t>(vote.stage), 1);
  writeNumber(static_cast<std::uint64_t>(vote.verdict), 1);
  writeNumber(static_cast<std::uint64_t>(vote.build), 2);
}

void Writer::log(std::string_view text) {
  beginRecord(outbound::logLine);
  writeText(text);
}

void Writer::exception(std::string_view text) {
  beginRecord(outbound::exception);
  writeText(text);
}

void Frame::begin(std::uint32_t batchNumber) {
  buffer_.assign(kFrameHeaderBytes, 0);
  recordCount_ = 0;
  batchNumber_ = batchNumber;
}

void Frame::add(std::uint32_t instance, Writer &writer) {
  if (writer.recordCount_ == 0) return;
  buffer_.push_back(outbound::selectInstance);
  for (int shift = 24; shift >= 0; shift -= 8)
    buffer_.push_back(static_cast<std::uint8_t>(instance >> shift));
  buffer_.insert(buffer_.end(), writer.buffer_.begin(), writer.buffer_.end());
  recordCount_ += 1 + writer.recordCount_;
  writer.buffer_.clear();
  writer.recordCount_ = 0;
}

const std::vector<std::uint8_t> &Frame::finish() {
  const std::uint32_t header[3] = {
      recordCount_, static_cast<std::uint32_t>(buffer_.size() - kUncountedHeaderBytes), batchNumber_};
  for (std::size_t i = 0; i < kFrameHeaderBytes; ++i)
    buffer_[i] = static_cast<std::uint8_t>(header[i / 4] >> (8 * (3 - i % 4)));
  return buffer_;
}

Outcome decodeOutcome(std::uint8_t code, const Reader &in) {
  for (const auto &entry : kOutcomes)
    if (entry.code == code) return entry.value;
  in.fail("unknown code of an outcome: " + std::to_string(code));
}

VoteReply decodeVoteReply(std::uint8_t code, const Reader &in) {
  for (const auto &entry : kVoteReplies)
    if (entry.code == code) return entry.value;
  in.fail("unknown code of a vote reply: " + std::to_string(code));
}

RolloutPhase decodePhase(std::uint8_t code, const Reader &in) {
  if (code > 3) in.fail("unknown code of a rollout phase: " + std::to_string(code));
  return static_cast<RolloutPhase>(code);
}

EndpointInfo readEndpointInfo(Reader &in, EndpointId &endpoint) {
  EndpointInfo info;
  const float build = in.f32();
  if (!(build >= 0 && build < kBuildLimit))
    in.fail("a build number in the endpoint list is out of range: " + std::to_string(build));
  info.build = static_cast<int>(build);
  const auto start = in.u64();
  if (start > kMaxMicroseconds)
    in.fail("a start time in the endpoint list is out of range: " + std::to_string(start) + " microseconds");
  info.startedAt = static_cast<Nanoseconds>(start) * kMicrosecond;
  info.cell = in.u16();
  const auto mode = in.u8();
  if (mode > 2) in.fail("unknown code of an endpoint state: " + std::to_string(mode));
  info.state = mode == 2 ? EndpointState::ready : mode == 0 ? EndpointState::draining : EndpointState::gone;
  info.zone = in.u8();
  in.f32(); // the size of the machine, which no decision uses
  in.u16(); // the kind of the machine, which no decision uses
  endpoint = in.endpointId();
  return info;
}

Deployment readDeployment(std::string_view text) {
  try {
    return bootstrap::readDeployment(bootstrap::ConfigPaths::fromLines(text));
  } catch (const bootstrap::ConfigError &error) {
    throw WireError(error.what());
  }
}

} // namespace myrtlehead::wire
