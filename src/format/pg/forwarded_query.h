// A Query message that forwards a client's statement with another timeout.
#pragma once

#include "format/pg/statement.h"

#include <array>
#include <span>
#include <string>

namespace myrtlehead::pg {

// Refers to the statement's text, which must outlive it, so that a large statement is not copied.
class ForwardedQuery {
public:
  ForwardedQuery(const Statement &statement, std::int64_t timeoutMs);
  ForwardedQuery(const ForwardedQuery &) = delete;
  ForwardedQuery &operator=(const ForwardedQuery &) = delete;

  // The message is these parts in their order. Whoever writes them may remove what is written.
  std::span<std::string_view> parts() { return parts_; }

private:
  std::string header_;
  std::string timeout_;
  std::array<std::string_view, 5> parts_;
};

} // namespace myrtlehead::pg
