// Encoding and decoding of application/x-www-form-urlencoded bodies: a=b&c=d, percent-encoded.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace myrtlehead::http {

// Names and values in their original order; a name may occur more than once.
using Fields = std::vector<std::pair<std::string, std::string>>;

// Returns the first value with that name, or "" if there is none.
std::string_view value(const Fields &fields, std::string_view name);

// Appends the decoded fields to `out`. Returns false if an item has no name or no '=', or if a percent escape
// is invalid; `out` then holds the items before it.
bool parseForm(std::string_view text, Fields &out);
std::string writeForm(const Fields &fields);

} // namespace myrtlehead::http
