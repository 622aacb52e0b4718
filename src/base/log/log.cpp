#include "base/log/log.h"

#include <poll.h>
#include <unistd.h>

namespace myrtlehead::log {

namespace {
constexpr std::size_t kMostLine = 2000; // a pipe that polls writable takes this much at once
}

std::optional<Level> parseLevel(std::string_view word) {
  if (word == "debug") return Level::debug;
  if (word == "info") return Level::info;
  if (word == "warning") return Level::warning;
  if (word == "error") return Level::error;
  return std::nullopt;
}

int LineBuffer::overflow(int c) {
  if (c != traits_type::eof()) line_ += static_cast<char>(c);
  return c;
}

std::streamsize LineBuffer::xsputn(const char *s, std::streamsize n) {
  line_.append(s, static_cast<std::size_t>(n));
  return n;
}

bool LineBuffer::send(std::string_view line) {
  pollfd ready{fd_, POLLOUT, 0};
  if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) return false;
  return write(fd_, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

// Guards against a log reader that stands still: the marshal must not stand still with it.
int LineBuffer::sync() {
  if (line_.empty()) return 0;
  if (line_.size() > kMostLine) line_.replace(kMostLine - 4, std::string::npos, "...\n");
  for (auto &c : line_)
    if (static_cast<unsigned char>(c) < 0x20 && &c != &line_.back()) c = '?';
  const auto lost = "warning: " + std::to_string(dropped_) + " log lines dropped, the reader is behind\n";
  if (dropped_ > 0 && send(lost)) dropped_ = 0;
  if (dropped_ > 0 || !send(line_)) ++dropped_;
  line_.clear();
  return 0;
}

} // namespace myrtlehead::log
