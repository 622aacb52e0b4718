#include "control/rollout/codec.h"

#include "format/http/xml.h"

#include <charconv>
#include <cmath>

namespace myrtlehead::rollout {

namespace {

constexpr std::string_view kPhases[] = {"Progressing", "Aborting", "Healthy", "Aborted"};
constexpr std::string_view kVerdicts[] = {"none", "on", "hold", "back"};

bool number(std::string_view text, double least, double most, double &out) {
  const auto r = std::from_chars(text.data(), text.data() + text.size(), out);
  return !text.empty() && r.ec == std::errc{} && r.ptr == text.data() + text.size() && std::isfinite(out) &&
         out >= least && out <= most;
}

} // namespace

std::optional<RolloutState> readRolloutState(const http::Fields &fields) {
  RolloutState news;
  double build = 0, stage = 0, age = 0;
  if (!number(http::value(fields, "build"), 0, 65535, build) ||
      !number(http::value(fields, "stage"), 0, 255, stage) ||
      !number(http::value(fields, "cap"), 0, 1, news.exposureCap) ||
      !number(http::value(fields, "age_ms"), 0, 1e12, age))
    return std::nullopt;
  const auto phase = http::value(fields, "phase");
  int i = 0;
  while (i < 4 && kPhases[i] != phase) ++i;
  if (i == 4) return std::nullopt;
  news.build = static_cast<int>(build);
  news.stage = static_cast<int>(stage);
  news.phase = static_cast<RolloutPhase>(i);
  news.age = static_cast<Nanoseconds>(age * static_cast<double>(kMillisecond));
  return news;
}

std::optional<RolloutState> readRolloutState(const json::Value &object) {
  http::Fields fields;
  for (const auto &[name, value] : object.fields) fields.emplace_back(name, value.text);
  return readRolloutState(fields);
}

std::optional<Flag> readFlag(const http::Fields &fields) {
  Flag flag;
  double age = 0;
  flag.server = http::value(fields, "server");
  flag.route = http::value(fields, "class");
  if (flag.server.empty() || !number(http::value(fields, "age_ms"), 0, 1e12, age)) return std::nullopt;
  flag.age = static_cast<Nanoseconds>(age * static_cast<double>(kMillisecond));
  return flag;
}

// An answer that can't be read leaves open whether the vote counts.
std::optional<Answer> readAnswer(int status, std::string_view body) {
  http::Fields leaves;
  if (!http::parseXml(body, leaves)) return std::nullopt;
  if (status == 200) {
    const auto news = readRolloutState(leaves);
    return news ? std::optional(Answer{VoteReply::accepted, news}) : std::nullopt;
  }
  const auto code = http::value(leaves, "Code");
  if (status == 400 && code == "BUSY") return Answer{VoteReply::rateLimited, {}};
  if (status == 400 && code == "STALE") return Answer{VoteReply::outdated, {}};
  if ((status == 500 && code == "FAILED") || (status == 400 && code == "SYNTAX"))
    return Answer{VoteReply::error, {}};
  return std::nullopt;
}

std::string voteForm(const Vote &vote) {
  return http::writeForm({{"Action", "RecordOpinion"},
                          {"build", std::to_string(vote.build)},
                          {"stage", std::to_string(vote.stage)},
                          {"verdict", std::string(kVerdicts[static_cast<int>(vote.verdict)])}});
}

} // namespace myrtlehead::rollout
