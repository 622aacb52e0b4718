#include "format/pg/statement.h"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <optional>
#include <utility>

namespace myrtlehead::pg {

namespace {

constexpr std::int64_t kMaxTimeoutMs = 24LL * 3600 * 1000;
constexpr std::size_t kMaxNameLength = 128; // limit in bytes of an id, a route or a key
constexpr int kMaxCommentFields = 64;       // so that a long comment costs little work

constexpr const char *kSyntaxError = "42601";
constexpr const char *kNotSupported = "0A000";
constexpr const char *kInvalidEncoding = "22021";

bool isWhitespace(char c) {
  return c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v';
}
char toLower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

// Compares the words without regard to case; `lowerCase` must be in lower case.
bool isWord(std::string_view word, std::string_view lowerCase) {
  if (word.size() != lowerCase.size()) return false;
  for (std::size_t i = 0; i < word.size(); ++i)
    if (toLower(word[i]) != lowerCase[i]) return false;
  return true;
}

std::string_view trimmed(std::string_view s) {
  while (!s.empty() && isWhitespace(s.front())) s.remove_prefix(1);
  while (!s.empty() && isWhitespace(s.back())) s.remove_suffix(1);
  return s;
}

// The parts of a statement: strings, comments, and the words between them.
struct StatementParts {
  bool isTerminated = true;          // every string and comment is terminated
  bool hasSeveralStatements = false; // text other than comments and whitespace follows a semicolon
  std::string_view comment;          // the last block comment
  int comments = 0;                  // number of comments of both kinds
  std::string_view literal;          // content of the first string in single quotes
  std::string words;                 // text outside of comments, with runs of whitespace collapsed
};

// Returns the index after the string that opens at `i`, or `text.size()` + 1 if the string is not terminated.
std::size_t endOfString(std::string_view text, std::size_t i) {
  const char quote = text[i];
  for (++i; (i = text.find(quote, i)) != text.npos; i += 2) { // a doubled quote stands for a quote
    if (i + 1 == text.size() || text[i + 1] != quote) return i + 1;
  }
  return text.size() + 1;
}

// Returns the index after the block comment that opens at `i`, or `text.size()` + 1 if the comment is not
// terminated. Block comments may be nested.
std::size_t endOfComment(std::string_view text, std::size_t i) {
  int depth = 0;
  while (i + 1 < text.size()) {
    const char c = text[i];
    const char next = text[i + 1];
    if (c == '/' && next == '*') {
      ++depth;
      i += 2;
    } else if (c == '*' && next == '/') {
      i += 2;
      if (--depth == 0) return i;
    } else {
      ++i;
    }
  }
  return text.size() + 1;
}

StatementParts scanStatement(std::string_view sql) {
  StatementParts out;
  bool hasSemicolon = false;
  for (std::size_t i = 0; i < sql.size();) {
    auto end = i + 1;
    const auto twoChars = sql.substr(i, 2);
    const bool isComment = twoChars == "--" || twoChars == "/*";
    out.comments += isComment;
    if (isComment && !out.words.empty() && out.words.back() != ' ') out.words += ' ';
    if (twoChars == "--") {
      end = std::min(sql.find('\n', i), sql.size());
    } else if (twoChars == "/*") {
      end = endOfComment(sql, i);
      if (end <= sql.size()) out.comment = sql.substr(i + 2, end - i - 4);
    } else if (sql[i] == ';') {
      hasSemicolon = true;
    } else if (!isWhitespace(sql[i])) {
      if (hasSemicolon) out.hasSeveralStatements = true;
      if (sql[i] == '\'' || sql[i] == '"') end = endOfString(sql, i);
      if (end <= sql.size() && sql[i] == '\'' && out.literal.data() == nullptr)
        out.literal = sql.substr(i + 1, end - i - 2);
      out.words += sql.substr(i, std::min(end, sql.size()) - i);
    } else if (!out.words.empty() && out.words.back() != ' ') {
      out.words += ' ';
    }
    if (end > sql.size()) out.isTerminated = false;
    i = end;
  }
  while (!out.words.empty() && out.words.back() == ' ') out.words.pop_back();
  return out;
}

// Returns a number of bytes at the front of the text that are ASCII, at least all up to the eight that hold
// the first other byte.
std::size_t asciiPrefixBytes(std::string_view text) {
  constexpr std::uint64_t kHighBits = 0x8080808080808080;
  std::size_t count = 0;
  for (std::uint64_t eightBytes = 0; count + sizeof eightBytes <= text.size(); count += sizeof eightBytes) {
    std::memcpy(&eightBytes, text.data() + count, sizeof eightBytes);
    if ((eightBytes & kHighBits) != 0) break;
  }
  return count;
}

// Rejects invalid UTF-8, which would corrupt the log and break the endpoint's parser.
bool isValidUtf8(std::string_view s) {
  constexpr std::size_t kInvalid = 4;
  for (std::size_t i = 0; i < s.size();) {
    i += asciiPrefixBytes(s.substr(i));
    if (i == s.size()) return true;
    const auto c = static_cast<unsigned char>(s[i]);
    const std::size_t continuationBytes = c < 0x80                 ? 0
                                          : c >= 0xc2 && c <= 0xdf ? 1
                                          : c >= 0xe0 && c <= 0xef ? 2
                                          : c >= 0xf0 && c <= 0xf4 ? 3
                                                                   : kInvalid;
    if (continuationBytes == kInvalid || i + continuationBytes >= s.size()) return false;
    for (std::size_t k = 1; k <= continuationBytes; ++k)
      if ((static_cast<unsigned char>(s[i + k]) & 0xc0) != 0x80) return false;
    const auto second = continuationBytes > 0 ? static_cast<unsigned char>(s[i + 1]) : 0;
    if ((c == 0xe0 && second < 0xa0) || (c == 0xed && second > 0x9f) || (c == 0xf0 && second < 0x90) ||
        (c == 0xf4 && second > 0x8f))
      return false;
    i += continuationBytes + 1;
  }
  return true;
}

std::optional<std::int64_t> parseInteger(std::string_view text) {
  std::int64_t value = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || result.ec != std::errc{} || result.ptr != text.data() + text.size())
    return std::nullopt;
  return value;
}

// Checks the characters of ids, routes and keys. The set excludes everything that could end a comment or a
// log line.
bool isPlainName(std::string_view text) {
  constexpr std::string_view kOtherCharacters = "_-.:";
  return !text.empty() && text.size() <= kMaxNameLength && std::all_of(text.begin(), text.end(), [&](char c) {
    return (toLower(c) >= 'a' && toLower(c) <= 'z') || (c >= '0' && c <= '9') ||
           kOtherCharacters.find(c) != kOtherCharacters.npos;
  });
}

// Removes the next word of a statement without comments: a name, a string in quotes, or any other single
// byte.
std::string_view takeWord(std::string_view &in) {
  in = trimmed(in);
  if (in.empty()) return {};
  const auto inName = [](char c) {
    return (toLower(c) >= 'a' && toLower(c) <= 'z') || (c >= '0' && c <= '9') || c == '_';
  };
  std::size_t end = 1;
  if (in[0] == '\'')
    end = endOfString(in, 0);
  else if (inName(in[0]))
    while (end < in.size() && inName(in[end])) ++end;
  const auto word = in.substr(0, end);
  in.remove_prefix(word.size());
  return word;
}

// Matches the words against `pattern`, in which % stands for any name and $ for any string. Other words are
// compared without regard to case.
bool matches(std::string_view pattern, std::string_view words) {
  for (auto expected = takeWord(pattern); !expected.empty(); expected = takeWord(pattern)) {
    const auto word = takeWord(words);
    if (word.empty()) return false;
    const char first = word[0];
    const bool isMatch = expected == "%"   ? toLower(first) >= 'a' && toLower(first) <= 'z'
                         : expected == "$" ? first == '\''
                                           : isWord(word, expected);
    if (!isMatch) return false;
  }
  return trimmed(words).empty();
}

bool parseTimeout(std::string_view value, Statement &out) {
  const auto ms = parseInteger(value);
  if (!ms || *ms < 0 || *ms > kMaxTimeoutMs) return false;
  out.timeoutMs = *ms;
  out.timeoutOffset = static_cast<std::size_t>(value.data() - out.text.data());
  out.timeoutLength = value.size();
  return true;
}

// Parses name=value items, separated by commas. Returns false if id, c, d or k is repeated, an item has no
// name, a value is invalid, one of id, c (route) and d (timeout) is missing, or there are more than
// kMaxCommentFields items. Unknown names are ignored.
bool parseComment(std::string_view comment, Statement &out) {
  bool hasId = false;
  bool hasRoute = false;
  bool hasTimeout = false;
  bool hasKey = false;
  int fields = 0;
  for (auto rest = trimmed(comment);;) {
    if (++fields > kMaxCommentFields) return false;
    const auto comma = std::min(rest.find(','), rest.size());
    const auto item = trimmed(rest.substr(0, comma));
    const auto eq = item.find('=');
    if (eq == std::string_view::npos || eq == 0) return false;
    const auto name = item.substr(0, eq);
    const auto value = item.substr(eq + 1);
    if (name == "id") {
      if (std::exchange(hasId, true) || !isPlainName(value)) return false;
      out.id = value;
    } else if (name == "c") {
      if (std::exchange(hasRoute, true) || !isPlainName(value)) return false;
      out.route = value;
    } else if (name == "d") {
      if (std::exchange(hasTimeout, true) || !parseTimeout(value, out)) return false;
    } else if (name == "k") {
      if (std::exchange(hasKey, true) || !isPlainName(value)) return false;
    } else if (name == "r") {
      out.isRetry = value == "1";
    }
    if (comma == rest.size()) break;
    rest.remove_prefix(comma + 1);
  }
  return hasId && hasRoute && hasTimeout;
}

// Returns the value of a key of hexadecimal digits, and the FNV-1a hash of any other key. 0 means no key.
std::uint64_t rowKeyNumberOf(std::string_view rowKey) {
  constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325ULL;
  constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;
  std::uint64_t value = 0;
  const auto result = std::from_chars(rowKey.data(), rowKey.data() + rowKey.size(), value, 16);
  if (result.ec == std::errc{} && result.ptr == rowKey.data() + rowKey.size()) return value;
  std::uint64_t hash = kFnvOffset;
  for (const char c : rowKey) hash = (hash ^ static_cast<std::uint8_t>(c)) * kFnvPrime;
  return hash;
}

Statement malformedStatement(Statement s, const char *sqlState, const char *errorMessage) {
  s.kind = Statement::malformed;
  s.sqlState = sqlState;
  s.errorMessage = errorMessage;
  return s;
}

} // namespace

