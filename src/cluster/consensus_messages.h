// The JSON messages between members: a proposer's request in either phase, and an acceptor's reply.
#pragma once

#include "policy/consensus_register.h"

#include <optional>
#include <string>
#include <variant>

namespace myrtlehead::cluster {

struct ConsensusRequest {
  std::string key; // the register's key, 1 to 200 bytes
  consensus::Ballot ballot;
  std::string value; // at most 16 KiB; empty in a prepare request
};

// The error of a message that can't be parsed.
struct MalformedMessage {
  std::string message;
};

std::string toJson(const ConsensusRequest &request);
std::variant<ConsensusRequest, MalformedMessage> parseConsensusRequest(const std::string &text);

std::string toJson(const consensus::AcceptorReply &reply);
// Returns nullopt if the text is not a valid acceptor reply.
std::optional<consensus::AcceptorReply> parseAcceptorReply(const std::string &text);

} // namespace myrtlehead::cluster
