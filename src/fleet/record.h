// A job as it is submitted, kept in its register and told: JSON, checked field by field.
#pragma once

#include "decide/custody/claim.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace myrtlehead::fleet {

// What the job has its node do: one statement of the users' protocol, by its parts.
struct Work {
  std::string submitter, mark, route, key, value; // value: "" for one that only reads
  bool operator==(const Work &) const = default;
};

struct Record {
  custody::Job job;
  Work work;
};

// What is wrong with a submission: the field, and what was expected of it.
struct Refused {
  std::string field, expected;
};

struct Routes {
  std::vector<std::string> names;
  std::vector<Repeat> kinds;
};

// A new job in its first state. `now`: Unix time, ns.
std::variant<Record, Refused> readSubmission(const std::string &body, const Routes &routes, Ns now);

std::string keyOf(const std::string &id); // of its register
std::string text(const Record &record);
std::optional<Record> readRecord(const std::string &text);  // nullopt: not one that this version has written
std::string told(const Record &record);                     // to who asks after the job
std::string statementOf(const Record &record, Ns patience); // with the mark, so that nodes know a repeat

} // namespace myrtlehead::fleet
