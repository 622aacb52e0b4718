// Reads one TOML table of the settings key by key and collects the errors. Each known key must be read once;
// when the reader is destroyed, it reports each key that was never read as unknown.
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
constexpr std::size_t kMaxShownLength = 60; // characters of a value in an error message

// Formats a value for an error message: on one line and truncated to kMaxShownLength.
inline std::string formatValue(const toml::node &node) {
  std::ostringstream out;
  node.visit([&](const auto &value) { out << value; });
  auto text = out.str();
  std::replace(text.begin(), text.end(), '\n', ' ');
  return text.size() > kMaxShownLength ? text.substr(0, kMaxShownLength - 3) + "..." : text;
}

// Returns the Levenshtein distance of two words.
inline std::size_t editDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
  for (std::size_t i = 1; i <= a.size(); ++i) {
    auto diagonal = std::exchange(row[0], i);
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const auto substitution = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = std::exchange(row[j], std::min({row[j] + 1, row[j - 1] + 1, substitution}));
    }
  }
  return row.back();
}

class TableReader {
public:
  // `path` is the prefix of each key in an error, such as "names.". `table` and `errors` must outlive the
  // reader.
  TableReader(const toml::table &table, std::string path, std::vector<SettingsError> &errors)
      : table_(table), path_(std::move(path)), errors_(errors) {}

  // Adds an error for each unknown key, with the nearest known key.
  ~TableReader() {
    for (const auto &[key, node] : table_) {
      const std::string name(key.str());
      if (std::find(knownKeys_.begin(), knownKeys_.end(), name) != knownKeys_.end()) continue;
      const auto nearest = std::min_element(
          knownKeys_.begin(), knownKeys_.end(),
          [&](const auto &a, const auto &b) { return editDistance(name, a) < editDistance(name, b); });
      std::string message = "unknown key";
      if (nearest != knownKeys_.end()) message += "; the nearest known key is '" + *nearest + "'";
      errors_.push_back({static_cast<int>(key.source().begin.line), path_ + name, message});
    }
  }

  // Returns the value of `key`, or nullptr if it is absent, and marks the key as known.
  const toml::node *find(const char *key) {
    knownKeys_.emplace_back(key);
    return table_.get(key);
  }

  // Adds the error "expected EXPECTED, found VALUE" at the line of `node`.
  void addError(const toml::node &node, const std::string &key, const std::string &expected) {
    errors_.push_back({static_cast<int>(node.source().begin.line), path_ + key,
                       "expected " + expected + ", found " + formatValue(node)});
  }

  // The getters below do not change their target if the key is absent. They add an error if the value has the
  // wrong type or is out of range.

  // `parse` is called with the string and returns whether it is valid.
  template <class Parse> void string(const char *key, const std::string &expected, Parse parse) {
    const auto *node = find(key);
    if (node == nullptr) return;
    const auto value = node->value_exact<std::string>();
    if (!value || !parse(*value)) addError(*node, key, expected);
  }

  void duration(const char *key, Nanoseconds min, Nanoseconds max, Nanoseconds &out) {
    const auto expected = "a duration from " + durationText(min) + " to " + durationText(max) +
                          " such as \"250ms\"";
    string(key, expected, [&](const std::string &text) {
      const auto value = parseDuration(text);
      if (value) out = *value;
      return value && *value >= min && *value <= max;
    });
  }

  void integer(const char *key, long min, long max, int &out) {
    const auto *node = find(key);
    if (node == nullptr) return;
    const auto value = node->value_exact<std::int64_t>();
    if (value && *value >= min && *value <= max)
      out = static_cast<int>(*value);
    else
      addError(*node, key, "a whole number from " + std::to_string(min) + " to " + std::to_string(max));
  }

  // Returns nullptr if the key is absent or its value is not a table.
  const toml::table *table(const char *key) {
    const auto *node = find(key);
    if (node == nullptr) return nullptr;
    if (!node->is_table()) addError(*node, key, "a table");
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
  std::vector<SettingsError> &errors_;
  std::vector<std::string> knownKeys_;
};

// Reads the [fleet] table. Defined in cluster_settings.cpp.
void readClusterSettings(const toml::table &in, Settings &out, std::vector<SettingsError> &errors);

} // namespace myrtlehead::settings
