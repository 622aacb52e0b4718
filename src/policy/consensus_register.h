// A replicated register: single-decree Paxos that carries its value on, as in CASPaxos. The value is read and
// changed by proposals in two phases (prepare, accept), each of which needs a quorum of the members. No I/O
// and no clock: an acceptor's state with its answers, and a proposer's tally of them. A change is a function
// of the current value, so a proposer that lost a race evaluates it again.
#pragma once

#include <compare>
#include <cstdint>
#include <set>
#include <string>

namespace myrtlehead::consensus {

// Orders proposals; the greater ballot wins. No two proposals share one: `member` is the proposer's index,
// `incarnation` differs in each of its runs, and one incarnation uses a round once.
struct Ballot {
  std::uint64_t round = 0;
  std::uint64_t incarnation = 0;
  std::uint32_t member = 0;
  auto operator<=>(const Ballot &) const = default;
};

// An acceptor's state of one register. It must be on its disk before a reply leaves that has changed it.
struct AcceptorState {
  Ballot promised;   // nothing below it is promised or accepted any more
  Ballot accepted;   // the ballot under which `value` was accepted
  std::string value; // "" while nothing was accepted
  bool operator==(const AcceptorState &) const = default;
};

// An acceptor's reply to either phase.
struct AcceptorReply {
  bool granted = false;
  Ballot highestPromised;
  Ballot accepted;   // of a granted prepare, with `value`: the last accepted proposal
  std::string value; // "" in every other reply
};

// Phase 1: promises to ignore lower ballots. Granted again for the same ballot, as the first reply may have
// been lost.
AcceptorReply prepare(AcceptorState &state, Ballot ballot);
// Phase 2: accepts the value unless a higher ballot was promised.
AcceptorReply accept(AcceptorState &state, Ballot ballot, const std::string &value);

// The smallest number of members of which any two sets share one.
constexpr int quorumOf(int members) { return members / 2 + 1; }

// A proposer's tally of the replies to one phase. Each member counts once, by its first answer.
class QuorumTally {
public:
  explicit QuorumTally(int members) : members_(members) {}
  void addReply(std::uint32_t member, const AcceptorReply &reply);
  // The member did not answer: it counts as not granting.
  void addNoReply(std::uint32_t member);

  bool isReached() const { return static_cast<int>(granted_.size()) >= quorumOf(members_); }
  // Too many members have not granted: no further reply can make up a quorum.
  bool isUnreachable() const { return members_ - static_cast<int>(notGranted_.size()) < quorumOf(members_); }
  // The value accepted under the highest ballot of all granted replies, which the proposer must carry on.
  const std::string &value() const { return value_; }
  // The highest round that any reply has named.
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
