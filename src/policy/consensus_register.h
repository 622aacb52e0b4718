// A register that a majority of the members keeps: read and changed by ballots, one decree at a time
// (single-decree Paxos with the value carried on, as in CASPaxos). No I/O and no clock: what one member
// holds, and what a proposer may make of the answers. A change is a function of the value as it stands, so a
// lost race is asked anew.
#pragma once

#include <compare>
#include <cstdint>
#include <set>
#include <string>

namespace myrtlehead::custody {

// Greater ones win. No two proposals share one: `member` is the proposer's number, `life` is another in each
// of its lives, and a life uses a round once.
struct Ballot {
  std::uint64_t round = 0, life = 0;
  std::uint32_t member = 0;
  auto operator<=>(const Ballot &) const = default;
};

// What a member holds of one register. It must be on its disk before an answer leaves that has changed it.
struct Held {
  Ballot promised, accepted;
  std::string value; // "" while nothing was accepted
  bool operator==(const Held &) const = default;
};

struct Answer {
  bool granted = false;
  Ballot seen;     // the highest that the member has promised
  Ballot accepted; // with `value`, of a granted promise: what stood before
  std::string value;
};

// A promise to heed nothing below the ballot; again for the same ballot, as an answer may have been lost.
Answer promise(Held &held, Ballot ballot);
Answer accept(Held &held, Ballot ballot, const std::string &value);

constexpr int majorityOf(int members) { return members / 2 + 1; }

// A proposer's count of one phase.
class Count {
public:
  explicit Count(int members) : members_(members) {}
  void heard(std::uint32_t member, const Answer &answer); // a second answer of a member counts once
  void silent(std::uint32_t member);                      // it gave none: neither yes nor no
  bool reached() const { return static_cast<int>(yes_.size()) >= majorityOf(members_); }
  bool lost() const {
    return members_ - static_cast<int>(no_.size()) < majorityOf(members_);
  } // can't be any more
  // Of the answers so far: what the register may hold, which a proposer must carry on, and the highest
  // ballot.
  const std::string &value() const { return value_; }
  std::uint64_t round() const { return seen_.round; }

private:
  int members_;
  std::set<std::uint32_t> yes_, no_;
  Ballot accepted_, seen_;
  std::string value_;
};

} // namespace myrtlehead::custody
