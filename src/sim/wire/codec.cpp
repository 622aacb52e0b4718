#include "sim/wire/codec.h"

#include "app/bootstrap/deployment_decoder.h"

#include <algorithm>
#include <bit>

namespace myrtlehead::wire {

namespace {

constexpr std::size_t kFrameHeadBytes = 12;    // count of records, length, number of the batch
constexpr std::size_t kUncountedHeadBytes = 8; // of the head, that the length does not count
constexpr std::size_t kMaxTextBytes = 0xffff;
constexpr std::uint64_t kToAllPeers = 0xffffffff;
constexpr std::uint64_t kMaxMicroseconds = 0x7fffffffffffffffULL / kMicrosecond;
constexpr float kEndOfBuilds = 65536;

// A code of the wire and the code's term for it.
template <class Term> struct Code {
  std::uint8_t code;
  Term term;
};

// What an attempt and a vote came to.
constexpr Code<Outcome> kOutcomes[] = {
    {0, Outcome::succeeded},    {13, Outcome::failed}, {8, Outcome::rejected},  {4, Outcome::timedOut},
    {14, Outcome::unreachable}, {10, Outcome::reset},  {1, Outcome::cancelled}, {9, Outcome::notSent}};
constexpr Code<VoteReply> kVoteReplies[] = {{0, VoteReply::accepted},
                                            {9, VoteReply::outdated},
                                            {8, VoteReply::rateLimited},
                                            {13, VoteReply::error},
                                            {4, VoteReply::timedOut}};

// As the wire has durations: whole microseconds that fit 32 bits.
std::uint32_t microseconds(Nanoseconds time) {
  return static_cast<std::uint32_t>(std::clamp<Nanoseconds>(time / kMicrosecond, 0, 0xffffffffLL));
}

} // namespace

float Reader::f32() { return std::bit_cast<float>(u32()); }

void Reader::fail(const std::string &what) const {
  throw WireError(what + " (at byte " + std::to_string(at_) + " of the frame)");
}

const std::uint8_t *Reader::bytes(std::size_t n) {
  if (n > left())
    fail("truncated: " + std::to_string(n) + " bytes wanted, " + std::to_string(left()) + " left");
  at_ += n;
  return data_ + at_ - n;
}

std::uint64_t Reader::number(std::size_t n) {
  const auto *p = bytes(n);
  std::uint64_t v = 0;
  for (std::size_t i = 0; i < n; ++i) v = v << 8 | p[i];
  return v;
}

BatchHead readHead(Reader &in) {
  BatchHead h;
  const auto clock = in.u64();
  if (clock > kMaxMicroseconds) in.fail("the clock is out of range");
  h.now = static_cast<Nanoseconds>(clock) * kMicrosecond;
  h.records = in.u32();
  h.number = in.u32();
  if (h.records > in.left()) in.fail("impossible count of records: " + std::to_string(h.records));
  return h;
}

void Writer::record(go::Code code) {
  buf_.push_back(code);
  ++records_;
}

void Writer::number(std::uint64_t v, std::size_t n) {
  while (n-- > 0) buf_.push_back(static_cast<std::uint8_t>(v >> (8 * n)));
}

void Writer::text(std::string_view s) {
  s = s.substr(0, kMaxTextBytes);
  number(s.size(), 2);
  buf_.insert(buf_.end(), s.begin(), s.end());
}

void Writer::submit(std::uint64_t request, Nanoseconds timeout, EndpointId endpoint) {
  record(go::submitTo);
  number(request, 8);
  number(microseconds(timeout), 4);
  number(endpoint, 6);
}

void Writer::withdraw(std::uint64_t request, std::uint8_t attempt) {
  record(go::withdraw);
  number(request, 8);
  number(attempt, 1);
}

void Writer::busy(std::uint64_t request, Nanoseconds retryAfter) {
  record(go::busy);
  number(request, 8);
  number(microseconds(retryAfter), 4);
}

void Writer::error(std::uint64_t request) {
  record(go::error);
  number(request, 8);
}

void Writer::wake(Nanoseconds in, std::uint64_t timer) {
  record(go::wakeAt);
  number(microseconds(in), 4);
  number(timer, 8);
}

void Writer::touch(EndpointId endpoint) {
  record(go::touch);
  number(endpoint, 6);
}

void Writer::watch() {
  record(go::watch);
  number(1, 1);
}

void Writer::getList() { record(go::getList); }

void Writer::shutIdle(EndpointId endpoint) {
  record(go::shutIdle);
  number(endpoint, 6);
}

void Writer::peer(int to, const std::vector<std::uint8_t> &bytes) {
  record(go::writePeer);
  number(to < 0 ? kToAllPeers : static_cast<std::uint64_t>(to), 4);
  number(bytes.size(), 2);
  buf_.insert(buf_.end(), bytes.begin(), bytes.end());
}

void Writer::opinion(const Vote &vote) {
  record(go::opinion);
  number(static_cast<std::uint64_t>(vote.stage), 1);
  number(static_cast<std::uint64_t>(vote.verdict), 1);
  number(static_cast<std::uint64_t>(vote.build), 2);
}

void Writer::log(std::string_view s) {
  record(go::writeLog);
  text(s);
}

void Writer::exception(std::string_view s) {
  record(go::exception);
  text(s);
}

void Frame::begin(std::uint32_t batch) {
  buf_.assign(kFrameHeadBytes, 0);
  records_ = 0;
  batch_ = batch;
}

void Frame::add(std::uint32_t instance, Writer &records) {
  if (records.records_ == 0) return;
  buf_.push_back(go::as);
  for (int shift = 24; shift >= 0; shift -= 8) buf_.push_back(static_cast<std::uint8_t>(instance >> shift));
  buf_.insert(buf_.end(), records.buf_.begin(), records.buf_.end());
  records_ += 1 + records.records_;
  records.buf_.clear();
  records.records_ = 0;
}

const std::vector<std::uint8_t> &Frame::bytes() {
  const std::uint32_t head[3] = {records_, static_cast<std::uint32_t>(buf_.size() - kUncountedHeadBytes),
                                 batch_};
  for (std::size_t i = 0; i < kFrameHeadBytes; ++i)
    buf_[i] = static_cast<std::uint8_t>(head[i / 4] >> (8 * (3 - i % 4)));
  return buf_;
}

Outcome outcomeOf(std::uint8_t code, const Reader &in) {
  for (const auto &entry : kOutcomes)
    if (entry.code == code) return entry.term;
  in.fail("unknown outcome " + std::to_string(code));
}

VoteReply replyOf(std::uint8_t code, const Reader &in) {
  for (const auto &entry : kVoteReplies)
    if (entry.code == code) return entry.term;
  in.fail("unknown answer to a vote " + std::to_string(code));
}

RolloutPhase phaseOf(std::uint8_t code, const Reader &in) {
  if (code > 3) in.fail("unknown phase " + std::to_string(code));
  return static_cast<RolloutPhase>(code);
}

EndpointInfo readEndpointInfo(Reader &in, EndpointId &endpoint) {
  EndpointInfo info;
  const float build = in.f32();
  if (!(build >= 0 && build < kEndOfBuilds)) in.fail("impossible build number in a list");
  info.build = static_cast<int>(build);
  const auto start = in.u64();
  if (start > kMaxMicroseconds) in.fail("impossible start time in a list");
  info.startedAt = static_cast<Nanoseconds>(start) * kMicrosecond;
  info.cell = in.u16();
  const auto mode = in.u8();
  if (mode > 2) in.fail("unknown mode of a node " + std::to_string(mode));
  info.state = mode == 2 ? EndpointState::ready : mode == 0 ? EndpointState::draining : EndpointState::gone;
  info.zone = in.u8();
  in.f32(); // its size and, below, its kind: no decision depends on them
  in.u16();
  endpoint = in.endpointId();
  return info;
}

Deployment readDeployment(std::string_view text) {
  try {
    return bootstrap::readDeployment(bootstrap::ConfigPaths::fromLines(text));
  } catch (const bootstrap::ConfigError &e) {
    throw WireError(e.what());
  }
}

} // namespace myrtlehead::wire
