// The answers of one connection, in the order of its commands: an answer that is complete is kept until all
// those ahead of it are. Plain state, no I/O.
#pragma once

#include "base/net/memory_budget.h"

#include <deque>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace myrtlehead::downstream {

// The ids of all requests that are open, of all connections.
using OpenIds = std::set<std::string, std::less<>>;

// An id that is open from its request's start until its answer has been written; removed when it is
// destroyed.
class OpenId {
public:
  OpenId() = default;
  OpenId(OpenIds &all, OpenIds::iterator position) : all_(&all), position_(position) {}
  OpenId(OpenId &&other) noexcept : all_(std::exchange(other.all_, nullptr)), position_(other.position_) {}
  OpenId &operator=(OpenId &&other) noexcept {
    std::swap(all_, other.all_);
    std::swap(position_, other.position_);
    return *this;
  }
  ~OpenId() {
    if (all_ != nullptr) all_->erase(position_);
  }

  bool is(std::string_view id) const { return all_ != nullptr && *position_ == id; }

private:
  OpenIds *all_ = nullptr;
  OpenIds::iterator position_;
};

// The answer to one request, and what follows it up to the next request's.
struct PendingReply {
  bool isComplete = false;
  std::string text;
  std::string after;             // answers to messages behind the request that no endpoint is asked for
  net::MemoryReservation memory; // of a large answer, until it has been written
  OpenId id;
};

// Whether one of them answers the request with this id.
bool hasId(const std::deque<PendingReply> &replies, std::string_view id);

// Bytes to be written, with what is released once that is done.
struct Batch {
  std::string text;
  std::deque<PendingReply> replies;
};

class ReplyQueue {
public:
  // The reply to a request that is started. It keeps its address until takeComplete() takes it.
  PendingReply &add() { return replies_.emplace_back(); }
  // Where the answer to a message is appended that no endpoint is asked for.
  std::string &tail() { return replies_.empty() ? text_ : replies_.back().after; }
  bool mayWrite() const { return !text_.empty() || (!replies_.empty() && replies_.front().isComplete); }
  // Removes all that may be written.
  Batch takeComplete();
  bool hasId(std::string_view id) const { return downstream::hasId(replies_, id); }
  // Of all answers that it contains.
  std::size_t bytes() const;

private:
  std::string text_; // ahead of all replies
  std::deque<PendingReply> replies_;
};

} // namespace myrtlehead::downstream
