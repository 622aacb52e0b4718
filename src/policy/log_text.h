// Names and formatting for the log lines of the routing policy.
#pragma once

#include "policy/request.h"
#include "policy/rollout_types.h"

#include <cstdio>
#include <string>

namespace myrtlehead {

inline const char *nameOf(Verdict verdict) {
  constexpr const char *kNames[] = {"abstain", "promote", "hold", "roll back"};
  return kNames[static_cast<int>(verdict)];
}

inline const char *nameOf(RolloutPhase phase) {
  constexpr const char *kNames[] = {"evaluating", "rolling back", "released", "withdrawn"};
  return kNames[static_cast<int>(phase)];
}

inline const char *nameOf(Outcome outcome) {
  constexpr const char *kNames[] = {"succeeded",   "failed", "rejected",  "timed out",
                                    "unreachable", "reset",  "cancelled", "not sent"};
  return kNames[static_cast<int>(outcome)];
}

inline const char *nameOf(VoteReply reply) {
  constexpr const char *kNames[] = {"accepted", "outdated", "rate limited", "error", "no reply"};
  return kNames[static_cast<int>(reply)];
}

// Formats a log line with a printf format. Lines longer than 159 characters are truncated.
template <class... Arguments> std::string formatLine(const char *format, Arguments... arguments) {
  constexpr std::size_t kMaxLength = 160;
  char text[kMaxLength];
  std::snprintf(text, sizeof text, format, arguments...);
  return text;
}

} // namespace myrtlehead