Statement parseStatement(std::string_view sql) {
  Statement s;
  s.text = sql;
  if (!isValidUtf8(sql)) return malformedStatement(s, kInvalidEncoding, "the statement is not valid UTF-8");
  const auto parts = scanStatement(sql);
  if (!parts.isTerminated)
    return malformedStatement(s, kSyntaxError, "unterminated string or comment in the statement");
  if (parts.words.empty()) {
    s.kind = Statement::empty;
    return s;
  }
  if (parts.hasSeveralStatements)
    return malformedStatement(s, kSyntaxError, "a query message must contain exactly one statement");
  const std::string_view words = parts.words;
  const auto verb = words.substr(0, words.find(' '));
  for (const char *word : {"set", "reset", "discard"}) {
    if (!isWord(verb, word)) continue;
    s.kind = Statement::session;
    s.verb = word;
    return s;
  }
  if (isWord(words, "select 1") && parts.comment.data() == nullptr) {
    s.kind = Statement::ping;
    return s;
  }
  // Only these two forms are forwarded, because endpoints close the connection on statements that they cannot
  // parse.
  if (!matches("select % from % where % = $", words) &&
      !matches("insert into % (%, %) values ($, $) returning %", words))
    return malformedStatement(
        s, kNotSupported,
        "unsupported statement; supported are SELECT and INSERT of one record, SET, RESET and DISCARD");
  if (parts.comment.data() == nullptr || parts.comments != 1)
    return malformedStatement(s, kSyntaxError,
                              "the statement must contain exactly one comment: /* id=...,c=...,d=... */");
  if (!parseComment(parts.comment, s))
    return malformedStatement(s, kSyntaxError,
                              "the comment must contain id, c and d once each, with d in whole milliseconds, "
                              "and at most 64 fields");
  s.kind = Statement::request;
  s.rowKey = parts.literal;
  s.rowKeyNumber = rowKeyNumberOf(parts.literal);
  return s;
}

Statement rebindStatement(const Statement &statement, std::string_view copy) {
  const auto rebound = [&](std::string_view part) {
    if (part.data() == nullptr) return part;
    return copy.substr(static_cast<std::size_t>(part.data() - statement.text.data()), part.size());
  };
  Statement out = statement;
  out.text = copy;
  out.id = rebound(statement.id);
  out.route = rebound(statement.route);
  out.rowKey = rebound(statement.rowKey);
  return out;
}

} // namespace myrtlehead::pg
