// The program's log: one line for each change, as text or as JSON (one object a line), by levels of its own
// for each package, written without ever waiting for the reader. What the reader is too slow for is dropped
// and counted.
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
enum class Form { text, json };

std::optional<Level> parseLevel(std::string_view word);

// The least level written, for all packages and for those that have one of their own.
struct Levels {
  Level least = Level::info;
  std::vector<std::pair<std::string, Level>> byPackage;
  Level of(std::string_view package) const;
};
// "info" or "info,endpoints=debug,names=warning"; nullopt where a word is no level.
std::optional<Levels> parseLevels(std::string_view text);

// A figure or a word of a line. Holds views: it lives as long as the call that it is given to.
struct Field {
  enum Kind { whole, real, truth, words };
  Field(std::string_view n, std::string_view v) : name(n), kind(words), text(v) {}
  Field(std::string_view n, const char *v) : name(n), kind(words), text(v) {}
  Field(std::string_view n, const std::string &v) : name(n), kind(words), text(v) {}
  Field(std::string_view n, bool v) : name(n), kind(truth), number(v) {}
  Field(std::string_view n, std::integral auto v) : name(n), kind(whole), number(static_cast<long long>(v)) {}
  Field(std::string_view n, std::floating_point auto v) : name(n), kind(real), figure(v) {}
  std::string_view name;
  Kind kind;
  std::string_view text;
  long long number = 0;
  double figure = 0;
};

// One package's door to the log. Cheap to copy.
class Log {
public:
  using Fields = std::initializer_list<Field>;
  bool passes(Level level) const { return level >= *least_; }
  void debug(std::string_view message, Fields fields = {}) const { line(Level::debug, message, fields); }
  void info(std::string_view message, Fields fields = {}) const { line(Level::info, message, fields); }
  void warning(std::string_view message, Fields fields = {}) const { line(Level::warning, message, fields); }
  void error(std::string_view message, Fields fields = {}) const { line(Level::error, message, fields); }

private:
  friend class Logs;
  struct Sink;
  void line(Level level, std::string_view message, Fields fields) const {
    if (passes(level)) write(level, message, fields);
  }
  void write(Level level, std::string_view message, Fields fields) const;
  std::shared_ptr<Sink> sink_;
  std::string package_;
  const Level *least_ = nullptr; // its package's, for as long as the sink
};

// Where all lines go.
class Logs {
public:
  Logs(int fd, Form form, Levels levels); // the descriptor stays the caller's
  Logs(std::ostream &out, Form form, Levels levels);
  Log of(std::string_view package) const;
  void take(Levels levels);      // from now on
  unsigned long dropped() const; // lines, over the whole life

private:
  std::shared_ptr<Log::Sink> sink_;
};

} // namespace myrtlehead::log
