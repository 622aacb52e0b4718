// The program's log: one line for each change, as text or as JSON (one object a line), with a minimum level
// for each package, written without ever waiting for the reader. Lines that the reader is too slow for are
// dropped and counted.
#pragma once

#include <concepts>
#include <initializer_list>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace myrtlehead::log {

enum class Level { debug, info, warning, error };
enum class Format { text, json };

// nullopt where the word is no level.
std::optional<Level> parseLevel(std::string_view word);

// The minimum level that is written: for all packages, and for those that have one of their own.
struct Levels {
  Level defaultLevel = Level::info;
  std::vector<std::pair<std::string, Level>> byPackage;
  Level levelOf(std::string_view package) const;
};
// "info" or "info,endpoints=debug,names=warning"; nullopt where a word is no level.
std::optional<Levels> parseLevels(std::string_view text);

// A named value of a line. It keeps views: it is valid for as long as the call that it is passed to.
struct Field {
  enum Kind { integer, real, boolean, text };
  Field(std::string_view n, std::string_view v) : name(n), kind(text), string(v) {}
  Field(std::string_view n, const char *v) : name(n), kind(text), string(v) {}
  Field(std::string_view n, const std::string &v) : name(n), kind(text), string(v) {}
  Field(std::string_view n, bool v) : name(n), kind(boolean), whole(v) {}
  Field(std::string_view n, std::integral auto v)
      : name(n), kind(integer), whole(static_cast<long long>(v)) {}
  Field(std::string_view n, std::floating_point auto v) : name(n), kind(real), fraction(v) {}
  std::string_view name;
  Kind kind;
  std::string_view string; // of a text
  long long whole = 0;     // of an integer, or 0 and 1 of a boolean
  double fraction = 0;     // of a real
};

// Writes the lines of one package. Cheap to copy.
class Log {
public:
  using Fields = std::initializer_list<Field>;
  bool isEnabled(Level level) const { return level >= *minimum_; }
  void debug(std::string_view message, Fields fields = {}) const {
    writeIfEnabled(Level::debug, message, fields);
  }
  void info(std::string_view message, Fields fields = {}) const {
    writeIfEnabled(Level::info, message, fields);
  }
  void warning(std::string_view message, Fields fields = {}) const {
    writeIfEnabled(Level::warning, message, fields);
  }
  void error(std::string_view message, Fields fields = {}) const {
    writeIfEnabled(Level::error, message, fields);
  }

private:
  friend class LogOutput;
  struct Sink;
  void writeIfEnabled(Level level, std::string_view message, Fields fields) const {
    if (isEnabled(level)) write(level, message, fields);
  }
  void write(Level level, std::string_view message, Fields fields) const;
  std::shared_ptr<Sink> sink_;
  std::string package_;
  const Level *minimum_ = nullptr; // its package's; valid for as long as the sink
};

// Where the lines of all packages go.
class LogOutput {
public:
  // The descriptor stays the caller's.
  LogOutput(int fd, Format format, Levels levels);
  LogOutput(std::ostream &out, Format format, Levels levels);
  Log forPackage(std::string_view package) const;
  // For all packages' logs, from now on.
  void setLevels(Levels levels);
  unsigned long droppedLines() const; // since the start

private:
  std::shared_ptr<Log::Sink> sink_;
};

} // namespace myrtlehead::log
