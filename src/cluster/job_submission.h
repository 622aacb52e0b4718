// Parses and checks a client's submission of a job, which is a JSON object.
#pragma once

#include "cluster/job_record.h"

#include <string>
#include <variant>
#include <vector>

namespace myrtlehead::cluster {

// The names and idempotency of the deployment's routes, both indexed by route.
struct Routes {
  std::vector<std::string> names;
  std::vector<Idempotency> idempotency;
};

// The first error that was found in a submission.
struct SubmissionError {
  std::string field;    // the invalid field; empty if the body as a whole is invalid
  std::string expected; // what the field or body should be, as in "expected one JSON object"
};

// Returns a new job in the state queued, or the first error in the submission. `now` is the Unix time in ns.
std::variant<JobRecord, SubmissionError> parseSubmission(const std::string &body, const Routes &routes,
                                                         Nanoseconds now);

} // namespace myrtlehead::cluster
