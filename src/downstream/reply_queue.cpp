#include "downstream/reply_queue.h"

#include <algorithm>
#include <utility>

namespace myrtlehead::downstream {

namespace {
constexpr std::size_t kMaxJoinedBytes = 16 * 1024; // of a batch with several replies
}

bool hasId(const std::deque<PendingReply> &replies, std::string_view id) {
  return std::any_of(replies.begin(), replies.end(),
                     [id](const PendingReply &reply) { return reply.id.equals(id); });
}

bool holdsMemory(const std::deque<PendingReply> &replies) {
  return std::ranges::any_of(replies, [](const auto &reply) { return reply.memory.isAcquired(); });
}

WriteBatch ReplyQueue::takeComplete() {
  WriteBatch out;
  out.text = std::exchange(leadingText_, {});
  while (!replies_.empty() && replies_.front().isComplete) {
    auto &reply = replies_.front();
    const auto size = out.text.size() + reply.text.size() + reply.trailingText.size();
    if (!out.text.empty() && size > kMaxJoinedBytes) break; // without a second copy of a large answer
    if (out.text.empty())
      out.text = std::move(reply.text);
    else
      out.text += reply.text;
    out.text += reply.trailingText;
    out.replies.push_back(std::move(reply));
    replies_.pop_front();
  }
  return out;
}

std::size_t ReplyQueue::byteCount() const {
  std::size_t out = leadingText_.size();
  for (const auto &reply : replies_) out += reply.text.size() + reply.trailingText.size();
  return out;
}

} // namespace myrtlehead::downstream
