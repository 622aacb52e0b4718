// Shared by the tests of statements: the bytes of a forwarded query.
#pragma once

#include "format/pg/forwarded_query.h"

namespace myrtlehead {

inline std::string forwardedQuery(const pg::Statement &statement, std::int64_t timeoutMs) {
  std::string out;
  pg::ForwardedQuery query(statement, timeoutMs);
  for (const auto part : query.parts()) out += part;
  return out;
}

} // namespace myrtlehead
