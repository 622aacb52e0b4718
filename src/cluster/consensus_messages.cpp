#include "cluster/consensus_messages.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace myrtlehead::cluster {

using consensus::AcceptorReply;
using consensus::Ballot;
using nlohmann::json;

namespace {

constexpr std::size_t kMaxKeyBytes = 200;
constexpr std::size_t kMaxValueBytes = 16 * 1024;

json ballotToJson(const Ballot &ballot) {
  return json::array({ballot.round, ballot.incarnation, ballot.member});
}

// Throws json::exception.
Ballot parseBallot(const json &in) {
  return {in.at(0).get<std::uint64_t>(), in.at(1).get<std::uint64_t>(), in.at(2).get<std::uint32_t>()};
}

} // namespace

std::string toJson(const ConsensusRequest &request) {
  return json{{"key", request.key}, {"ballot", ballotToJson(request.ballot)}, {"value", request.value}}
      .dump();
}

std::variant<ConsensusRequest, MalformedMessage> parseConsensusRequest(const std::string &text) {
  try {
    const auto in = json::parse(text);
    ConsensusRequest request;
    request.key = in.at("key").get<std::string>();
    request.value = in.value("value", "");
    request.ballot = parseBallot(in.at("ballot"));
    if (request.key.empty() || request.key.size() > kMaxKeyBytes || request.value.size() > kMaxValueBytes)
      throw json::other_error::create(
          501,
          fmt::format("key must have 1 to {} bytes and value at most {} bytes", kMaxKeyBytes, kMaxValueBytes),
          nullptr);
    return request;
  } catch (const json::exception &e) {
    return MalformedMessage{e.what()};
  }
}

std::string toJson(const AcceptorReply &reply) {
  return json{{"granted", reply.granted},
              {"seen", ballotToJson(reply.highestPromised)},
              {"accepted", ballotToJson(reply.accepted)},
              {"value", reply.value}}
      .dump();
}

std::optional<AcceptorReply> parseAcceptorReply(const std::string &text) {
  try {
    const auto in = json::parse(text);
    return AcceptorReply{in.at("granted").get<bool>(), parseBallot(in.at("seen")),
                         parseBallot(in.at("accepted")), in.at("value").get<std::string>()};
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

} // namespace myrtlehead::cluster
