// JSON (RFC 8259), parsed strictly. Objects keep the order of their fields in the text.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace myrtlehead::json {

struct Value {
  enum Kind { null, boolean, number, string, array, object } kind = null;
  bool boolValue = false;                            // of a boolean
  double numberValue = 0;                            // of a number
  std::string text;                                  // of a string, or of a number as it was written
  std::vector<Value> items;                          // of an array
  std::vector<std::pair<std::string, Value>> fields; // of an object

  // The last field of that name; nullptr: there is none, or this is no object.
  const Value *find(std::string_view name) const;
  bool operator==(const Value &) const = default;
};

// nullopt: the text is not exactly one JSON value, or is nested too deep; `error`, where given, then says why
// and ends in "at byte N".
std::optional<Value> parse(std::string_view text, std::string *error = nullptr);

} // namespace myrtlehead::json
