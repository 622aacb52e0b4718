#include "format/json/json.h"

#include <charconv>
#include <cmath>
#include <cstdint>

namespace myrtlehead::json {

namespace {

constexpr int kDeepest = 64;

class Reader {
public:
  explicit Reader(std::string_view text) : text_(text) {}
  bool whole(Value &out) {
    if (!value(out, 0)) return false;
    blanks();
    return at_ == text_.size() || fail("text after the value");
  }
  std::string error() const { return error_ + " at byte " + std::to_string(at_); }

private:
  bool fail(const char *what) {
    if (error_.empty()) error_ = what;
    return false;
  }
  void blanks() {
    while (at_ < text_.size() && std::string_view(" \t\n\r").find(text_[at_]) != std::string_view::npos)
      ++at_;
  }
  bool next(char c) {
    blanks();
    if (at_ >= text_.size() || text_[at_] != c) return false;
    ++at_;
    return true;
  }
  bool word(std::string_view w) {
    if (text_.substr(at_, w.size()) != w) return fail("unknown word");
    at_ += w.size();
    return true;
  }

  bool value(Value &out, int depth) {
    if (depth > kDeepest) return fail("nested too deep");
    blanks();
    if (at_ >= text_.size()) return fail("ends early");
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
      out.truth = true;
      return word("true");
    case 'f':
      out.kind = Value::boolean;
      return word("false");
    case 'n':
      return word("null");
    }
    return number(out);
  }

  bool object(Value &out, int depth) {
    out.kind = Value::object;
    ++at_;
    if (next('}')) return true;
    do {
      std::string name;
      blanks();
      if (!string(name)) return fail("a name is missing");
      if (!next(':')) return fail("a colon is missing");
      out.fields.emplace_back(std::move(name), Value{});
      if (!value(out.fields.back().second, depth + 1)) return false;
    } while (next(','));
    return next('}') || fail("an object is not closed");
  }

  bool array(Value &out, int depth) {
    out.kind = Value::array;
    ++at_;
    if (next(']')) return true;
    do {
      out.items.emplace_back();
      if (!value(out.items.back(), depth + 1)) return false;
    } while (next(','));
    return next(']') || fail("a list is not closed");
  }

  bool digits() {
    const auto from = at_;
    while (at_ < text_.size() && text_[at_] >= '0' && text_[at_] <= '9') ++at_;
    return at_ > from;
  }

  bool number(Value &out) {
    const auto from = at_;
    if (at_ < text_.size() && text_[at_] == '-') ++at_;
    const bool zero = at_ < text_.size() && text_[at_] == '0';
    const auto first = at_;
    if (!digits() || (zero && at_ - first > 1)) return fail("no value");
    if (at_ < text_.size() && text_[at_] == '.' && (++at_, !digits())) return fail("a number is broken");
    if (at_ < text_.size() && (text_[at_] == 'e' || text_[at_] == 'E')) {
      ++at_;
      if (at_ < text_.size() && (text_[at_] == '+' || text_[at_] == '-')) ++at_;
      if (!digits()) return fail("a number is broken");
    }
    out.kind = Value::number;
    out.text = text_.substr(from, at_ - from);
    const auto r = std::from_chars(text_.data() + from, text_.data() + at_, out.real);
    return (r.ec == std::errc{} && std::isfinite(out.real)) || fail("a number is out of range");
  }

  bool hex4(std::uint32_t &out) {
    if (text_.size() - at_ < 4) return fail("an escape is broken");
    const auto r = std::from_chars(text_.data() + at_, text_.data() + at_ + 4, out, 16);
    if (r.ptr != text_.data() + at_ + 4) return fail("an escape is broken");
    at_ += 4;
    return true;
  }

  bool unicode(std::string &out) {
    std::uint32_t c = 0, low = 0;
    if (!hex4(c)) return false;
    if (c >= 0xd800 && c < 0xdc00) {
      if (text_.substr(at_, 2) != "\\u") return fail("half of a surrogate pair");
      at_ += 2;
      if (!hex4(low)) return false;
      if (low < 0xdc00 || low > 0xdfff) return fail("half of a surrogate pair");
      c = 0x10000 + ((c - 0xd800) << 10) + (low - 0xdc00);
    } else if (c >= 0xdc00 && c < 0xe000) {
      return fail("half of a surrogate pair");
    }
    const auto put = [&](std::uint32_t v) { out += static_cast<char>(v); };
    if (c < 0x80) return put(c), true;
    if (c < 0x800) return put(0xc0 | c >> 6), put(0x80 | (c & 0x3f)), true;
    if (c < 0x10000) return put(0xe0 | c >> 12), put(0x80 | (c >> 6 & 0x3f)), put(0x80 | (c & 0x3f)), true;
    put(0xf0 | c >> 18), put(0x80 | (c >> 12 & 0x3f)), put(0x80 | (c >> 6 & 0x3f)), put(0x80 | (c & 0x3f));
    return true;
  }

  bool string(std::string &out) {
    if (at_ >= text_.size() || text_[at_] != '"') return fail("a string is missing");
    for (++at_; at_ < text_.size();) {
      const char c = text_[at_++];
      if (c == '"') return true;
      if (static_cast<unsigned char>(c) < 0x20) return fail("a bare control character");
      if (c != '\\') {
        out += c;
        continue;
      }
      if (at_ >= text_.size()) break;
      const char escaped = text_[at_++];
      constexpr std::string_view kFrom = "\"\\/bfnrt", kTo = "\"\\/\b\f\n\r\t";
      if (const auto i = kFrom.find(escaped); i != std::string_view::npos)
        out += kTo[i];
      else if (escaped != 'u')
        return fail("an unknown escape");
      else if (!unicode(out))
        return false;
    }
    return fail("a string is not closed");
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
  Reader reader(text);
  Value out;
  if (reader.whole(out)) return out;
  if (error != nullptr) *error = reader.error();
  return std::nullopt;
}

} // namespace myrtlehead::json
