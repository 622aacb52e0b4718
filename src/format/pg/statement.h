// Parses a client's SQL statement: its kind, and for a request the fields of its comment.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace myrtlehead::pg {

struct Statement {
  enum Kind {
    request,   // is forwarded to an endpoint
    empty,     // only whitespace and comments
    session,   // SET, RESET, DISCARD: answered by the gateway, without effect
    ping,      // SELECT 1
    malformed, // answered with an error: `sqlState` and `errorMessage`
  } kind = malformed;
  std::string_view text;
  std::string_view verb;          // first word in lower case; set for session
  std::string_view id;            // request id: field id of the comment
  std::string_view route;         // route name: field c of the comment
  std::string_view rowKey;        // content of the quoted literal, not unescaped
  std::uint64_t rowKeyNumber = 0; // numeric form of rowKey
  std::int64_t timeoutMs = 0;     // client timeout: field d of the comment
  bool isRetry = false;           // the client sends this request again: field r of the comment
  // Position and length of the timeout's digits in `text`.
  std::size_t timeoutOffset = 0;
  std::size_t timeoutLength = 0;
  const char *sqlState = "42601";
  const char *errorMessage = "";
};

// Parses `sql`, which must outlive the returned statement, because the statement refers to it.
Statement parseStatement(std::string_view sql);

// Returns the statement with its views moved to `copy`, which must have the same content as its text.
Statement rebindStatement(const Statement &statement, std::string_view copy);

} // namespace myrtlehead::pg
