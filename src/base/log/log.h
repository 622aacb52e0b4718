// The program's log: lines through an iostream, filtered by level, written without ever waiting for the
// reader.
#pragma once

#include <optional>
#include <ostream>
#include <streambuf>
#include <string>
#include <string_view>

namespace myrtlehead::log {

enum class Level { debug, info, warning, error };
std::optional<Level> parseLevel(std::string_view word);

// Passes whole lines to a descriptor, and drops them (counted) where the reader is behind.
class LineBuffer : public std::streambuf {
public:
  explicit LineBuffer(int fd) : fd_(fd) {}

protected:
  int overflow(int c) override;
  std::streamsize xsputn(const char *s, std::streamsize n) override;
  int sync() override;

private:
  bool send(std::string_view line);
  int fd_;
  std::string line_;
  unsigned long dropped_ = 0;
};

class Log {
public:
  Log(std::ostream &out, Level least) : out_(out), least_(least) {}
  bool passes(Level level) const { return level >= least_; }
  template <class... A> void debug(const A &...a) { line(Level::debug, a...); }
  template <class... A> void info(const A &...a) { line(Level::info, a...); }
  template <class... A> void warning(const A &...a) { line(Level::warning, a...); }
  template <class... A> void error(const A &...a) { line(Level::error, a...); }

private:
  template <class... A> void line(Level level, const A &...a) {
    constexpr const char *kWords[] = {"debug", "info", "warning", "error"};
    if (!passes(level)) return;
    out_ << kWords[static_cast<int>(level)] << ": ";
    (out_ << ... << a) << '\n' << std::flush;
  }
  std::ostream &out_;
  Level least_;
};

} // namespace myrtlehead::log
