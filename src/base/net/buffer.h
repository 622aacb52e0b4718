// The receive buffer of a connection. Bytes are appended at the end and consumed at the front. The buffer
// compacts its content in place and grows if the free space does not suffice.
#pragma once

#include <algorithm>
#include <cstring>
#include <span>
#include <string_view>
#include <vector>

namespace myrtlehead::net {

class Buffer {
public:
  // The content. The view is valid until the buffer changes.
  std::string_view view() const { return {bytes_.data() + begin_, end_ - begin_}; }
  bool empty() const { return begin_ == end_; }

  // Removes the first `count` bytes.
  void consume(std::size_t count) {
    begin_ += count;
    if (begin_ < end_) return;
    begin_ = 0;
    end_ = 0;
  }

  // Returns free space of at least `minBytes` bytes after the content. The caller writes to the space and
  // then calls commit() with the number of bytes written.
  std::span<char> prepare(std::size_t minBytes) {
    if (bytes_.size() - end_ < minBytes && begin_ > 0) {
      std::memmove(bytes_.data(), bytes_.data() + begin_, end_ - begin_);
      end_ -= begin_;
      begin_ = 0;
    }
    if (bytes_.size() - end_ < minBytes) bytes_.resize(std::max(end_ + minBytes, 2 * bytes_.size()));
    return {bytes_.data() + end_, bytes_.size() - end_};
  }
  // Makes the capacity at least `capacity` bytes, and exactly that if the buffer has to grow.
  void reserve(std::size_t capacity) {
    if (bytes_.size() < capacity) bytes_.resize(capacity);
  }
  // Appends the first `count` bytes of the prepared space to the content.
  void commit(std::size_t count) { end_ += count; }

  // Reduces the capacity if it exceeds `maxBytes` and the content does not, as after a large message.
  void shrink(std::size_t maxBytes) {
    const auto content = view();
    if (bytes_.size() <= maxBytes || content.size() > maxBytes) return;
    std::vector<char>(content.begin(), content.end()).swap(bytes_);
    begin_ = 0;
    end_ = bytes_.size();
  }

private:
  std::vector<char> bytes_;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
};

} // namespace myrtlehead::net
