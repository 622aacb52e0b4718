#include "policy/consensus_register.h"

#include <algorithm>

namespace myrtlehead::consensus {

AcceptorReply prepare(AcceptorState &state, Ballot ballot) {
  if (ballot < state.promised) return {false, state.promised, {}, ""};
  state.promised = ballot;
  return {true, ballot, state.accepted, state.value};
}

// A ballot that this acceptor has never promised is accepted as well, unless the acceptor has promised a
// higher ballot: the proposer's quorum of promises may have come from other members.
AcceptorReply accept(AcceptorState &state, Ballot ballot, const std::string &value) {
  if (ballot < state.promised) return {false, state.promised, {}, ""};
  state = {ballot, ballot, value};
  return {true, ballot, ballot, ""};
}

void QuorumTally::addReply(std::uint32_t member, const AcceptorReply &reply) {
  highestPromised_ = std::max(highestPromised_, reply.highestPromised);
  if (!reply.granted) {
    addNoReply(member);
    return;
  }
  if (notGranted_.contains(member)) return;
  granted_.insert(member);
  if (reply.accepted > highestAccepted_) {
    highestAccepted_ = reply.accepted;
    value_ = reply.value;
  }
}

void QuorumTally::addNoReply(std::uint32_t member) {
  if (!granted_.contains(member)) notGranted_.insert(member);
}

} // namespace myrtlehead::consensus
