// A client's statement: what kind it is, and the names and values of the comment that travels with a request.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace myrtlehead::pg {

struct Statement {
  enum Kind {
    req,       // to be passed to an endpoint
    empty,     // nothing but blanks and comments
    session,   // SET, RESET, DISCARD: answered here, without effect
    ping,      // SELECT 1
    malformed, // answered with `complaint`
  } kind = malformed;
  std::string_view text;
  std::string_view verb;              // session: its first word
  std::string_view id, route, record; // record: the key of the row
  std::uint64_t key = 0;              // of the record, as a number
  std::int64_t patienceMs = 0;
  bool repeat = false;
  std::size_t patienceAt = 0, patienceSize = 0; // where d's digits stand
  const char *code = "42601", *complaint = "";
};

Statement parseStatement(std::string_view sql);

// The same statement, standing in `copy`, which has the characters of its text.
Statement movedTo(const Statement &s, std::string_view copy);

// The statement with another patience; nothing else of it changes.
std::string withPatience(const Statement &s, std::int64_t ms);

} // namespace myrtlehead::pg
