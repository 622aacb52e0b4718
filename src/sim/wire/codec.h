// Codec of the simulator's wire: bounds-checked reading of batches, writing of replies, and the deployment's
// settings. The wire's names and codes end in this folder; all integers are big-endian.
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

// Malformed input; what() says what and where.
struct WireError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Codes of the records that come in and that go out, by the wire's names.
namespace in {
enum Code : std::uint8_t {
  spawn = 16,
  directoryUpdate,
  newRequest,
  begun,
  done,
  gone,
  timer,
  probeDone,
  peer,
  killed,
  promotion,
  sampled,
  returned,
  directory,
  on
};
}
namespace go {
enum Code : std::uint8_t {
  touch = 16,
  opinion,
  exception,
  withdraw,
  submitTo,
  writeLog,
  getList,
  as,
  shutIdle,
  writePeer,
  busy,
  wakeAt,
  watch,
  error
};
}

using EndpointId = std::uint64_t; // address and port

// Reads big-endian fields of one frame; never past its end.
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
  std::size_t at() const { return at_; }
  std::size_t left() const { return size_ - at_; }
  [[noreturn]] void fail(const std::string &what) const;

private:
  std::uint64_t number(std::size_t n);
  const std::uint8_t *data_;
  std::size_t size_;
  std::size_t at_ = 0;
};

struct BatchHead {
  Nanoseconds now = 0;       // the simulator's clock
  std::uint32_t records = 0; // how many follow
  std::uint32_t number = 0;  // the batch's, which the reply repeats
};
BatchHead readHead(Reader &in);

// The records of one instance in one reply. Durations are written in whole microseconds that fit 32 bits.
class Writer {
public:
  void submit(std::uint64_t request, Nanoseconds timeout, EndpointId endpoint);
  void withdraw(std::uint64_t request, std::uint8_t attempt);
  void busy(std::uint64_t request, Nanoseconds retryAfter);
  void error(std::uint64_t request);
  void wake(Nanoseconds in, std::uint64_t timer);
  void touch(EndpointId endpoint);
  void watch();
  void getList();
  void shutIdle(EndpointId endpoint);
  void peer(int to, const std::vector<std::uint8_t> &bytes);
  void opinion(const Vote &vote);
  void log(std::string_view text);
  void exception(std::string_view text);

private:
  friend class Frame;
  void record(go::Code code);
  void number(std::uint64_t v, std::size_t n);
  void text(std::string_view s);
  std::vector<std::uint8_t> buf_;
  std::uint32_t records_ = 0;
};

// One reply: for each instance a record that names it, and its own records behind that.
class Frame {
public:
  void begin(std::uint32_t batch);
  void add(std::uint32_t instance, Writer &records); // takes the records out of the writer
  const std::vector<std::uint8_t> &bytes();          // complete, header included

private:
  std::vector<std::uint8_t> buf_;
  std::uint32_t records_ = 0;
  std::uint32_t batch_ = 0;
};

// The decoders below throw WireError where a code is unknown or a value is out of range.
Outcome outcomeOf(std::uint8_t code, const Reader &in);
VoteReply replyOf(std::uint8_t code, const Reader &in);
RolloutPhase phaseOf(std::uint8_t code, const Reader &in);
EndpointInfo readEndpointInfo(Reader &in, EndpointId &endpoint);
Deployment readDeployment(std::string_view text);

} // namespace myrtlehead::wire
