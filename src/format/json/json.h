// JSON (RFC 8259): a value read from text. Objects keep the order of their text.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace myrtlehead::json {

struct Value {
  enum Kind { null, boolean, number, string, array, object } kind = null;
  bool truth = false;
  double real = 0;
  std::string text; // a string's, or a number's as it was written
  std::vector<Value> items;
  std::vector<std::pair<std::string, Value>> fields;

  const Value *find(std::string_view name) const; // the last of that name
  bool operator==(const Value &) const = default;
};

// nullopt: not one whole JSON value, or nested too deep; `error` then says why.
std::optional<Value> parse(std::string_view text, std::string *error = nullptr);

} // namespace myrtlehead::json
