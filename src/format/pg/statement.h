// A client's statement: what kind it is, and the fields of the comment that travels with a request.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace myrtlehead::pg {

struct Statement {
  enum Kind {
    request,   // to be forwarded to an endpoint
    empty,     // nothing but blanks and comments
    session,   // SET, RESET, DISCARD: answered here, without effect
    ping,      // SELECT 1
    malformed, // answered with an error of `code` and `complaint`
  } kind = malformed;
  std::string_view text;
  std::string_view verb;          // session: its first word, in lower case
  std::string_view id;            // of the request
  std::string_view route;         // its name
  std::string_view rowKey;        // the key of the row, as it stands in quotes
  std::uint64_t rowKeyNumber = 0; // of the row, as a number
  std::int64_t timeoutMs = 0;
  bool isRetry = false; // the client has sent this request before
  // Where the digits of the patience stand in `text`.
  std::size_t timeoutOffset = 0;
  std::size_t timeoutLength = 0;
  const char *sqlState = "42601"; // SQLSTATE
  const char *errorMessage = "";
};

// `sql` must outlive the statement, which refers to it.
Statement parseStatement(std::string_view sql);

// The same statement, referring to `copy`, which has the characters of its text.
Statement rebindStatement(const Statement &statement, std::string_view copy);

// The text with another patience; nothing else of it changes.
std::string textWithTimeout(const Statement &statement, std::int64_t ms);

} // namespace myrtlehead::pg
