#include "lab/log_tally.h"

#include <algorithm>
#include <cctype>
#include <cstdio>
#include <ctime>
#include <fmt/format.h>
#include <vector>

namespace myrtlehead::lab {

namespace {

constexpr std::size_t kMaxKindLength = 80; // characters
constexpr int kTimeLength = 19;            // characters of "2026-12-01T22:47:14"
constexpr std::int64_t kSecondsPerDay = 86400;

// Parses a time such as "2026-12-01T22:47:14.858Z" to Unix time in whole seconds. Returns nullopt if the word
// is not a time.
std::optional<std::int64_t> parseTime(std::string_view word) {
  std::tm t{};
  const std::string text(word);
  int used = 0;
  const int fields = std::sscanf(text.c_str(), "%4d-%2d-%2dT%2d:%2d:%2d%n", &t.tm_year, &t.tm_mon, &t.tm_mday,
                                 &t.tm_hour, &t.tm_min, &t.tm_sec, &used);
  if (fields != 6 || used != kTimeLength) return std::nullopt;
  t.tm_year -= 1900;
  t.tm_mon -= 1;
  return timegm(&t);
}

// Removes the next word from the start of `rest` and returns it. Returns an empty word at the end.
std::string_view nextWord(std::string_view &rest) {
  const auto from = std::min(rest.find_first_not_of(' '), rest.size());
  rest.remove_prefix(from);
  const auto end = std::min(rest.find(' '), rest.size());
  const auto word = rest.substr(0, end);
  rest.remove_prefix(end);
  return word;
}

// Appends the word with '#' in place of each number.
void appendMaskingNumbers(std::string &out, std::string_view word) {
  bool isInNumber = false;
  for (const char c : word) {
    const bool isNumberPart = std::isdigit(static_cast<unsigned char>(c)) != 0 || (isInNumber && c == '.');
    if (!isNumberPart) out += c;
    if (isNumberPart && !isInNumber) out += '#';
    isInNumber = isNumberPart;
  }
}

} // namespace

std::optional<LogLine> parseLogLine(std::string_view line) {
  auto rest = line;
  auto time = parseTime(nextWord(rest));
  if (!time) time = parseTime(nextWord(rest)); // a log collector may put a prefix before the time
  if (!time) return std::nullopt;
  nextWord(rest); // skips the log level
  LogLine out{"", *time};
  for (auto word = nextWord(rest); !word.empty(); word = nextWord(rest)) {
    if (word.find('=') != std::string_view::npos) break; // fields follow the message
    if (!out.kind.empty()) out.kind += ' ';
    appendMaskingNumbers(out.kind, word);
  }
  if (out.kind.empty()) return std::nullopt;
  out.kind.resize(std::min(out.kind.size(), kMaxKindLength));
  return out;
}

void LogTally::Count::add(std::uint64_t instance) {
  ++lines;
  if (lastInstance == instance) return;
  lastInstance = instance;
  ++instances;
}

void LogTally::add(std::istream &log) {
  ++instances_;
  for (std::string text; std::getline(log, text);) {
    const auto line = parseLogLine(text);
    if (!line) {
      ++skippedLines_;
      continue;
    }
    auto &kind = kinds_[line->kind];
    kind.total.add(instances_);
    kind.bySecond[line->time].add(instances_);
  }
}

std::map<std::string, KindCount> LogTally::kinds() const {
  std::map<std::string, KindCount> out;
  for (const auto &[name, kind] : kinds_) {
    auto &count = out[name];
    count.lines = kind.total.lines;
    count.instances = kind.total.instances;
    for (const auto &[second, inSecond] : kind.bySecond) {
      if (inSecond.lines <= count.linesInBusiest) continue;
      count.busiestSecond = second;
      count.linesInBusiest = inSecond.lines;
      count.instancesInBusiest = inSecond.instances;
    }
  }
  return out;
}

std::string formatTable(const std::map<std::string, KindCount> &kinds) {
  std::vector<std::pair<std::string, KindCount>> rows(kinds.begin(), kinds.end());
  std::ranges::stable_sort(
      rows, [](const auto &a, const auto &b) { return a.second.linesInBusiest > b.second.linesInBusiest; });
  auto out = fmt::format("{:>8} {:>9} {:>8} {:>12}  {:>8}  {}\n", "lines", "instances", "peak/s",
                         "at the peak", "peak UTC", "kind");
  for (const auto &[name, count] : rows) {
    const auto secondOfDay = count.busiestSecond % kSecondsPerDay;
    out += fmt::format("{:>8} {:>9} {:>8} {:>12}  {:02}:{:02}:{:02}  {}\n", count.lines, count.instances,
                       count.linesInBusiest, count.instancesInBusiest, secondOfDay / 3600,
                       secondOfDay / 60 % 60, secondOfDay % 60, name);
  }
  return out;
}

} // namespace myrtlehead::lab
