#include "format/json/json.h"

#include <charconv>
#include <cmath>
#include <cstdint>

namespace myrtlehead::json {

namespace {

constexpr int kMaxDepth = 64; // limits the recursion, so that no input exhausts the stack

// Ranges of UTF-16 surrogates.
constexpr std::uint32_t kFirstHighSurrogate = 0xd800;
constexpr std::uint32_t kFirstLowSurrogate = 0xdc00;
constexpr std::uint32_t kSurrogatesEnd = 0xe000;

void appendUtf8(std::string &out, std::uint32_t codePoint) {
  const auto append = [&](std::uint32_t byte) { out += static_cast<char>(byte); };
  const auto appendTail = [&](int shift) { append(0x80 | (codePoint >> shift & 0x3f)); };
  if (codePoint < 0x80) {
    append(codePoint);
  } else if (codePoint < 0x800) {
    append(0xc0 | codePoint >> 6);
    appendTail(0);
  } else if (codePoint < 0x10000) {
    append(0xe0 | codePoint >> 12);
    appendTail(6);
    appendTail(0);
  } else {
    append(0xf0 | codePoint >> 18);
    appendTail(12);
    appendTail(6);
    appendTail(0);
  }
}

// A recursive-descent parser. Each function parses the element that it is named after at the current
// position. It returns false and sets the error if the text does not match.
class Parser {
public:
  explicit Parser(std::string_view text) : text_(text) {}
  bool document(Value &out) {
    if (!value(out, 0)) return false;
    skipWhitespace();
    return at_ == text_.size() || fail("unexpected text after the JSON value");
  }
  // Returns the first error and the position at which the parser stopped.
  std::string error() const { return error_ + " at byte " + std::to_string(at_); }

private:
  bool fail(const char *what) {
    if (error_.empty()) error_ = what;
    return false;
  }
  void skipWhitespace() {
    while (at_ < text_.size() && std::string_view(" \t\n\r").find(text_[at_]) != std::string_view::npos)
      ++at_;
  }
  // Skips whitespace and consumes `c` if it comes next. Returns false, without setting the error, if it does
  // not.
  bool takeIf(char c) {
    skipWhitespace();
    if (at_ >= text_.size() || text_[at_] != c) return false;
    ++at_;
    return true;
  }
  bool literal(std::string_view word) {
    if (text_.substr(at_, word.size()) != word) return fail("invalid literal");
    at_ += word.size();
    return true;
  }

  bool value(Value &out, int depth) {
    if (depth > kMaxDepth) return fail("values are nested too deeply");
    skipWhitespace();
    if (at_ >= text_.size()) return fail("unexpected end of text");
    switch (text_[at_]) {
    case '{':
      return object(out, depth);
    case '[':
      return array(out, depth);
    case '"':
      out.kind = Value::string;
      return string(out.text);
    case 't':
      out.kind = Value::boolean;
      out.boolValue = true;
      return literal("true");
    case 'f':
      out.kind = Value::boolean;
      return literal("false");
    case 'n':
      return literal("null");
    }
    return number(out);
  }

  bool object(Value &out, int depth) {
    out.kind = Value::object;
    ++at_;
    if (takeIf('}')) return true;
    do {
      std::string name;
      skipWhitespace();
      if (!string(name)) return fail("expected a quoted field name");
      if (!takeIf(':')) return fail("expected ':' after the field name");
      out.fields.emplace_back(std::move(name), Value{});
      if (!value(out.fields.back().second, depth + 1)) return false;
    } while (takeIf(','));
    return takeIf('}') || fail("expected ',' or '}' in an object");
  }

  bool array(Value &out, int depth) {
    out.kind = Value::array;
    ++at_;
    if (takeIf(']')) return true;
    do {
      out.items.emplace_back();
      if (!value(out.items.back(), depth + 1)) return false;
    } while (takeIf(','));
    return takeIf(']') || fail("expected ',' or ']' in an array");
  }

  bool isAt(char c) const { return at_ < text_.size() && text_[at_] == c; }

