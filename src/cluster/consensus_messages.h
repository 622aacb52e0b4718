// The JSON of calls between members: a proposer's request of either phase, and an acceptor's reply.
#pragma once

#include "policy/consensus_register.h"

#include <optional>
#include <string>
#include <variant>

namespace myrtlehead::cluster {

struct ConsensusRequest {
  std::string key; // of the register, 1 to 200 bytes
  consensus::Ballot ballot;
  std::string value; // at most 16 KiB; "" in a prepare
};

struct MalformedMessage {
  std::string message;
};

std::string toJson(const ConsensusRequest &request);
std::variant<ConsensusRequest, MalformedMessage> parseConsensusRequest(const std::string &text);

std::string toJson(const consensus::AcceptorReply &reply);
// nullopt: not a reply of this form.
std::optional<consensus::AcceptorReply> parseReply(const std::string &text);

} // namespace myrtlehead::cluster
