// A deployment's settings as values by path, whether they come as path=value lines (the simulator's wire) or
// as a JSON object (an instance's configuration).
#pragma once

#include "format/json/json.h"
#include "policy/time.h"

#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace myrtlehead::bootstrap {

// Something in a configuration is missing or out of range; what() is a sentence that says what and where.
struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A list of plain values is one value joined by commas; a list has its length under PATH.count, and the
// fields of its objects under PATH.INDEX. The getters return `absent` where the path has no value or an empty
// one, and throw ConfigError where the value is not of the type or out of range.
class ConfigPaths {
public:
  static ConfigPaths fromLines(std::string_view text); // throws ConfigError at a line without path=value
  static ConfigPaths fromJson(const json::Value &object);

  std::string_view text(const std::string &path, std::string_view absent) const;
  double number(const std::string &path, double absent) const; // finite
  long integer(const std::string &path, long absent, long least, long most) const;
  Nanoseconds microseconds(const std::string &path, Nanoseconds absent) const; // read in us, returned in ns
  bool boolean(const std::string &path) const;                                 // absent: false
  std::vector<std::string> texts(const std::string &path) const;               // absent: empty
  std::vector<double> numbers(const std::string &path) const;

private:
  void add(const std::string &path, const json::Value &value);
  void addArray(const std::string &path, const json::Value &array);
  std::unordered_map<std::string, std::string> values_;
};

} // namespace myrtlehead::bootstrap
