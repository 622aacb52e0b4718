// message_turns: how much of the clients' messages is handled in each round.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy/message_turns.h"

#include <vector>

using namespace myrtlehead::message_turns;

// Guards against clients with many messages that keep others from being answered for many rounds.
TEST_CASE("messages are admitted in their order, and each round admits a share of them") {
  MessageTurns turns;
  std::vector<MessageTurns::Ticket> tickets;
  for (int i = 0; i < 700; ++i) tickets.push_back(turns.enqueue(1'900, 1));
  std::size_t handled = 0;
  for (std::uint64_t round = 1; handled < tickets.size(); ++round) {
    const auto before = handled;
    while (handled < tickets.size() && turns.mayHandle(tickets[handled], round)) ++handled;
    if (handled < tickets.size()) CHECK(!turns.mayHandle(tickets.back(), round));
    CHECK(handled > before);
    CHECK(handled - before <= 50);
  }
}

TEST_CASE("what was not used in earlier rounds is not handed on") {
  MessageTurns turns;
  for (std::uint64_t round = 1; round < 100; ++round) CHECK(turns.mayHandle(turns.enqueue(10, round), round));
  CHECK(turns.mayHandle(turns.enqueue(262'144, 100), 100));
  CHECK(!turns.mayHandle(turns.enqueue(10, 100),
                         100)); // the large one has taken this round's share and the next
  CHECK(!turns.mayHandle(turns.enqueue(10, 101), 101));
  CHECK(turns.mayHandle(turns.enqueue(10, 102), 102));
}
