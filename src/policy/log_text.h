// The words and the form of log lines.
#pragma once

#include "policy/types.h"

#include <cstdio>

namespace myrtlehead {

inline const char *word(Verdict v) {
  constexpr const char *kWords[] = {"withdraws", "on", "hold", "back"};
  return kWords[static_cast<int>(v)];
}

inline const char *word(RolloutPhase p) {
  constexpr const char *kWords[] = {"on trial", "going back", "released", "withdrawn"};
  return kWords[static_cast<int>(p)];
}

inline const char *word(Outcome o) {
  constexpr const char *kWords[] = {"completed",   "errored", "turned away", "timed out",
                                    "unreachable", "reset",   "cancelled",   "not sent"};
  return kWords[static_cast<int>(o)];
}

inline const char *word(VoteReply r) {
  constexpr const char *kWords[] = {"ok", "moot", "full", "error", "no answer"};
  return kWords[static_cast<int>(r)];
}

template <class... A> std::string line(const char *format, A... a) {
  char text[160];
  std::snprintf(text, sizeof text, format, a...);
  return text;
}

} // namespace myrtlehead
