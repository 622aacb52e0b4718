// The settings of a deployment, as values by path. They are read from path=value lines (in the simulator's
// wire protocol) or from a JSON object (in the configuration of an instance).
#pragma once

#include "format/json/json.h"
#include "policy/time.h"

#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace myrtlehead::bootstrap {

// A field of a configuration is missing or invalid; what() names the field and the problem.
struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A list of scalars is stored as one value, joined by commas. The length of each list is stored under
// PATH.count, and the fields of the objects in a list are stored under PATH.INDEX. The getters return
// `fallback` if the path has no value or an empty value, and throw ConfigError if the value has the wrong
// type or is out of range.
class ConfigPaths {
public:
  static ConfigPaths fromLines(std::string_view text); // throws ConfigError at a line that is not path=value
  static ConfigPaths fromJson(const json::Value &object);

  std::string_view text(const std::string &path, std::string_view fallback) const;
  double number(const std::string &path, double fallback) const; // always finite
  long integer(const std::string &path, long fallback, long min, long max) const;
  Nanoseconds microseconds(const std::string &path, Nanoseconds fallback) const; // converts to nanoseconds
  bool boolean(const std::string &path) const;                     // false if the path has no value
  std::vector<std::string> strings(const std::string &path) const; // empty if the path has no value
  std::vector<double> numbers(const std::string &path) const;

private:
  void add(const std::string &path, const json::Value &value);
  void addArray(const std::string &path, const json::Value &array);
  std::unordered_map<std::string, std::string> values_;
};

} // namespace myrtlehead::bootstrap
