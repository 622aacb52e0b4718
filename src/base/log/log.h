// The log of the program. Each event is one line, either text or a JSON object. Each package has a minimum
// level. Writing to a descriptor never waits for the reader: a line that cannot be written at once is dropped
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
enum class Format { text, json };

// Returns nullopt if `name` is not the name of a level.
std::optional<Level> parseLevel(std::string_view name);

// The minimum levels of the lines that are written: a default, and the levels of packages that differ from
// it.
struct Levels {
  Level defaultLevel = Level::info;
  std::vector<std::pair<std::string, Level>> byPackage;
  Level levelOf(std::string_view package) const;
};
// Parses a text such as "info" or "info,endpoints=debug,names=warning". Returns nullopt if it contains an
// unknown level.
std::optional<Levels> parseLevels(std::string_view text);

// A named value of a log line. The field refers to the texts it was created from, so they must outlive the
// call that the field is passed to.
struct Field {
  enum Kind { integer, real, boolean, text };
  Field(std::string_view n, std::string_view v) : name(n), kind(text), textValue(v) {}
  Field(std::string_view n, const char *v) : name(n), kind(text), textValue(v) {}
  Field(std::string_view n, const std::string &v) : name(n), kind(text), textValue(v) {}
  Field(std::string_view n, bool v) : name(n), kind(boolean), integerValue(v) {}
  Field(std::string_view n, std::integral auto v)
      : name(n), kind(integer), integerValue(static_cast<long long>(v)) {}
  Field(std::string_view n, std::floating_point auto v) : name(n), kind(real), realValue(v) {}
  std::string_view name;
  Kind kind;
  std::string_view textValue;
  long long integerValue = 0; // 0 or 1 if the kind is boolean
  double realValue = 0;
};

// Writes the log lines of one package. Copies are cheap and share the output.
class Log {
public:
  using Fields = std::initializer_list<Field>;
  bool isEnabled(Level level) const { return level >= *minimumLevel_; }
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
  const Level *minimumLevel_ = nullptr; // of the package; owned by the sink
};

// The output of the log lines of all packages. The levels can be changed at run time.
class LogOutput {
public:
  // Writes to a descriptor, which the caller keeps open and closes.
  LogOutput(int fd, Format format, Levels levels);
  LogOutput(std::ostream &out, Format format, Levels levels);
  Log forPackage(std::string_view package) const;
  // Changes the levels of all logs of this output, including those that already exist.
  void setLevels(Levels levels);
  unsigned long droppedLines() const; // since the output was created

private:
  std::shared_ptr<Log::Sink> sink_;
};

} // namespace myrtlehead::log
