// Codec of the simulator's wire protocol: reads batches with bounds checks, writes replies, and reads the
// deployment's settings. The names and codes of the protocol are used only here and in the adapter. All
// integers are big-endian.
#pragma once

#include "policy/deployment.h"
#include "policy/request.h"
#include "policy/rollout_types.h"

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace myrtlehead::wire {

// Malformed input. what() tells the fault and its position.
struct WireError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Codes of the records that come in and of those that go out. Each comment gives the name of the record in
// the wire protocol.
namespace inbound {
enum Code : std::uint8_t {
  startInstance = 16, // Spawn
  endpointListUpdate, // DirectoryUpdate
  newRequest,         // NewRequest
  answerStarted,      // Begun
  attemptFinished,    // Done
  clientDisconnected, // Gone
  timerFired,         // Timer
  probeFinished,      // ProbeDone
  peerMessage,        // Peer
  instanceKilled,     // Killed
  rolloutState,       // Promotion
  failureCounts,      // Sampled
  wrongAnswer,        // Returned
  endpointList,       // Directory
  selectInstance      // On
};
} // namespace inbound
namespace outbound {
enum Code : std::uint8_t {
  touch = 16,           // Touch
  vote,                 // Opinion
  exception,            // Exception
  cancelAttempt,        // Withdraw
  sendAttempt,          // SubmitTo
  logLine,              // WriteLog
  fetchEndpointList,    // GetList
  selectInstance,       // As
  closeIdleConnections, // ShutIdle
  peerMessage,          // WritePeer
  shedRequest,          // Busy
  setTimer,             // WakeAt
  watchEndpointList,    // Watch
  failRequest           // Error
};
} // namespace outbound

using EndpointId = std::uint64_t; // 6 bytes: IPv4 address and port

// Reads the big-endian fields of one frame. Throws WireError instead of reading past its end.
class Reader {
public:
  Reader(const std::uint8_t *data, std::size_t size) : data_(data), size_(size) {}
  std::uint8_t u8() { return static_cast<std::uint8_t>(number(1)); }
  std::uint16_t u16() { return static_cast<std::uint16_t>(number(2)); }
  std::uint32_t u32() { return static_cast<std::uint32_t>(number(4)); }
  std::uint64_t u64() { return number(8); }
  float f32();
  EndpointId endpointId() { return number(6); }
  const std::uint8_t *bytes(std::size_t n);
  std::size_t offset() const { return offset_; }
  std::size_t remaining() const { return size_ - offset_; }
  // Throws a WireError that also tells the offset.
  [[noreturn]] void fail(const std::string &what) const;

private:
  std::uint64_t number(std::size_t n);
  const std::uint8_t *data_;
  std::size_t size_;
  std::size_t offset_ = 0;
};

struct BatchHeader {
  Nanoseconds now = 0;           // the simulator's clock
  std::uint32_t recordCount = 0; // records that follow the header
  std::uint32_t batchNumber = 0; // repeated in the reply
};
// Throws WireError if the clock or the count of records is out of range.
BatchHeader readBatchHeader(Reader &in);

// Writes the records of one instance in one reply. Durations are encoded in whole microseconds and limited to
// 32 bits.
class Writer {
public:
  void sendAttempt(std::uint64_t request, Nanoseconds timeout, EndpointId endpoint);
  void cancelAttempt(std::uint64_t request, std::uint8_t attempt);
  void shedRequest(std::uint64_t request, Nanoseconds retryAfter);
  void failRequest(std::uint64_t request);
  void setTimer(Nanoseconds delay, std::uint64_t timer);
  void touch(EndpointId endpoint);
  void watchEndpointList();
  void fetchEndpointList();
  void closeIdleConnections(EndpointId endpoint);
  // to: the index of the instance; negative: every other instance.
  void sendPeerMessage(int to, const std::vector<std::uint8_t> &bytes);
  void castVote(const Vote &vote);
  // Texts beyond 65535 bytes are cut off.
  void log(std::string_view text);
  void exception(std::string_view text);

private:
  friend class Frame;
  void beginRecord(outbound::Code code);
  void writeNumber(std::uint64_t value, std::size_t size);
  void writeText(std::string_view text);
  std::vector<std::uint8_t> buffer_;
  std::uint32_t recordCount_ = 0;
};

// Builds one reply: for each instance, a record that selects the instance, followed by its own records.
class Frame {
public:
  void begin(std::uint32_t batchNumber);
  // Moves the records out of the writer.
  void add(std::uint32_t instance, Writer &writer);
  // Completes the header and returns the whole frame.
  const std::vector<std::uint8_t> &finish();

private:
  std::vector<std::uint8_t> buffer_;
  std::uint32_t recordCount_ = 0;
  std::uint32_t batchNumber_ = 0;
};

// The decoders below throw WireError if a code is unknown or a value is out of range.
Outcome decodeOutcome(std::uint8_t code, const Reader &in);
VoteReply decodeVoteReply(std::uint8_t code, const Reader &in);
RolloutPhase decodePhase(std::uint8_t code, const Reader &in);
EndpointInfo readEndpointInfo(Reader &in, EndpointId &endpoint);
Deployment readDeployment(std::string_view text);

} // namespace myrtlehead::wire
