#include "format/pg/statement.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace myrtlehead::pg {

namespace {

constexpr std::int64_t kMostPatienceMs = 24LL * 3600 * 1000;

bool blank(char c) { return c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v'; }
char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool same(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  for (std::size_t i = 0; i < a.size(); ++i)
    if (lower(a[i]) != b[i]) return false;
  return true;
}

std::string_view trimmed(std::string_view s) {
  while (!s.empty() && blank(s.front())) s.remove_prefix(1);
  while (!s.empty() && blank(s.back())) s.remove_suffix(1);
  return s;
}

// Where the parts of a statement stand: strings, comments, the words between them.
struct Outline {
  bool whole = true;        // every string and comment is closed
  bool several = false;     // something stands behind a semicolon
  std::string_view comment; // the last one that is /* */
  int comments = 0;         // of any kind
  std::string_view literal; // the first in single quotes
  std::string words;        // what is outside of comments, blanks folded
};

// Past the string that opens at `i`; `text.size()` + 1 where it never closes.
std::size_t pastString(std::string_view text, std::size_t i) {
  const char quote = text[i];
  for (++i; i < text.size(); ++i) {
    if (text[i] != quote) continue;
    if (i + 1 < text.size() && text[i + 1] == quote)
      ++i; // doubled: it stands for itself
    else
      return i + 1;
  }
  return text.size() + 1;
}

// Past the comment that opens at `i`; they nest.
std::size_t pastComment(std::string_view text, std::size_t i) {
  int depth = 0;
  while (i + 1 < text.size()) {
    const auto pair = text.substr(i, 2);
    if (pair == "/*") {
      ++depth, i += 2;
    } else if (pair == "*/") {
      i += 2;
      if (--depth == 0) return i;
    } else {
      ++i;
    }
  }
  return text.size() + 1;
}

Outline outline(std::string_view sql) {
  Outline out;
  bool ended = false;
  for (std::size_t i = 0; i < sql.size();) {
    auto end = i + 1;
    const auto pair = sql.substr(i, 2);
    const bool remark = pair == "--" || pair == "/*";
    out.comments += remark;
    if (remark && !out.words.empty() && out.words.back() != ' ') out.words += ' ';
    if (pair == "--") {
      end = std::min(sql.find('\n', i), sql.size());
    } else if (pair == "/*") {
      end = pastComment(sql, i);
      if (end <= sql.size()) out.comment = sql.substr(i + 2, end - i - 4);
    } else if (sql[i] == ';') {
      ended = true;
    } else if (!blank(sql[i])) {
      if (ended) out.several = true;
      if (sql[i] == '\'' || sql[i] == '"') end = pastString(sql, i);
      if (end <= sql.size() && sql[i] == '\'' && out.literal.data() == nullptr)
        out.literal = sql.substr(i + 1, end - i - 2);
      out.words += sql.substr(i, std::min(end, sql.size()) - i);
    } else if (!out.words.empty() && out.words.back() != ' ') {
      out.words += ' ';
    }
    if (end > sql.size()) out.whole = false;
    i = end;
  }
  while (!out.words.empty() && out.words.back() == ' ') out.words.pop_back();
  return out;
}

// Broken bytes would break the log and whoever reads the statement next.
bool validUtf8(std::string_view s) {
  for (std::size_t i = 0; i < s.size();) {
    const auto c = static_cast<unsigned char>(s[i]);
    const std::size_t more = c < 0x80                 ? 0
                             : c >= 0xc2 && c <= 0xdf ? 1
                             : c >= 0xe0 && c <= 0xef ? 2
                             : c >= 0xf0 && c <= 0xf4 ? 3
                                                      : 4;
    if (more == 4 || i + more >= s.size()) return false;
    for (std::size_t k = 1; k <= more; ++k)
      if ((static_cast<unsigned char>(s[i + k]) & 0xc0) != 0x80) return false;
    const auto second = more > 0 ? static_cast<unsigned char>(s[i + 1]) : 0;
    if ((c == 0xe0 && second < 0xa0) || (c == 0xed && second > 0x9f) || (c == 0xf0 && second < 0x90) ||
        (c == 0xf4 && second > 0x8f))
      return false;
    i += more + 1;
  }
  return true;
}

bool parseNumber(std::string_view text, std::int64_t &out) {
  const auto r = std::from_chars(text.data(), text.data() + text.size(), out);
  return !text.empty() && r.ec == std::errc{} && r.ptr == text.data() + text.size();
}

constexpr std::size_t kMostName = 128; // of an id, a route or a key

// What ids, routes and keys are made of: nothing that could end a comment or a log line.
bool plain(std::string_view text) {
  constexpr std::string_view kOther = "_-.:";
  return !text.empty() && text.size() <= kMostName && std::all_of(text.begin(), text.end(), [&](char c) {
    return (lower(c) >= 'a' && lower(c) <= 'z') || (c >= '0' && c <= '9') || kOther.find(c) != kOther.npos;
  });
}

// The next word of a statement without comments: a name, a string in quotes, or a single other byte.
std::string_view takeWord(std::string_view &in) {
  in = trimmed(in);
  if (in.empty()) return {};
  const auto inName = [](char c) {
    return (lower(c) >= 'a' && lower(c) <= 'z') || (c >= '0' && c <= '9') || c == '_';
  };
  std::size_t end = 1;
  if (in[0] == '\'')
    end = pastString(in, 0);
  else if (inName(in[0]))
    while (end < in.size() && inName(in[end])) ++end;
  const auto word = in.substr(0, end);
  in.remove_prefix(word.size());
  return word;
}

// Whether `words` go by `form`, in which % stands for a name and $ for a string.
bool goesBy(std::string_view form, std::string_view words) {
  for (auto want = takeWord(form); !want.empty(); want = takeWord(form)) {
    const auto word = takeWord(words);
    if (word.empty()) return false;
    const char first = word[0];
    const bool fits = want == "%"   ? lower(first) >= 'a' && lower(first) <= 'z'
                      : want == "$" ? first == '\''
                                    : same(word, want);
    if (!fits) return false;
  }
  return trimmed(words).empty();
}

// name=value, separated by commas. False where a name comes twice, is empty, or a value can't be read.
bool parseComment(std::string_view comment, Statement &s) {
  bool id = false, route = false, patience = false, key = false;
  for (auto rest = trimmed(comment);;) {
    const auto comma = std::min(rest.find(','), rest.size());
    const auto item = trimmed(rest.substr(0, comma));
    const auto eq = item.find('=');
    if (eq == std::string_view::npos || eq == 0) return false;
    const auto name = item.substr(0, eq), value = item.substr(eq + 1);
    if (name == "id") {
      if (std::exchange(id, true) || !plain(value)) return false;
      s.id = value;
    } else if (name == "c") {
      if (std::exchange(route, true) || !plain(value)) return false;
      s.route = value;
    } else if (name == "d") {
      if (std::exchange(patience, true) || !parseNumber(value, s.patienceMs)) return false;
      if (s.patienceMs < 0 || s.patienceMs > kMostPatienceMs) return false;
      s.patienceAt = static_cast<std::size_t>(value.data() - s.text.data());
      s.patienceSize = value.size();
    } else if (name == "k") {
      if (std::exchange(key, true) || !plain(value)) return false;
    } else if (name == "r") {
      s.repeat = value == "1";
    }
    if (comma == rest.size()) break;
    rest.remove_prefix(comma + 1);
  }
  return id && route && patience;
}

// Hexadecimal digits as they are, anything else by FNV-1a; 0 stands for none.
std::uint64_t keyOf(std::string_view record) {
  std::uint64_t v = 0;
  const auto r = std::from_chars(record.data(), record.data() + record.size(), v, 16);
  if (r.ec == std::errc{} && r.ptr == record.data() + record.size()) return v;
  v = 0xcbf29ce484222325ULL;
  for (const char c : record) v = (v ^ static_cast<std::uint8_t>(c)) * 0x100000001b3ULL;
  return v;
}

Statement malformed(Statement s, const char *code, const char *complaint) {
  s.kind = Statement::malformed;
  s.code = code;
  s.complaint = complaint;
  return s;
}

} // namespace

Statement parseStatement(std::string_view sql) {
  Statement s;
  s.text = sql;
  if (!validUtf8(sql)) return malformed(s, "22021", "the statement is not valid UTF-8");
  const auto parts = outline(sql);
  if (!parts.whole) return malformed(s, "42601", "a string or comment is not closed");
  if (parts.words.empty()) {
    s.kind = Statement::empty;
    return s;
  }
  if (parts.several) return malformed(s, "42601", "one statement per query");
  const std::string_view words = parts.words;
  const auto verb = words.substr(0, words.find(' '));
  for (const char *word : {"set", "reset", "discard"}) {
    if (!same(verb, word)) continue;
    s.kind = Statement::session;
    s.verb = word;
    return s;
  }
  if (same(words, "select 1") && parts.comment.data() == nullptr) {
    s.kind = Statement::ping;
    return s;
  }
  // Guards the endpoints, which close on what they can't read: only these two forms are passed on.
  if (!goesBy("select % from % where % = $", words) &&
      !goesBy("insert into % (%, %) values ($, $) returning %", words))
    return malformed(s, "0A000",
                     "only the SELECT and INSERT of one record, SET, RESET and DISCARD are served");
  if (parts.comment.data() == nullptr || parts.comments != 1)
    return malformed(s, "42601", "a statement needs one comment: /* id=...,c=...,d=... */");
  if (!parseComment(parts.comment, s))
    return malformed(s, "42601", "the comment must hold id, c and d once each, d in whole milliseconds");
  s.kind = Statement::req;
  s.record = parts.literal;
  s.key = keyOf(parts.literal);
  return s;
}

Statement movedTo(const Statement &s, std::string_view copy) {
  const auto moved = [&](std::string_view part) {
    if (part.data() == nullptr) return part;
    return copy.substr(static_cast<std::size_t>(part.data() - s.text.data()), part.size());
  };
  Statement out = s;
  out.text = copy;
  out.id = moved(s.id);
  out.route = moved(s.route);
  out.record = moved(s.record);
  return out;
}

std::string withPatience(const Statement &s, std::int64_t ms) {
  std::string out(s.text.substr(0, s.patienceAt));
  out += std::to_string(ms);
  out += s.text.substr(s.patienceAt + s.patienceSize);
  return out;
}

} // namespace myrtlehead::pg
