// Codec of the platform's messages: the rollout state of the newest build, reports of wrong answers, and the
// votes with the answers to them.
#pragma once

#include "format/http/http.h"
#include "format/json/json.h"
#include "policy/rollout_types.h"

#include <optional>

namespace myrtlehead::rollout {

// nullopt: a field is absent, or its value can't be read or is out of range.
std::optional<RolloutState> readRolloutState(const http::Fields &fields);
std::optional<RolloutState> readRolloutState(const json::Value &object);

// An endpoint answered a request wrongly.
struct WrongAnswerReport {
  std::string endpoint;
  std::string route;
  Nanoseconds age = 0; // since the attempt was sent
};
std::optional<WrongAnswerReport> readWrongAnswerReport(const http::Fields &fields);

// The answer to a vote, with the rollout state where the answer tells it.
struct VoteAnswer {
  VoteReply reply = VoteReply::timedOut;
  std::optional<RolloutState> state;
};
// nullopt: an answer that can't be read, which leaves open whether the vote counts.
std::optional<VoteAnswer> readVoteAnswer(int httpStatus, std::string_view body);

// The body of the HTTP request that casts the vote.
std::string writeVoteForm(const Vote &vote);

} // namespace myrtlehead::rollout
