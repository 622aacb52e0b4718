// Helpers of the parsers in this folder.
#pragma once

#include <string_view>

namespace myrtlehead::http {

// Without blanks at both ends, and without a carriage return at the end.
std::string_view trimmed(std::string_view text);

} // namespace myrtlehead::http
