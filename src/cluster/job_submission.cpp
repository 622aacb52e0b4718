#include "cluster/job_submission.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace myrtlehead::cluster {

using nlohmann::json;

namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxRowKeyDigits = 64;
constexpr std::size_t kMaxRowValueDigits = 4096;
constexpr std::int64_t kMinDueMs = 100;
constexpr std::int64_t kMaxDueMs = 7 * 86'400'000;
constexpr std::int64_t kDefaultDueMs = 3'600'000;
constexpr std::int64_t kMinPriority = 1;
constexpr std::int64_t kMaxPriority = 100;
const char *const kFields[] = {"mark", "submitter", "route", "kind", "key", "value", "due_ms", "importance"};

using MaybeError = std::optional<SubmissionError>;

bool isValidName(const std::string &text) {
  return !text.empty() && text.size() <= kMaxNameLength && std::ranges::all_of(text, [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == ':';
  });
}

bool isHex(const std::string &text, std::size_t maxDigits) {
  return !text.empty() && text.size() <= maxDigits && text.size() % 2 == 0 &&
         std::ranges::all_of(text, [](unsigned char c) { return std::isxdigit(c) != 0; });
}

std::string joinWithCommas(const std::vector<std::string> &words) {
  std::string out;
  for (const auto &word : words) out += (out.empty() ? "" : ", ") + word;
  return out;
}

template <class Words> std::optional<std::size_t> indexOf(const Words &words, const std::string &word) {
  const auto found = std::find(std::begin(words), std::end(words), word);
  if (found == std::end(words)) return std::nullopt;
  return static_cast<std::size_t>(found - std::begin(words));
}

// Reads a string into `out`, which keeps its value if the field is missing. Returns false if the field is not
// a string.
bool readString(const json &in, const char *field, std::string &out) {
  const auto found = in.find(field);
  if (found == in.end()) return true;
  if (!found->is_string()) return false;
  out = found->get<std::string>();
  return true;
}

// Reads an integer into `out`, which keeps its value if the field is missing. Returns false if the field is
// not an integer from `min` to `max`.
bool readInteger(const json &in, const char *field, std::int64_t min, std::int64_t max, std::int64_t &out) {
  const auto found = in.find(field);
  if (found == in.end()) return true;
  if (!found->is_number_integer()) return false;
  out = found->get<std::int64_t>();
  return out >= min && out <= max;
}

MaybeError checkFieldNames(const json &in) {
  if (!in.is_object()) return SubmissionError{"", "one JSON object"};
  for (const auto &[field, _] : in.items())
    if (!indexOf(kFields, field))
      return SubmissionError{field, "only the fields mark, submitter, route, kind, key, value, due_ms and "
                                    "importance"};
  return std::nullopt;
}

MaybeError readIdentity(const json &in, JobStatement &out) {
  const auto expected = fmt::format("1 to {} letters, digits or any of -_.:", kMaxNameLength);
  if (!readString(in, "mark", out.idempotencyKey) || !isValidName(out.idempotencyKey))
    return SubmissionError{"mark", expected};
  if (!readString(in, "submitter", out.submitter) || !isValidName(out.submitter))
    return SubmissionError{"submitter", expected};
  return std::nullopt;
}

MaybeError readRoute(const json &in, const Routes &routes, JobStatement &out) {
  if (!readString(in, "route", out.route) || !indexOf(routes.names, out.route))
    return SubmissionError{"route", "one of " + joinWithCommas(routes.names)};
  return std::nullopt;
}

MaybeError readRow(const json &in, JobStatement &out) {
  if (!readString(in, "key", out.rowKey) || !isHex(out.rowKey, kMaxRowKeyDigits))
    return SubmissionError{"key", "2 to 64 hexadecimal digits, in pairs"};
  if (!readString(in, "value", out.rowValue) ||
      (!out.rowValue.empty() && !isHex(out.rowValue, kMaxRowValueDigits)))
    return SubmissionError{"value", "up to 4096 hexadecimal digits, in pairs"};
  return std::nullopt;
}

// Reads the job's idempotency: the route's, or a stricter one if the submission names it.
MaybeError readIdempotency(const json &in, Idempotency routeIdempotency, Idempotency &out) {
  std::string name;
  out = routeIdempotency;
  if (!readString(in, "kind", name)) return SubmissionError{"kind", "retriable, deduped or non-retriable"};
  if (const auto index = indexOf(kIdempotencyNames, name))
    out = static_cast<Idempotency>(*index);
  else if (!name.empty())
    return SubmissionError{"kind", "retriable, deduped or non-retriable"};
  if (out < routeIdempotency)
    return SubmissionError{"kind", fmt::format("a kind at least as strict as the route's, which is {}",
                                               kIdempotencyNames[static_cast<int>(routeIdempotency)])};
  return std::nullopt;
}

MaybeError readSchedule(const json &in, Nanoseconds now, job_lease::Job &out) {
  std::int64_t dueMs = kDefaultDueMs;
  std::int64_t priority = kMinPriority;
  if (!readInteger(in, "due_ms", kMinDueMs, kMaxDueMs, dueMs))
    return SubmissionError{"due_ms", "a whole number from 100 to 604800000"};
  if (!readInteger(in, "importance", kMinPriority, kMaxPriority, priority))
    return SubmissionError{"importance", "a whole number from 1 to 100"};
  out.priority = static_cast<int>(priority);
  out.submittedAt = now;
  out.dueAt = now + dueMs * kMillisecond;
  return std::nullopt;
}

} // namespace

std::variant<JobRecord, SubmissionError> parseSubmission(const std::string &body, const Routes &routes,
                                                         Nanoseconds now) {
  const auto in = json::parse(body, nullptr, false);
  JobRecord record;
  auto &[job, statement] = record;
  if (const auto error = checkFieldNames(in)) return *error;
  if (const auto error = readIdentity(in, statement)) return *error;
  if (const auto error = readRoute(in, routes, statement)) return *error;
  if (const auto error = readRow(in, statement)) return *error;
  const auto routeIdempotency = routes.idempotency[*indexOf(routes.names, statement.route)];
  if (const auto error = readIdempotency(in, routeIdempotency, job.idempotency)) return *error;
  if (const auto error = readSchedule(in, now, job)) return *error;
  job.id = jobIdOf(statement);
  return record;
}

} // namespace myrtlehead::cluster
