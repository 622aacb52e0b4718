// Codec of the messages exchanged with the platform: the rollout state of the newest build, reports of wrong
// answers, votes and the answers to votes.
#pragma once

#include "format/http/http.h"
#include "format/json/json.h"
#include "policy/rollout_types.h"

#include <optional>

namespace myrtlehead::rollout {

// Both return nullopt if a field is absent, or if its value can't be parsed or is out of range.
std::optional<RolloutState> readRolloutState(const http::Fields &fields);
std::optional<RolloutState> readRolloutState(const json::Value &object);

// A client has reported that an endpoint answered a request wrongly.
struct WrongAnswerReport {
  std::string endpoint;
  std::string route;
  Nanoseconds age = 0; // time since the attempt was sent
};
// Returns nullopt if the endpoint is not named or the age can't be read.
std::optional<WrongAnswerReport> readWrongAnswerReport(const http::Fields &fields);

// The answer to a vote. The rollout state is set if the answer contains it.
struct VoteAnswer {
  VoteReply reply = VoteReply::timedOut;
  std::optional<RolloutState> state;
};
// Returns nullopt if the answer can't be read; the vote may or may not have been counted then.
std::optional<VoteAnswer> readVoteAnswer(int httpStatus, std::string_view body);

// Returns the body of the HTTP request that casts the vote.
std::string writeVoteForm(const Vote &vote);

} // namespace myrtlehead::rollout
