// The platform's forms: its news of the newest build, its answers to votes, its verdicts.
#pragma once

#include "format/http/http.h"
#include "format/json/json.h"
#include "policy/rollout_types.h"

#include <optional>

namespace myrtlehead::rollout {

std::optional<RolloutState> readRolloutState(const http::Fields &fields);
std::optional<RolloutState> readRolloutState(const json::Value &object);

struct Flag {
  std::string server, route;
  Nanoseconds age = 0;
};
std::optional<Flag> readFlag(const http::Fields &fields);

// What a call came to: its answer, and the news in it where there is any.
struct Answer {
  VoteReply reply = VoteReply::timedOut;
  std::optional<RolloutState> news;
};
std::optional<Answer> readAnswer(int status, std::string_view body); // nullopt: it can't be read

std::string voteForm(const Vote &vote);

} // namespace myrtlehead::rollout
