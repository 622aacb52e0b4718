#include "cluster/job_record.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace myrtlehead::cluster {

using job_lease::JobState;
using nlohmann::json;

const char *const kIdempotencyNames[3] = {"retriable", "deduped", "non-retriable"};

namespace {

constexpr int kFormatVersion = 1;
const char *const kStateNames[] = {"queued", "claimed", "begun", "done", "failed", "given up"};

// Throws json::exception if a field is missing or has the wrong type.
void readJob(const json &in, job_lease::Job &out) {
  in.at("id").get_to(out.id);
  in.at("importance").get_to(out.priority);
  in.at("submitted").get_to(out.submittedAt);
  in.at("due").get_to(out.dueAt);
  in.at("window").get_to(out.idempotencyWindow);
  in.at("holder").get_to(out.holder.member);
  in.at("life").get_to(out.holder.incarnation);
  in.at("until").get_to(out.leaseExpiresAt);
  in.at("first_begun").get_to(out.firstStartedAt);
  in.at("not_before").get_to(out.notBefore);
  in.at("starts").get_to(out.starts);
  in.at("reason").get_to(out.reason);
}

// Throws json::exception if a field is missing or has the wrong type.
void readStatement(const json &in, JobStatement &out) {
  in.at("submitter").get_to(out.submitter);
  in.at("mark").get_to(out.idempotencyKey);
  in.at("route").get_to(out.route);
  in.at("key").get_to(out.rowKey);
  in.at("value").get_to(out.rowValue);
}

} // namespace

std::string jobIdOf(const JobStatement &statement) {
  const auto identity = statement.submitter + "/" + statement.idempotencyKey;
  return fmt::format("{:016x}", XXH64(identity.data(), identity.size(), 0));
}

std::string registerKeyOf(const std::string &jobId) { return "job/" + jobId; }

std::string toStoredJson(const JobRecord &record) {
  const auto &job = record.job;
  const auto &statement = record.statement;
  return json{{"form", kFormatVersion},
              {"id", job.id},
              {"kind", static_cast<int>(job.idempotency)},
              {"importance", job.priority},
              {"submitted", job.submittedAt},
              {"due", job.dueAt},
              {"window", job.idempotencyWindow},
              {"state", static_cast<int>(job.state)},
              {"holder", job.holder.member},
              {"life", job.holder.incarnation},
              {"until", job.leaseExpiresAt},
              {"first_begun", job.firstStartedAt},
              {"not_before", job.notBefore},
              {"starts", job.starts},
              {"reason", job.reason},
              {"submitter", statement.submitter},
              {"mark", statement.idempotencyKey},
              {"route", statement.route},
              {"key", statement.rowKey},
              {"value", statement.rowValue}}
      .dump();
}

std::optional<JobRecord> parseStoredJson(const std::string &text) {
  const auto in = json::parse(text, nullptr, false);
  if (!in.is_object() || in.value("form", 0) != kFormatVersion) return std::nullopt;
  try {
    const int idempotency = in.at("kind").get<int>();
    const int state = in.at("state").get<int>();
    if (idempotency < 0 || idempotency > static_cast<int>(Idempotency::notIdempotent)) return std::nullopt;
    if (state < 0 || state > static_cast<int>(JobState::abandoned)) return std::nullopt;
    JobRecord record;
    record.job.idempotency = static_cast<Idempotency>(idempotency);
    record.job.state = static_cast<JobState>(state);
    readJob(in, record.job);
    readStatement(in, record.statement);
    return record;
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

std::string toStatusJson(const JobRecord &record) {
  const auto &job = record.job;
  json out{{"id", job.id},
           {"mark", record.statement.idempotencyKey},
           {"submitter", record.statement.submitter},
           {"route", record.statement.route},
           {"kind", kIdempotencyNames[static_cast<int>(job.idempotency)]},
           {"state", kStateNames[static_cast<int>(job.state)]},
           {"starts", job.starts}};
  if (!job.reason.empty()) out["reason"] = job.reason;
  if (job.state == JobState::leased || job.state == JobState::started) out["holder"] = job.holder.member;
  return out.dump();
}

std::string toSql(const JobRecord &record, Nanoseconds timeout) {
  const auto &job = record.job;
  const auto &statement = record.statement;
  // The request id differs for each start, because endpoints accept an id only once. The idempotency key is
  // the same for every start of the job.
  const auto requestId = XXH64(job.id.data(), job.id.size(),
                               static_cast<std::uint64_t>(job.starts) ^ job.holder.incarnation);
  const auto comment = fmt::format("/* id={:016x},c={},d={},k={} */", requestId, statement.route,
                                   timeout / kMillisecond, job.id);
  if (statement.rowValue.empty())
    return fmt::format("SELECT v FROM records WHERE k = '{}' {}", statement.rowKey, comment);
  return fmt::format("INSERT INTO records (k, v) VALUES ('{}', '\\x{}') RETURNING v {}", statement.rowKey,
                     statement.rowValue, comment);
}

} // namespace myrtlehead::cluster
