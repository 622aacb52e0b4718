// The one buffer of a connection: filled at its end, parsed at its front, compacted in place, grown as
// needed.
#pragma once

#include <algorithm>
#include <cstring>
#include <span>
#include <string_view>
#include <vector>

namespace myrtlehead::net {

class Buffer {
public:
  // The bytes it contains; valid until it is changed.
  std::string_view view() const { return {bytes_.data() + begin_, end_ - begin_}; }
  bool empty() const { return begin_ == end_; }

  // Removes the first `count` bytes.
  void consume(std::size_t count) {
    begin_ += count;
    if (begin_ < end_) return;
    begin_ = 0;
    end_ = 0;
  }

  // Free space of at least `least` bytes behind the content; commit() makes part of it content.
  std::span<char> prepare(std::size_t least) {
    if (bytes_.size() - end_ < least && begin_ > 0) {
      std::memmove(bytes_.data(), bytes_.data() + begin_, end_ - begin_);
      end_ -= begin_;
      begin_ = 0;
    }
    if (bytes_.size() - end_ < least) bytes_.resize(std::max(end_ + least, 2 * bytes_.size()));
    return {bytes_.data() + end_, bytes_.size() - end_};
  }
  void commit(std::size_t count) { end_ += count; }

  // Frees the memory of an empty buffer that has grown beyond `limit` bytes for a large message.
  void shrink(std::size_t limit) {
    if (empty() && bytes_.size() > limit) std::vector<char>().swap(bytes_);
  }

private:
  std::vector<char> bytes_;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
};

} // namespace myrtlehead::net
