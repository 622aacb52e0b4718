// Actions of the routing policy that are not answers to requests: votes, messages to peers and log lines.
#pragma once

#include "policy/rollout_types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace myrtlehead {

// A message to another instance.
struct PeerMessage {
  int to; // index of the receiving instance; -1: all other instances
  std::vector<std::uint8_t> bytes;
};

// Actions for the caller to carry out; see RoutingPolicy::runDueTasks().
struct DueActions {
  std::vector<Vote> votes;
  std::vector<PeerMessage> messages;
  std::vector<std::string> logLines;
};

} // namespace myrtlehead
