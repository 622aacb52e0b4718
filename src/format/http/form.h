// Forms as HTTP bodies hold them: a=b&c=d, percent-encoded.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace myrtlehead::http {

// Names and values in their order; a name may come again.
using Fields = std::vector<std::pair<std::string, std::string>>;

// The first value of that name; "" where there is none.
std::string_view value(const Fields &fields, std::string_view name);

// Appends the fields to `out`. False: an item has no name or no '=', or an escape is broken.
bool parseForm(std::string_view text, Fields &out);
std::string writeForm(const Fields &fields);

} // namespace myrtlehead::http
