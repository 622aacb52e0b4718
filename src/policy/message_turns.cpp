#include "policy/message_turns.h"

#include <algorithm>

namespace myrtlehead::message_turns {

namespace {

constexpr std::uint64_t kBytesPerRound = 128 * 1024;
constexpr std::uint64_t kMessageBytes = 1024; // the work for the shortest message, as a number of bytes

} // namespace

void MessageTurns::beginRound(std::uint64_t round) {
  if (round == round_) return;
  round_ = round;
  admittedBefore_ = std::min(admittedBefore_, end_) + kBytesPerRound;
}

MessageTurns::Ticket MessageTurns::enqueue(std::size_t bytes, std::uint64_t round) {
  beginRound(round);
  const auto ticket = end_;
  end_ += kMessageBytes + bytes;
  return ticket;
}

bool MessageTurns::mayHandle(Ticket ticket, std::uint64_t round) {
  beginRound(round);
  return ticket < admittedBefore_;
}

} // namespace myrtlehead::message_turns
