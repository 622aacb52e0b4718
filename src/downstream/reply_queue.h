// The answers of one client connection, in the order of its commands. A complete answer is kept until all
// answers ahead of it are complete. No I/O.
#pragma once

#include "base/net/memory_budget.h"

#include <deque>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace myrtlehead::downstream {

// The ids of the open requests of all connections.
using OpenRequestIds = std::set<std::string, std::less<>>;

// Holds a request id open from the start of the request until its answer has been written. The destructor
// removes the id from the set.
class OpenRequestId {
public:
  OpenRequestId() = default;
  OpenRequestId(OpenRequestIds &openIds, OpenRequestIds::iterator position)
      : openIds_(&openIds), position_(position) {}
  OpenRequestId(OpenRequestId &&other) noexcept
      : openIds_(std::exchange(other.openIds_, nullptr)), position_(other.position_) {}
  OpenRequestId &operator=(OpenRequestId &&other) noexcept {
    std::swap(openIds_, other.openIds_);
    std::swap(position_, other.position_);
    return *this;
  }
  ~OpenRequestId() {
    if (openIds_ != nullptr) openIds_->erase(position_);
  }

  bool equals(std::string_view id) const { return openIds_ != nullptr && *position_ == id; }

private:
  OpenRequestIds *openIds_ = nullptr;
  OpenRequestIds::iterator position_;
};

// The answer to one request, and the bytes that follow it up to the next request's answer.
struct PendingReply {
  bool isComplete = false;
  std::string text;
  std::string trailingText;      // answers to later messages that are not forwarded to an endpoint
  net::MemoryReservation memory; // reserved for a large answer until it has been written
  OpenRequestId id;
};

// Whether one of the replies answers the request with this id.
bool hasId(const std::deque<PendingReply> &replies, std::string_view id);

// Whether one of the replies holds memory for a large answer.
bool holdsMemory(const std::deque<PendingReply> &replies);

// Bytes to be written, and the replies whose memory and ids are released after the write.
struct WriteBatch {
  std::string text;
  std::deque<PendingReply> replies;
};

class ReplyQueue {
public:
  // Adds the reply of a request that is started. Its address is stable until takeComplete() removes it.
  PendingReply &addReply() { return replies_.emplace_back(); }
  // The string to which the answer to a message is appended if the message is not forwarded to an endpoint.
  std::string &tail() { return replies_.empty() ? leadingText_ : replies_.back().trailingText; }
  // Whether takeComplete() would return any bytes.
  bool hasBytesToWrite() const {
    return !leadingText_.empty() || (!replies_.empty() && replies_.front().isComplete);
  }
  // Removes and returns what may be written next: replies up to the first incomplete one, or a single large
  // one.
  WriteBatch takeComplete();
  // Whether no reply is ahead of this one, which must be in the queue.
  bool isFirst(const PendingReply &reply) const { return &replies_.front() == &reply; }
  // Whether a large answer in the queue holds memory.
  bool holdsMemory() const { return downstream::holdsMemory(replies_); }
  bool hasId(std::string_view id) const { return downstream::hasId(replies_, id); }
  // The total size of all answers in the queue, in bytes.
  std::size_t byteCount() const;

private:
  std::string leadingText_; // precedes all replies
  std::deque<PendingReply> replies_;
};

} // namespace myrtlehead::downstream
