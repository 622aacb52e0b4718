// Counts the log lines of a whole fleet by kind: what is harmless in one instance's log shows when it is
// summed by second.
#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace myrtlehead::lab {

// A line of an instance's log, in the text form.
struct LogLine {
  std::string kind; // package and message, figures left out: "guard: votes to promote build # at stage #"
  std::int64_t time = 0; // Unix time, s
};
// nullopt: it is no line of a log.
std::optional<LogLine> parseLogLine(std::string_view line);

// The lines of one kind.
struct KindCount {
  std::uint64_t lines = 0;
  std::uint64_t instances = 0;    // that wrote any
  std::int64_t busiestSecond = 0; // Unix time
  std::uint64_t linesInBusiest = 0;
  std::uint64_t instancesInBusiest = 0;
};

class LogTally {
public:
  // Counts one instance's log.
  void add(std::istream &log);
  std::map<std::string, KindCount> kinds() const;
  std::uint64_t skippedLines() const { return skippedLines_; } // that were no lines of a log

private:
  // Lines, and the instances that wrote them; each instance's log is counted in one go.
  struct Count {
    void add(std::uint64_t instance);
    std::uint64_t lines = 0;
    std::uint64_t instances = 0;
    std::uint64_t lastInstance = 0; // counted last; numbered from 1
  };
  struct Kind {
    Count total;
    std::map<std::int64_t, Count> bySecond;
  };
  std::map<std::string, Kind> kinds_;
  std::uint64_t instances_ = 0;
  std::uint64_t skippedLines_ = 0;
};

// A line for each kind, those with the busiest seconds first.
std::string formatTable(const std::map<std::string, KindCount> &kinds);

} // namespace myrtlehead::lab
