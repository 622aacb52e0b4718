#include "control/rollout/codec.h"

#include "format/http/xml.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace myrtlehead::rollout {

namespace {

// The names that the platform uses, in the order of the enumerators of RolloutPhase and Verdict.
constexpr std::array<std::string_view, 4> kPhaseNames{"Progressing", "Aborting", "Healthy", "Aborted"};
constexpr std::array<std::string_view, 4> kVerdictNames{"none", "on", "hold", "back"};

constexpr double kMaxBuild = 65535;
constexpr double kMaxStage = 255;
constexpr double kMaxAgeMilliseconds = 1e12;

// Returns nullopt if the field is absent, is not a finite number or is outside [min, max].
std::optional<double> readNumber(const http::Fields &fields, std::string_view name, double min, double max) {
  const auto text = http::value(fields, name);
  const auto *end = text.data() + text.size();
  double out = 0;
  const auto result = std::from_chars(text.data(), end, out);
  if (text.empty() || result.ec != std::errc{} || result.ptr != end) return std::nullopt;
  if (!std::isfinite(out) || out < min || out > max) return std::nullopt;
  return out;
}

std::optional<Nanoseconds> readAge(const http::Fields &fields) {
  const auto milliseconds = readNumber(fields, "age_ms", 0, kMaxAgeMilliseconds);
  if (!milliseconds) return std::nullopt;
  return static_cast<Nanoseconds>(*milliseconds * static_cast<double>(kMillisecond));
}

std::optional<RolloutPhase> readPhase(const http::Fields &fields) {
  const auto found = std::find(kPhaseNames.begin(), kPhaseNames.end(), http::value(fields, "phase"));
  if (found == kPhaseNames.end()) return std::nullopt;
  return static_cast<RolloutPhase>(found - kPhaseNames.begin());
}

} // namespace

std::optional<RolloutState> readRolloutState(const http::Fields &fields) {
  const auto build = readNumber(fields, "build", 0, kMaxBuild);
  const auto stage = readNumber(fields, "stage", 0, kMaxStage);
  const auto cap = readNumber(fields, "cap", 0, 1);
  const auto age = readAge(fields);
  const auto phase = readPhase(fields);
  if (!build || !stage || !cap || !age || !phase) return std::nullopt;
  RolloutState state;
  state.build = static_cast<int>(*build);
  state.stage = static_cast<int>(*stage);
  state.phase = *phase;
  state.exposureCap = *cap;
  state.age = *age;
  return state;
}

std::optional<RolloutState> readRolloutState(const json::Value &object) {
  http::Fields fields;
  for (const auto &[name, value] : object.fields) fields.emplace_back(name, value.text);
  return readRolloutState(fields);
}

std::optional<WrongAnswerReport> readWrongAnswerReport(const http::Fields &fields) {
  WrongAnswerReport report;
  report.endpoint = http::value(fields, "server");
  report.route = http::value(fields, "class");
  const auto age = readAge(fields);
  if (report.endpoint.empty() || !age) return std::nullopt;
  report.age = *age;
  return report;
}

std::optional<VoteAnswer> readVoteAnswer(int httpStatus, std::string_view body) {
  http::Fields leaves;
  if (!http::parseXml(body, leaves)) return std::nullopt;
  if (httpStatus == 200) {
    const auto state = readRolloutState(leaves);
    if (!state) return std::nullopt;
    return VoteAnswer{VoteReply::accepted, state};
  }
  const auto code = http::value(leaves, "Code");
  if (httpStatus == 400 && code == "BUSY") return VoteAnswer{VoteReply::rateLimited, {}};
  if (httpStatus == 400 && code == "STALE") return VoteAnswer{VoteReply::outdated, {}};
  if (httpStatus == 400 && code == "SYNTAX") return VoteAnswer{VoteReply::error, {}};
  if (httpStatus == 500 && code == "FAILED") return VoteAnswer{VoteReply::error, {}};
  return std::nullopt;
}

std::string writeVoteForm(const Vote &vote) {
  const auto verdict = kVerdictNames[static_cast<std::size_t>(vote.verdict)];
  return http::writeForm({{"Action", "RecordOpinion"},
                          {"build", std::to_string(vote.build)},
                          {"stage", std::to_string(vote.stage)},
                          {"verdict", std::string(verdict)}});
}

} // namespace myrtlehead::rollout
