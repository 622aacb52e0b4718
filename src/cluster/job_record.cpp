#include "cluster/job_record.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace myrtlehead::cluster {

using custody::Job;
using custody::State;
using nlohmann::json;

namespace {

constexpr std::size_t kMostName = 64, kMostKey = 64, kMostValue = 4096;
constexpr std::int64_t kLeastDue = 100, kMostDue = 7 * 86'400'000, kFirstDue = 3'600'000; // ms
const char *const kKinds[] = {"retriable", "deduped", "non-retriable"};
const char *const kStates[] = {"queued", "claimed", "begun", "done", "failed", "given up"};
const char *const kFields[] = {"mark", "submitter", "route", "kind", "key", "value", "due_ms", "importance"};

bool plain(const std::string &text, std::size_t most) {
  return !text.empty() && text.size() <= most && std::ranges::all_of(text, [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == ':';
  });
}

bool hex(const std::string &text, std::size_t most) {
  return !text.empty() && text.size() <= most && text.size() % 2 == 0 &&
         std::ranges::all_of(text, [](unsigned char c) { return std::isxdigit(c) != 0; });
}

std::string listed(const std::vector<std::string> &words) {
  std::string out;
  for (const auto &w : words) out += (out.empty() ? "" : ", ") + w;
  return out;
}

template <class Words> std::optional<int> indexOf(const Words &words, const std::string &word) {
  const auto at = std::find(std::begin(words), std::end(words), word);
  if (at == std::end(words)) return std::nullopt;
  return static_cast<int>(at - std::begin(words));
}

// A field's text; "" where there is none, and false where it is no text.
bool take(const json &in, const char *field, std::string &out) {
  const auto at = in.find(field);
  if (at == in.end()) return true;
  if (!at->is_string()) return false;
  out = at->get<std::string>();
  return true;
}

bool take(const json &in, const char *field, std::int64_t least, std::int64_t most, std::int64_t &out) {
  const auto at = in.find(field);
  if (at == in.end()) return true;
  if (!at->is_number_integer()) return false;
  out = at->get<std::int64_t>();
  return out >= least && out <= most;
}

} // namespace

std::variant<JobRecord, Refused> readSubmission(const std::string &body, const Routes &routes,
                                                Nanoseconds now) {
  const auto in = json::parse(body, nullptr, false);
  if (!in.is_object()) return Refused{"", "one JSON object"};
  for (const auto &[field, _] : in.items())
    if (!indexOf(kFields, field))
      return Refused{field, "no such field; known are mark, submitter, route, kind, key, "
                            "value, due_ms, importance"};
  JobRecord out;
  auto &w = out.work;
  std::string kind;
  std::int64_t due = kFirstDue, priorityWeight = 1;
  const auto name = fmt::format("1 to {} letters, digits or any of -_.:", kMostName);
  if (!take(in, "mark", w.mark) || !plain(w.mark, kMostName)) return Refused{"mark", name};
  if (!take(in, "submitter", w.submitter) || !plain(w.submitter, kMostName))
    return Refused{"submitter", name};
  const auto route = take(in, "route", w.route) ? indexOf(routes.names, w.route) : std::nullopt;
  if (!route) return Refused{"route", "one of " + listed(routes.names)};
  if (!take(in, "key", w.key) || !hex(w.key, kMostKey))
    return Refused{"key", "2 to 64 hexadecimal digits, in pairs"};
  if (!take(in, "value", w.value) || (!w.value.empty() && !hex(w.value, kMostValue)))
    return Refused{"value", "up to 4096 hexadecimal digits, in pairs"};
  const auto routeKind = routes.kinds[static_cast<std::size_t>(*route)];
  out.job.kind = routeKind;
  if (!take(in, "kind", kind)) return Refused{"kind", "retriable, deduped or non-retriable"};
  if (const auto at = indexOf(kKinds, kind))
    out.job.kind = static_cast<Idempotency>(*at);
  else if (!kind.empty())
    return Refused{"kind", "retriable, deduped or non-retriable"};
  if (out.job.kind < routeKind)
    return Refused{
        "kind", fmt::format("none freer than its route's, which is {}", kKinds[static_cast<int>(routeKind)])};
  if (!take(in, "due_ms", kLeastDue, kMostDue, due))
    return Refused{"due_ms", "a whole number from 100 to 604800000"};
  if (!take(in, "importance", 1, 100, priorityWeight))
    return Refused{"importance", "a whole number from 1 to 100"};
  const auto whole = w.submitter + "/" + w.mark;
  out.job.id = fmt::format("{:016x}", XXH64(whole.data(), whole.size(), 0));
  out.job.priorityWeight = static_cast<int>(priorityWeight);
  out.job.submitted = now, out.job.due = now + due * kMillisecond;
  return out;
}

