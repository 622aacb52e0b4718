// Shares the processor time between the clients' messages: how much of what clients have written behind other
// messages is handled in one round of the scheduler. No I/O; the round is an argument.
#pragma once

#include <cstddef>
#include <cstdint>

namespace myrtlehead::message_turns {

// Admits messages in the order in which they were enqueued, so many bytes in each round, so that clients that
// write many messages at once do not delay those that write one at a time.
class MessageTurns {
public:
  using Ticket = std::uint64_t;

  // Returns the place in the queue of a message of `bytes` bytes that is ready in the round of this number.
  Ticket enqueue(std::size_t bytes, std::uint64_t round);
  // Whether the message may be handled in the round of this number.
  bool mayHandle(Ticket ticket, std::uint64_t round);

private:
  void beginRound(std::uint64_t round);
  std::uint64_t round_ = 0;
  // Positions in the queue, in bytes since the process started.
  std::uint64_t end_ = 0;
  std::uint64_t admittedBefore_ = 0;
};

} // namespace myrtlehead::message_turns
