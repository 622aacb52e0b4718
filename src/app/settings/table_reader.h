// One table of the settings, read key by key: each key is asked for once, and what was not asked for is a
// fault.
#pragma once

#include "app/settings/settings.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#define TOML_HEADER_ONLY 0
#include <toml++/toml.h>

namespace myrtlehead::settings {

using sched::Nanoseconds;
constexpr Nanoseconds kDay = 86'400 * kSecond;

inline std::string shown(const toml::node &node) {
  std::ostringstream out;
  node.visit([&](const auto &value) { out << value; });
  auto text = out.str();
  std::replace(text.begin(), text.end(), '\n', ' ');
  return text.size() > 60 ? text.substr(0, 57) + "..." : text;
}

// Changes of one letter each that make one word of the other.
inline std::size_t distance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
  for (std::size_t i = 1; i <= a.size(); ++i) {
    auto diagonal = std::exchange(row[0], i);
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const auto change = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = std::exchange(row[j], std::min({row[j] + 1, row[j - 1] + 1, change}));
    }
  }
  return row.back();
}

class Reader {
public:
  Reader(const toml::table &table, std::string path, std::vector<Fault> &faults)
      : table_(table), path_(std::move(path)), faults_(faults) {}

  ~Reader() {
    for (const auto &[key, node] : table_) {
      const std::string name(key.str());
      if (std::find(known_.begin(), known_.end(), name) != known_.end()) continue;
      const auto nearest = std::min_element(known_.begin(), known_.end(), [&](const auto &a, const auto &b) {
        return distance(name, a) < distance(name, b);
      });
      std::string what = "unknown key";
      if (nearest != known_.end()) what += "; the nearest known key is '" + *nearest + "'";
      faults_.push_back({static_cast<int>(key.source().begin.line), path_ + name, what});
    }
  }

  const toml::node *find(const char *key) {
    known_.emplace_back(key);
    return table_.get(key);
  }
  void fault(const toml::node &node, const std::string &key, const std::string &expected) {
    faults_.push_back({static_cast<int>(node.source().begin.line), path_ + key,
                       "expected " + expected + ", found " + shown(node)});
  }

  template <class Parse> void word(const char *key, const std::string &expected, Parse parse) {
    const auto *node = find(key);
    if (node == nullptr) return;
    const auto value = node->value_exact<std::string>();
    if (!value || !parse(*value)) fault(*node, key, expected);
  }
  void duration(const char *key, Nanoseconds least, Nanoseconds most, Nanoseconds &out) {
    const auto told = [](Nanoseconds t) {
      return t % kDay == 0 && t > 0 ? std::to_string(t / kDay) + "d"
             : t % kSecond == 0     ? std::to_string(t / kSecond) + "s"
                                    : std::to_string(t / kMillisecond) + "ms";
    };
    const auto expected = "a duration from " + told(least) + " to " + told(most) + " such as \"250ms\"";
    word(key, expected, [&](const std::string &text) {
      const auto value = parseDuration(text);
      if (value) out = *value;
      return value && *value >= least && *value <= most;
    });
  }
  void whole(const char *key, long least, long most, int &out) {
    const auto *node = find(key);
    if (node == nullptr) return;
    const auto value = node->value_exact<std::int64_t>();
    if (value && *value >= least && *value <= most)
      out = static_cast<int>(*value);
    else
      fault(*node, key, "a whole number from " + std::to_string(least) + " to " + std::to_string(most));
  }
  const toml::table *table(const char *key) {
    const auto *node = find(key);
    if (node == nullptr) return nullptr;
    if (!node->is_table()) fault(*node, key, "a table");
    return node->as_table();
  }

private:
  const toml::table &table_;
  std::string path_;
  std::vector<Fault> &faults_;
  std::vector<std::string> known_;
};

void readFleet(const toml::table &in, Settings &out, std::vector<Fault> &faults);

} // namespace myrtlehead::settings
