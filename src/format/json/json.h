// A strict JSON parser (RFC 8259). Objects keep their fields in document order.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace myrtlehead::json {

struct Value {
  enum Kind { null, boolean, number, string, array, object } kind = null;
  bool boolValue = false;                            // set for a boolean
  double numberValue = 0;                            // set for a number
  std::string text;                                  // string value, or the literal text of a number
  std::vector<Value> items;                          // set for an array
  std::vector<std::pair<std::string, Value>> fields; // set for an object

  // Returns the last field with that name, or nullptr if there is none or this value is not an object.
  const Value *find(std::string_view name) const;
  bool operator==(const Value &) const = default;
};

// Returns nullopt if the text is not exactly one JSON value or is nested too deeply. If `error` is given, it
// then receives a message that ends in "at byte N".
std::optional<Value> parse(std::string_view text, std::string *error = nullptr);

} // namespace myrtlehead::json
