// The one buffer of a connection: read at its end, parsed at its front, compacted in place, grown as needed.
#pragma once

#include <cstring>
#include <span>
#include <string_view>
#include <vector>

namespace myrtlehead::net {

class Buffer {
public:
  std::string_view view() const { return {bytes_.data() + begin_, end_ - begin_}; }
  bool empty() const { return begin_ == end_; }

  void consume(std::size_t n) {
    begin_ += n;
    if (begin_ == end_) begin_ = end_ = 0;
  }

  // Free space of at least `least` bytes behind what is held.
  std::span<char> room(std::size_t least) {
    if (bytes_.size() - end_ < least && begin_ > 0) {
      std::memmove(bytes_.data(), bytes_.data() + begin_, end_ - begin_);
      end_ -= begin_;
      begin_ = 0;
    }
    if (bytes_.size() - end_ < least) bytes_.resize(std::max(end_ + least, 2 * bytes_.size()));
    return {bytes_.data() + end_, bytes_.size() - end_};
  }
  void filled(std::size_t n) { end_ += n; }

  // Gives back what a large message has taken.
  void shrink(std::size_t most) {
    if (empty() && bytes_.size() > most) std::vector<char>().swap(bytes_);
  }

private:
  std::vector<char> bytes_;
  std::size_t begin_ = 0, end_ = 0;
};

} // namespace myrtlehead::net
