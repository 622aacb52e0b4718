// Reads one table of the settings key by key and collects its faults. Each known key is asked for once; a key
// that was never asked for is a fault when the reader is destroyed.
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
constexpr std::size_t kMaxShownLength = 60; // characters of a value in a fault's text

// A value as a fault's text shows it: on one line, cut where it is long.
inline std::string shown(const toml::node &node) {
  std::ostringstream out;
  node.visit([&](const auto &value) { out << value; });
  auto text = out.str();
  std::replace(text.begin(), text.end(), '\n', ' ');
  return text.size() > kMaxShownLength ? text.substr(0, kMaxShownLength - 3) + "..." : text;
}

// The Levenshtein distance of two words.
inline std::size_t editDistance(std::string_view a, std::string_view b) {
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

class TableReader {
public:
  // `path`: what stands before a key in a fault, such as "names.". `table` and `faults` must outlive the
  // reader.
  TableReader(const toml::table &table, std::string path, std::vector<SettingsFault> &faults)
      : table_(table), path_(std::move(path)), faults_(faults) {}

  // Adds a fault for each unknown key, with the nearest known one.
  ~TableReader() {
    for (const auto &[key, node] : table_) {
      const std::string name(key.str());
      if (std::find(known_.begin(), known_.end(), name) != known_.end()) continue;
      const auto nearest = std::min_element(known_.begin(), known_.end(), [&](const auto &a, const auto &b) {
        return editDistance(name, a) < editDistance(name, b);
      });
      std::string what = "unknown key";
      if (nearest != known_.end()) what += "; the nearest known key is '" + *nearest + "'";
      faults_.push_back({static_cast<int>(key.source().begin.line), path_ + name, what});
    }
  }

  // The value of `key`, which is known from now on; nullptr: it is absent.
  const toml::node *find(const char *key) {
    known_.emplace_back(key);
    return table_.get(key);
  }

  // "expected EXPECTED, found VALUE" at the line of `node`.
  void addFault(const toml::node &node, const std::string &key, const std::string &expected) {
    faults_.push_back({static_cast<int>(node.source().begin.line), path_ + key,
                       "expected " + expected + ", found " + shown(node)});
  }

  // The getters below leave their target alone where the key is absent, and add a fault where its value is of
  // another type or out of range.

  // `parse` takes the text and returns whether it is valid.
  template <class Parse> void string(const char *key, const std::string &expected, Parse parse) {
    const auto *node = find(key);
    if (node == nullptr) return;
    const auto value = node->value_exact<std::string>();
    if (!value || !parse(*value)) addFault(*node, key, expected);
  }

  void duration(const char *key, Nanoseconds least, Nanoseconds most, Nanoseconds &out) {
    const auto expected = "a duration from " + durationText(least) + " to " + durationText(most) +
                          " such as \"250ms\"";
    string(key, expected, [&](const std::string &text) {
      const auto value = parseDuration(text);
      if (value) out = *value;
      return value && *value >= least && *value <= most;
    });
  }

  void integer(const char *key, long least, long most, int &out) {
    const auto *node = find(key);
    if (node == nullptr) return;
    const auto value = node->value_exact<std::int64_t>();
    if (value && *value >= least && *value <= most)
      out = static_cast<int>(*value);
    else
      addFault(*node, key, "a whole number from " + std::to_string(least) + " to " + std::to_string(most));
  }

  // nullptr: absent or no table.
  const toml::table *table(const char *key) {
    const auto *node = find(key);
    if (node == nullptr) return nullptr;
    if (!node->is_table()) addFault(*node, key, "a table");
    return node->as_table();
  }

private:
  static std::string durationText(Nanoseconds duration) {
    if (duration % kDay == 0 && duration > 0) return std::to_string(duration / kDay) + "d";
    if (duration % kSecond == 0) return std::to_string(duration / kSecond) + "s";
    return std::to_string(duration / kMillisecond) + "ms";
  }

  const toml::table &table_;
  std::string path_;
  std::vector<SettingsFault> &faults_;
  std::vector<std::string> known_;
};

// The [fleet] table (cluster_settings.cpp).
void readClusterSettings(const toml::table &in, Settings &out, std::vector<SettingsFault> &faults);

} // namespace myrtlehead::settings
