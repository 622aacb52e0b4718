// Text helpers shared by the HTTP and XML parsers.
#pragma once

#include <string_view>

namespace myrtlehead::http {

// Removes spaces and tabs at both ends, and carriage returns at the end.
std::string_view trimmed(std::string_view text);

} // namespace myrtlehead::http
