#include "format/pg/forwarded_query.h"

#include "format/pg/message.h"

namespace myrtlehead::pg {

ForwardedQuery::ForwardedQuery(const Statement &statement, std::int64_t timeoutMs)
    : timeout_(std::to_string(timeoutMs)) {
  constexpr std::string_view kTerminator("\0", 1);
  const auto before = statement.text.substr(0, statement.timeoutOffset);
  const auto after = statement.text.substr(statement.timeoutOffset + statement.timeoutLength);
  addQueryHeader(header_, before.size() + timeout_.size() + after.size());
  parts_ = {header_, before, timeout_, after, kTerminator};
}

} // namespace myrtlehead::pg