std::string keyOf(const std::string &id) { return "job/" + id; }

std::string text(const JobRecord &r) {
  const auto &j = r.job;
  const auto &w = r.work;
  return json{{"form", 1},
              {"id", j.id},
              {"kind", static_cast<int>(j.kind)},
              {"importance", j.priorityWeight},
              {"submitted", j.submitted},
              {"due", j.due},
              {"window", j.window},
              {"state", static_cast<int>(j.state)},
              {"holder", j.holder},
              {"life", j.life},
              {"until", j.until},
              {"first_begun", j.firstBegun},
              {"not_before", j.notBefore},
              {"starts", j.starts},
              {"reason", j.reason},
              {"submitter", w.submitter},
              {"mark", w.mark},
              {"route", w.route},
              {"key", w.key},
              {"value", w.value}}
      .dump();
}

std::optional<JobRecord> readRecord(const std::string &text) {
  const auto in = json::parse(text, nullptr, false);
  if (!in.is_object() || in.value("form", 0) != 1) return std::nullopt;
  try {
    JobRecord r;
    auto &j = r.job;
    auto &w = r.work;
    const int kind = in.at("kind").get<int>(), state = in.at("state").get<int>();
    if (kind < 0 || kind > 2 || state < 0 || state > static_cast<int>(State::givenUp)) return std::nullopt;
    in.at("id").get_to(j.id), j.kind = static_cast<Idempotency>(kind), j.state = static_cast<State>(state);
    in.at("importance").get_to(j.priorityWeight), in.at("submitted").get_to(j.submitted),
        in.at("due").get_to(j.due);
    in.at("window").get_to(j.window), in.at("holder").get_to(j.holder), in.at("life").get_to(j.life);
    in.at("until").get_to(j.until), in.at("first_begun").get_to(j.firstBegun);
    in.at("not_before").get_to(j.notBefore), in.at("starts").get_to(j.starts),
        in.at("reason").get_to(j.reason);
    in.at("submitter").get_to(w.submitter), in.at("mark").get_to(w.mark), in.at("route").get_to(w.route);
    in.at("key").get_to(w.key), in.at("value").get_to(w.value);
    return r;
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

std::string told(const JobRecord &r) {
  const auto &j = r.job;
  json out{{"id", j.id},
           {"mark", r.work.mark},
           {"submitter", r.work.submitter},
           {"route", r.work.route},
           {"kind", kKinds[static_cast<int>(j.kind)]},
           {"state", kStates[static_cast<int>(j.state)]},
           {"starts", j.starts}};
  if (!j.reason.empty()) out["reason"] = j.reason;
  if (j.state == State::claimed || j.state == State::begun) out["holder"] = j.holder;
  return out.dump();
}

// The id is another for each start, as endpoints take an id once; the mark is the job's own.
std::string statementOf(const JobRecord &r, Nanoseconds patience) {
  const auto id = XXH64(r.job.id.data(), r.job.id.size(),
                        static_cast<std::uint64_t>(r.job.starts) ^ r.job.life);
  const auto comment = fmt::format("/* id={:016x},c={},d={},k={} */", id, r.work.route,
                                   patience / kMillisecond, r.job.id);
  if (r.work.value.empty())
    return fmt::format("SELECT v FROM records WHERE k = '{}' {}", r.work.key, comment);
  return fmt::format("INSERT INTO records (k, v) VALUES ('{}', '\\x{}') RETURNING v {}", r.work.key,
                     r.work.value, comment);
}

} // namespace myrtlehead::cluster
