// Tests the acceptor's rules and the proposer's tally without I/O: promises are kept, and a value that a
// quorum has accepted is the input of every later proposal.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy/consensus_register.h"

#include <map>
#include <random>
#include <vector>

using namespace myrtlehead::consensus;

TEST_CASE("an acceptor rejects every ballot below the one that it has promised") {
  AcceptorState state;
  CHECK(prepare(state, {2, 1, 0}).granted);
  CHECK(prepare(state, {2, 1, 0}).granted); // the first reply may have been lost
  CHECK(!prepare(state, {1, 9, 2}).granted);
  CHECK(prepare(state, {1, 9, 2}).highestPromised == Ballot{2, 1, 0});
  CHECK(!accept(state, {1, 9, 2}, "old").granted);
  CHECK(state.value.empty());
  CHECK(accept(state, {2, 1, 0}, "a").granted);
  CHECK(prepare(state, {3, 1, 1}).value == "a");
}

TEST_CASE("a tally returns the value with the highest accepted ballot and counts each member once") {
  QuorumTally tally(5);
  tally.addReply(0, {true, {9, 1, 0}, {3, 1, 1}, "older"});
  tally.addReply(0, {true, {9, 1, 0}, {3, 1, 1}, "older"});
  CHECK(!tally.isReached());
  tally.addReply(1, {true, {9, 1, 0}, {4, 1, 2}, "newer"});
  tally.addNoReply(2);
  tally.addReply(3, {false, {12, 1, 4}, {}, ""});
  CHECK(!tally.isReached());
  CHECK(!tally.isUnreachable());
  tally.addReply(4, {true, {9, 1, 0}, {}, ""});
  CHECK(tally.isReached());
  CHECK(tally.value() == "newer");
  CHECK(tally.highestRound() == 12);
  QuorumTally unanswered(3);
  unanswered.addNoReply(0);
  unanswered.addNoReply(1);
  CHECK(unanswered.isUnreachable());
}

// Runs random proposals over a network that loses messages at random: once a quorum has accepted a value,
// each accepted value with a higher ballot must have been computed from it.
TEST_CASE("a value that a quorum has accepted is never lost, whichever messages are lost") {
  int decided = 0;
  for (unsigned seed = 1; seed <= 400; ++seed) {
    std::knuth_b random(seed);
    const auto randomBelow = [&](int n) { return std::uniform_int_distribution<int>(0, n - 1)(random); };
    const int members = 3 + 2 * randomBelow(2);
    std::vector<AcceptorState> acceptors(static_cast<std::size_t>(members));
    std::map<Ballot, std::string> chosen;
    for (std::uint64_t round = 1; round < 30; ++round) {
      const Ballot ballot{1 + static_cast<std::uint64_t>(randomBelow(30)), 1000 * seed + round,
                          static_cast<std::uint32_t>(randomBelow(3))};
      QuorumTally promises(members);
      QuorumTally accepts(members);
      for (int m = 0; m < members; ++m)
        if (randomBelow(4) != 0)
          promises.addReply(static_cast<std::uint32_t>(m),
                            prepare(acceptors[static_cast<std::size_t>(m)], ballot));
      if (!promises.isReached()) continue;
      const auto next = promises.value() + "," + std::to_string(round);
      for (int m = 0; m < members; ++m)
        if (randomBelow(4) != 0)
          accepts.addReply(static_cast<std::uint32_t>(m),
                           accept(acceptors[static_cast<std::size_t>(m)], ballot, next));
      if (!accepts.isReached()) continue;
      chosen[ballot] = next;
      ++decided;
    }
    const std::string *previousValue = nullptr;
    for (const auto &[ballot, value] : chosen) {
      if (previousValue != nullptr) CHECK(value.starts_with(*previousValue));
      previousValue = &value;
    }
  }
  CHECK(decided > 1000);
}
