// A job as it is submitted, kept in its register and told: JSON, checked field by field.
#pragma once

#include "policy/job_lease.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace myrtlehead::cluster {

// What the job has its endpoint do: one statement of the users' protocol, by its parts.
struct Work {
  std::string submitter, mark, route, key, value; // value: "" for one that only reads
  bool operator==(const Work &) const = default;
};

struct JobRecord {
  custody::Job job;
  Work work;
};

// What is wrong with a submission: the field, and what was expected of it.
struct Refused {
  std::string field, expected;
};

struct Routes {
  std::vector<std::string> names;
  std::vector<Idempotency> kinds;
};

// A new job in its first state. `now`: Unix time, ns.
std::variant<JobRecord, Refused> readSubmission(const std::string &body, const Routes &routes,
                                                Nanoseconds now);

std::string keyOf(const std::string &id); // of its register
std::string text(const JobRecord &record);
std::optional<JobRecord>
readRecord(const std::string &text);       // nullopt: not one that this version has written
std::string told(const JobRecord &record); // to who asks after the job
std::string statementOf(const JobRecord &record,
                        Nanoseconds patience); // with the mark, so that endpoints know a repeat

} // namespace myrtlehead::cluster
