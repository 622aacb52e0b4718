// A client's submission of a job: JSON, checked field by field.
#pragma once

#include "cluster/job_record.h"

#include <string>
#include <variant>
#include <vector>

namespace myrtlehead::cluster {

// The deployment's routes, by their index.
struct Routes {
  std::vector<std::string> names;
  std::vector<Idempotency> idempotency;
};

// The first thing that is wrong with a submission.
struct SubmissionError {
  std::string field; // "": the body as a whole
  std::string expected;
};

// A new job, queued. `now`: Unix time in ns.
std::variant<JobRecord, SubmissionError> parseSubmission(const std::string &body, const Routes &routes,
                                                         Nanoseconds now);

} // namespace myrtlehead::cluster
