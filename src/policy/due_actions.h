// What falls due of itself, beside the answers to requests: votes, messages to peers and log lines.
#pragma once

#include "policy/rollout_types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace myrtlehead {

// A message to another instance.
struct PeerMessage {
  int to; // index of the instance; -1: every other one
  std::vector<std::uint8_t> bytes;
};

struct DueActions {
  std::vector<Vote> votes;
  std::vector<PeerMessage> messages;
  std::vector<std::string> logLines;
};

} // namespace myrtlehead
