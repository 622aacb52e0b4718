// Counts the log lines of a whole fleet by kind and second. A message that is rare in the log of each
// instance can be a burst if all instances write it in the same second.
#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace myrtlehead::lab {

// One line of an instance's log in the text form.
struct LogLine {
  // Package and message with '#' in place of each number: "guard: votes to promote build # at stage #".
  std::string kind;
  std::int64_t time = 0; // Unix time in seconds
};
// Returns nullopt if the text is not a log line.
std::optional<LogLine> parseLogLine(std::string_view line);

// Counts of the log lines of one kind.
struct KindCount {
  std::uint64_t lines = 0;
  std::uint64_t instances = 0;    // number of instances that wrote such a line
  std::int64_t busiestSecond = 0; // Unix time in seconds
  std::uint64_t linesInBusiest = 0;
  std::uint64_t instancesInBusiest = 0;
};

// Sums the log lines of several instances by kind and by second.
class LogTally {
public:
  // Counts the whole log of one instance. Lines that are not log lines are skipped.
  void add(std::istream &log);
  std::map<std::string, KindCount> kinds() const;
  std::uint64_t skippedLines() const { return skippedLines_; } // not parsed as log lines

private:
  // Counts lines and the instances that wrote them. The lines of an instance must be added without lines of
  // another instance in between, else the instance is counted more than once.
  struct Count {
    void add(std::uint64_t instance);
    std::uint64_t lines = 0;
    std::uint64_t instances = 0;
    std::uint64_t lastInstance = 0; // the instance of the last line, numbered from 1; 0 if no line is counted
  };
  struct Kind {
    Count total;
    std::map<std::int64_t, Count> bySecond;
  };
  std::map<std::string, Kind> kinds_;
  std::uint64_t instances_ = 0;
  std::uint64_t skippedLines_ = 0;
};

// Formats one row per kind, sorted by the number of lines in the busiest second, highest first. Times are
// UTC.
std::string formatTable(const std::map<std::string, KindCount> &kinds);

} // namespace myrtlehead::lab