  // Consumes a run of digits. Returns false if there is none.
  bool digits() {
    const auto from = at_;
    while (at_ < text_.size() && text_[at_] >= '0' && text_[at_] <= '9') ++at_;
    return at_ > from;
  }

  bool number(Value &out) {
    const auto from = at_;
    if (isAt('-')) ++at_;
    const bool startsWithZero = isAt('0');
    const auto firstDigit = at_;
    if (!digits() || (startsWithZero && at_ - firstDigit > 1)) return fail("expected a valid JSON value");
    if (isAt('.')) {
      ++at_;
      if (!digits()) return fail("number has no digits after '.' or the exponent");
    }
    if (isAt('e') || isAt('E')) {
      ++at_;
      if (isAt('+') || isAt('-')) ++at_;
      if (!digits()) return fail("number has no digits after '.' or the exponent");
    }
    out.kind = Value::number;
    out.text = text_.substr(from, at_ - from);
    const auto result = std::from_chars(text_.data() + from, text_.data() + at_, out.numberValue);
    return (result.ec == std::errc{} && std::isfinite(out.numberValue)) || fail("number is out of range");
  }

  // Parses the four hexadecimal digits of a Unicode escape.
  bool hex4(std::uint32_t &out) {
    if (text_.size() - at_ < 4) return fail("\\u escape needs four hexadecimal digits");
    const auto result = std::from_chars(text_.data() + at_, text_.data() + at_ + 4, out, 16);
    if (result.ptr != text_.data() + at_ + 4) return fail("\\u escape needs four hexadecimal digits");
    at_ += 4;
    return true;
  }

  // Parses the rest of a Unicode escape after "\\u": one code unit, or a surrogate pair.
  bool unicodeEscape(std::string &out) {
    std::uint32_t codePoint = 0;
    if (!hex4(codePoint)) return false;
    if (codePoint >= kFirstHighSurrogate && codePoint < kFirstLowSurrogate) {
      std::uint32_t low = 0;
      if (text_.substr(at_, 2) != "\\u") return fail("unpaired UTF-16 surrogate");
      at_ += 2;
      if (!hex4(low)) return false;
      if (low < kFirstLowSurrogate || low >= kSurrogatesEnd) return fail("unpaired UTF-16 surrogate");
      codePoint = 0x10000 + ((codePoint - kFirstHighSurrogate) << 10) + (low - kFirstLowSurrogate);
    } else if (codePoint >= kFirstLowSurrogate && codePoint < kSurrogatesEnd) {
      return fail("unpaired UTF-16 surrogate");
    }
    appendUtf8(out, codePoint);
    return true;
  }

  bool string(std::string &out) {
    if (at_ >= text_.size() || text_[at_] != '"') return fail("expected a string");
    for (++at_; at_ < text_.size();) {
      const char c = text_[at_++];
      if (c == '"') return true;
      if (static_cast<unsigned char>(c) < 0x20) return fail("unescaped control character in a string");
      if (c != '\\') {
        out += c;
        continue;
      }
      if (at_ >= text_.size()) break;
      const char escaped = text_[at_++];
      constexpr std::string_view kEscapes = "\"\\/bfnrt";
      constexpr std::string_view kEscaped = "\"\\/\b\f\n\r\t";
      if (const auto i = kEscapes.find(escaped); i != std::string_view::npos)
        out += kEscaped[i];
      else if (escaped != 'u')
        return fail("unknown escape sequence in a string");
      else if (!unicodeEscape(out))
        return false;
    }
    return fail("unterminated string");
  }

  std::string_view text_;
  std::size_t at_ = 0;
  std::string error_;
};

} // namespace

const Value *Value::find(std::string_view name) const {
  for (auto it = fields.rbegin(); it != fields.rend(); ++it)
    if (it->first == name) return &it->second;
  return nullptr;
}

std::optional<Value> parse(std::string_view text, std::string *error) {
  Parser parser(text);
  Value out;
  if (parser.document(out)) return out;
  if (error != nullptr) *error = parser.error();
  return std::nullopt;
}

} // namespace myrtlehead::json
