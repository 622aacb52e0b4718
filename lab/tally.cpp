#include "lab/tally.h"

#include <algorithm>
#include <cctype>
#include <cstdio>
#include <ctime>
#include <fmt/format.h>

namespace myrtlehead::lab {

namespace {

constexpr std::size_t kMostKind = 80; // characters

// "2026-12-01T22:47:14.858Z" in whole seconds; false if it is none.
bool readTime(std::string_view word, std::int64_t &at) {
  std::tm t{};
  const std::string text(word);
  int used = 0;
  if (std::sscanf(text.c_str(), "%4d-%2d-%2dT%2d:%2d:%2d%n", &t.tm_year, &t.tm_mon, &t.tm_mday, &t.tm_hour,
                  &t.tm_min, &t.tm_sec, &used) != 6 ||
      used != 19)
    return false;
  t.tm_year -= 1900, t.tm_mon -= 1;
  at = timegm(&t);
  return true;
}

std::string_view nextWord(std::string_view &rest) {
  const auto from = std::min(rest.find_first_not_of(' '), rest.size());
  rest.remove_prefix(from);
  const auto end = std::min(rest.find(' '), rest.size());
  const auto word = rest.substr(0, end);
  rest.remove_prefix(end);
  return word;
}

} // namespace

std::string kindOf(std::string_view line, std::int64_t &at) {
  auto rest = line;
  auto word = nextWord(rest);
  if (!readTime(word, at)) word = nextWord(rest); // a collector may have put something before it
  if (!readTime(word, at)) return "";
  nextWord(rest); // the level
  std::string kind;
  for (word = nextWord(rest); !word.empty(); word = nextWord(rest)) {
    if (word.find('=') != std::string_view::npos) break; // fields follow the message
    kind += kind.empty() ? "" : " ";
    bool figure = false;
    for (const char c : word) {
      const bool digit = std::isdigit(static_cast<unsigned char>(c)) != 0 || (figure && c == '.');
      if (!digit) kind += c;
      if (digit && !figure) kind += '#';
      figure = digit;
    }
  }
  return kind.substr(0, kMostKind);
}

void Tally::read(std::istream &log) {
  ++logs_;
  for (std::string line; std::getline(log, line);) {
    std::int64_t at = 0;
    const auto kind = kindOf(line, at);
    if (kind.empty()) {
      ++passedOver_;
      continue;
    }
    auto &held = kinds_[kind];
    if (held.last != logs_) held.last = logs_, ++held.marshals;
    auto &second = held.seconds[at];
    ++second.lines;
    if (second.last != logs_) second.last = logs_, ++second.marshals;
  }
}

std::map<std::string, Kind> Tally::kinds() const {
  std::map<std::string, Kind> out;
  for (const auto &[name, held] : kinds_) {
    auto &kind = out[name];
    kind.marshals = held.marshals;
    for (const auto &[at, second] : held.seconds) {
      kind.lines += second.lines;
      if (second.lines > kind.most)
        kind.most = second.lines, kind.together = second.marshals, kind.busiest = at;
    }
  }
  return out;
}

std::string table(const std::map<std::string, Kind> &kinds) {
  std::vector<std::pair<std::string, Kind>> rows(kinds.begin(), kinds.end());
  std::ranges::stable_sort(rows, [](const auto &a, const auto &b) { return a.second.most > b.second.most; });
  auto out = fmt::format("{:>8} {:>8} {:>8} {:>8}  {:>8}  {}\n", "lines", "marshals", "most/s", "together",
                         "at", "kind");
  for (const auto &[name, k] : rows) {
    const auto day = k.busiest % 86400;
    out += fmt::format("{:>8} {:>8} {:>8} {:>8}  {:02}:{:02}:{:02}  {}\n", k.lines, k.marshals, k.most,
                       k.together, day / 3600, day / 60 % 60, day % 60, name);
  }
  return out;
}

} // namespace myrtlehead::lab
