#include "app/bootstrap/config_paths.h"

#include <charconv>
#include <cmath>

namespace myrtlehead::bootstrap {

namespace {

constexpr double kMaxMicroseconds = 1e15;

double parseNumber(const std::string &path, std::string_view text) {
  double value = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
  if (result.ec != std::errc{} || result.ptr != text.data() + text.size() || !std::isfinite(value))
    throw ConfigError("settings: " + path + " is not a number: '" + std::string(text) + "'");
  return value;
}

} // namespace

ConfigPaths ConfigPaths::fromLines(std::string_view text) {
  ConfigPaths out;
  for (int lineNumber = 1; !text.empty(); ++lineNumber) {
    const auto end = std::min(text.find('\n'), text.size());
    const auto line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (line.empty()) continue;
    const auto equals = line.find('=');
    if (equals == std::string_view::npos || equals == 0)
      throw ConfigError("settings line " + std::to_string(lineNumber) + ": expected PATH=VALUE, found '" +
                        std::string(line) + "'");
    out.values_[std::string(line.substr(0, equals))] = line.substr(equals + 1);
  }
  return out;
}

ConfigPaths ConfigPaths::fromJson(const json::Value &object) {
  ConfigPaths out;
  out.add("", object);
  return out;
}

void ConfigPaths::add(const std::string &path, const json::Value &value) {
  switch (value.kind) {
  case json::Value::null:
    return;
  case json::Value::boolean:
    values_[path] = value.truth ? "true" : "false";
    return;
  case json::Value::number:
  case json::Value::string:
    values_[path] = value.text;
    return;
  case json::Value::object:
    for (const auto &[name, field] : value.fields) add(path.empty() ? name : path + "." + name, field);
    return;
  case json::Value::array:
    addArray(path, value);
  }
}

void ConfigPaths::addArray(const std::string &path, const json::Value &array) {
  const auto prefix = path.empty() ? path : path + ".";
  std::string joined;
  for (std::size_t i = 0; i < array.items.size(); ++i) {
    const auto &item = array.items[i];
    if (item.kind == json::Value::object) add(prefix + std::to_string(i), item);
    joined += (i > 0 ? "," : "") + item.text;
  }
  values_[path] = joined;
  values_[prefix + "count"] = std::to_string(array.items.size());
}

std::string_view ConfigPaths::text(const std::string &path, std::string_view fallback) const {
  const auto it = values_.find(path);
  return it == values_.end() || it->second.empty() ? fallback : it->second;
}

double ConfigPaths::number(const std::string &path, double fallback) const {
  const auto value = text(path, "");
  return value.empty() ? fallback : parseNumber(path, value);
}

long ConfigPaths::integer(const std::string &path, long fallback, long min, long max) const {
  const double value = number(path, static_cast<double>(fallback));
  if (value != std::floor(value) || value < static_cast<double>(min) || value > static_cast<double>(max))
    throw ConfigError("settings: " + path + " is not a whole number from " + std::to_string(min) + " to " +
                      std::to_string(max));
  return static_cast<long>(value);
}

Nanoseconds ConfigPaths::microseconds(const std::string &path, Nanoseconds fallback) const {
  const double value = number(path, static_cast<double>(fallback) / kMicrosecond);
  if (value < 0 || value > kMaxMicroseconds)
    throw ConfigError("settings: " + path + " is not a duration from 0 to 1e15 microseconds");
  return static_cast<Nanoseconds>(value) * kMicrosecond;
}

bool ConfigPaths::boolean(const std::string &path) const {
  const auto value = text(path, "false");
  if (value != "true" && value != "false")
    throw ConfigError("settings: " + path + " is neither true nor false");
  return value == "true";
}

std::vector<std::string> ConfigPaths::strings(const std::string &path) const {
  std::vector<std::string> out;
  for (auto rest = text(path, ""); !rest.empty();) {
    const auto end = std::min(rest.find(','), rest.size());
    out.emplace_back(rest.substr(0, end));
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return out;
}

std::vector<double> ConfigPaths::numbers(const std::string &path) const {
  std::vector<double> out;
  for (const auto &item : strings(path)) out.push_back(parseNumber(path, item));
  return out;
}

} // namespace myrtlehead::bootstrap
