// The rules of a replicated register: single-decree Paxos whose value can be changed again, as in CASPaxos.
// This file contains the acceptor's rules and the proposer's tally of replies; it does no I/O and reads no
// clock.
//
// A proposal reads or changes the value in two phases, prepare and accept. Each phase needs a quorum of the
// members. A change is a function of the current value, so a proposer that loses a race to another proposer
// evaluates the function again on the new value.
//
// Invariants: an acceptor grants no ballot below the highest one that it has promised, and a value that a
// quorum has accepted is the input of every later proposal.
#pragma once

#include <compare>
#include <cstdint>
#include <set>
#include <string>

namespace myrtlehead::consensus {

// Identifies and orders proposals; the greater ballot wins. No two proposals have the same ballot: `member`
// is the proposer's index, `incarnation` differs between the runs of that member, and each incarnation uses a
// round only once.
struct Ballot {
  std::uint64_t round = 0;
  std::uint64_t incarnation = 0;
  std::uint32_t member = 0;
  auto operator<=>(const Ballot &) const = default;
};

// An acceptor's state of one register. A change to the state must be on the member's disk before the reply
// that announces the change is sent.
struct AcceptorState {
  Ballot promised;   // proposals with a lower ballot are rejected
  Ballot accepted;   // the ballot under which `value` was accepted
  std::string value; // empty until a value has been accepted
  bool operator==(const AcceptorState &) const = default;
};

// An acceptor's reply to either phase.
struct AcceptorReply {
  bool granted = false;
  Ballot highestPromised;
  // In the reply to a granted prepare, the ballot and the value of the last accepted proposal. In every other
  // reply, `value` is empty.
  Ballot accepted;
  std::string value;
};

// Phase 1: promises to reject lower ballots. A repeated prepare with the same ballot is granted again,
// because the first reply may have been lost.
AcceptorReply prepare(AcceptorState &state, Ballot ballot);
// Phase 2: accepts the value unless a higher ballot has been promised.
AcceptorReply accept(AcceptorState &state, Ballot ballot, const std::string &value);

// The smallest number of members such that any two sets of that size have a member in common.
constexpr int quorumSize(int members) { return members / 2 + 1; }

// Counts the replies to one phase for a proposer. Each member counts once, by its first reply or failure.
class QuorumTally {
public:
  explicit QuorumTally(int members) : members_(members) {}
  void addReply(std::uint32_t member, const AcceptorReply &reply);
  // Records that the member did not reply; the member counts as not granting.
  void addNoReply(std::uint32_t member);

  bool isReached() const { return static_cast<int>(granted_.size()) >= quorumSize(members_); }
  // Whether so many members have not granted that no further reply can complete a quorum.
  bool isUnreachable() const {
    return members_ - static_cast<int>(notGranted_.size()) < quorumSize(members_);
  }
  // The value with the highest accepted ballot among the granted replies. The proposer must propose this
  // value or a change of it.
  const std::string &value() const { return value_; }
  // The round of the highest promised ballot in any reply.
  std::uint64_t highestRound() const { return highestPromised_.round; }

private:
  int members_;
  std::set<std::uint32_t> granted_;
  std::set<std::uint32_t> notGranted_;
  Ballot highestAccepted_;
  Ballot highestPromised_;
  std::string value_;
};

} // namespace myrtlehead::consensus
