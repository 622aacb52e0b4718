// A job together with its statement, and its three representations: the JSON stored in its register, the JSON
// reported to clients, and SQL.
#pragma once

#include "policy/job_lease.h"

#include <optional>
#include <string>

namespace myrtlehead::cluster {

// The statement that the job executes at an endpoint: it reads or writes one row.
struct JobStatement {
  std::string submitter;
  // Chosen by the submitter; "mark" in JSON. The submitter and this key together identify the job.
  std::string idempotencyKey;
  std::string route;    // the name of one of the deployment's routes
  std::string rowKey;   // hexadecimal
  std::string rowValue; // hexadecimal; empty if the statement reads the row
  bool operator==(const JobStatement &) const = default;
};

struct JobRecord {
  job_lease::Job job;
  JobStatement statement;
};

// The names of the idempotency kinds in JSON, in the order of the values of Idempotency.
extern const char *const kIdempotencyNames[3];

// Returns the job's id, 16 hexadecimal digits. The same submitter and idempotency key give the same id.
std::string jobIdOf(const JobStatement &statement);
// Returns the key of the job's register.
std::string registerKeyOf(const std::string &jobId);

// Returns the value of the job's register.
std::string toStoredJson(const JobRecord &record);
// Returns nullopt if the text is not a job record of the format version that this program writes.
std::optional<JobRecord> parseStoredJson(const std::string &text);

// Returns the body of the response to a client that asks for the job's state.
std::string toStatusJson(const JobRecord &record);

// Returns the statement as a client would send it. The statement carries the job's id as its idempotency key,
// by which endpoints recognise a repeated execution.
std::string toSql(const JobRecord &record, Nanoseconds timeout);

} // namespace myrtlehead::cluster
