// The answers of one connection, kept in the order of its commands: an answer that is complete is held until
// all those ahead of it are. Plain state, no I/O.
#pragma once

#include "base/net/memory_budget.h"

#include <deque>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace myrtlehead::downstream {

using OpenIds = std::set<std::string, std::less<>>;

// An id that is in use by a request, until its answer has been written.
class OpenId {
public:
  OpenId() = default;
  OpenId(OpenIds &all, OpenIds::iterator at) : all_(&all), at_(at) {}
  OpenId(OpenId &&other) noexcept : all_(std::exchange(other.all_, nullptr)), at_(other.at_) {}
  OpenId &operator=(OpenId &&other) noexcept {
    std::swap(all_, other.all_);
    std::swap(at_, other.at_);
    return *this;
  }
  ~OpenId() {
    if (all_ != nullptr) all_->erase(at_);
  }

  bool is(std::string_view id) const { return all_ != nullptr && *at_ == id; }

private:
  OpenIds *all_ = nullptr;
  OpenIds::iterator at_;
};

// The answer to one request, and what stands behind it up to the next request's.
struct PendingReply {
  bool complete = false;
  std::string text;
  std::string after;            // answers to messages behind the request that no endpoint is asked for
  net::MemoryReservation place; // of a large answer, until it has been written
  OpenId id;
};

// Whether it is the id of one of them.
bool holdsId(const std::deque<PendingReply> &replies, std::string_view id);

// What may be written, with what it holds until that is done.
struct Batch {
  std::string text;
  std::deque<PendingReply> replies;
};

class ReplyQueue {
public:
  // The reply to a request that has been taken up. It keeps its address until it is taken.
  PendingReply &add() { return replies_.emplace_back(); }
  // Where the answer to a message goes that no endpoint is asked for.
  std::string &tail() { return replies_.empty() ? text_ : replies_.back().after; }
  bool mayWrite() const { return !text_.empty() || (!replies_.empty() && replies_.front().complete); }
  Batch take(); // all that may be written
  bool holds(std::string_view id) const { return holdsId(replies_, id); }
  std::size_t bytes() const;

private:
  std::string text_; // ahead of all replies
  std::deque<PendingReply> replies_;
};

} // namespace myrtlehead::downstream
