#include "format/http/form.h"

#include <algorithm>
#include <optional>

namespace myrtlehead::http {

namespace {

// Returns the value of the hexadecimal digit, or nullopt if `c` is not one.
std::optional<int> hexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return std::nullopt;
}

// Decodes percent escapes and '+'. Returns nullopt if an escape is invalid.
std::optional<std::string> percentDecode(std::string_view in) {
  std::string out;
  for (std::size_t i = 0; i < in.size(); ++i) {
    if (in[i] != '%') {
      out += in[i] == '+' ? ' ' : in[i];
      continue;
    }
    if (i + 2 >= in.size()) return std::nullopt;
    const auto high = hexDigit(in[i + 1]);
    const auto low = hexDigit(in[i + 2]);
    if (!high || !low) return std::nullopt;
    out += static_cast<char>(16 * *high + *low);
    i += 2;
  }
  return out;
}

std::string percentEncode(std::string_view in) {
  constexpr const char *kHex = "0123456789ABCDEF";
  std::string out;
  for (const char c : in) {
    const bool isPlain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                         c == '-' || c == '.' || c == '_' || c == '~';
    const auto byte = static_cast<unsigned char>(c);
    if (isPlain)
      out += c;
    else
      out += {'%', kHex[byte >> 4], kHex[byte & 15]};
  }
  return out;
}

} // namespace

std::string_view value(const Fields &fields, std::string_view name) {
  for (const auto &[fieldName, fieldValue] : fields)
    if (fieldName == name) return fieldValue;
  return {};
}

bool parseForm(std::string_view text, Fields &out) {
  while (!text.empty()) {
    const auto end = std::min(text.find('&'), text.size());
    const auto item = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    const auto equals = item.find('=');
    if (equals == std::string_view::npos || equals == 0) return false;
    auto name = percentDecode(item.substr(0, equals));
    auto value = percentDecode(item.substr(equals + 1));
    if (!name || !value) return false;
    out.emplace_back(std::move(*name), std::move(*value));
  }
  return true;
}

std::string writeForm(const Fields &fields) {
  std::string out;
  for (const auto &[name, value] : fields) {
    if (!out.empty()) out += '&';
    out += percentEncode(name) + '=' + percentEncode(value);
  }
  return out;
}

} // namespace myrtlehead::http
