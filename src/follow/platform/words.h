// The platform's forms: its news of the newest build, its answers to votes, its verdicts.
#pragma once

#include "format/http/http.h"
#include "format/json/json.h"
#include "guard/terms.h"

#include <optional>

namespace myrtlehead::platform {

std::optional<News> readNews(const http::Fields &fields);
std::optional<News> readNews(const json::Value &object);

struct Flag {
  std::string server, route;
  Ns age = 0;
};
std::optional<Flag> readFlag(const http::Fields &fields);

// What a call came to: its answer, and the news in it where there is any.
struct Answer {
  Reply reply = Reply::timedOut;
  std::optional<News> news;
};
std::optional<Answer> readAnswer(int status, std::string_view body); // nullopt: it can't be read

std::string voteForm(const Vote &vote);

} // namespace myrtlehead::platform
