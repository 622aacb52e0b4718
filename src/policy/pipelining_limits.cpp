#include "policy/pipelining_limits.h"

namespace myrtlehead::pipelining_limits {

namespace {
constexpr std::size_t kMostRequests = 128;     // in hand on one connection
constexpr std::size_t kMostBytes = 256 * 1024; // of answers that one connection holds
constexpr std::size_t kMostWaiting = 2;        // times the places, of all connections
constexpr Nanoseconds kWaitParts = 2;          // one part in so many of its time may be spent waiting
} // namespace

Nanoseconds waitsUntil(Nanoseconds arrived, Nanoseconds patience) { return arrived + patience / kWaitParts; }

bool Admission::mayTakeUp(const ConnectionUsage &held) const {
  if (held.bytes >= kMostBytes) return false;
  if (held.requests == 0) return true;
  const auto mostWaiting = kMostWaiting * static_cast<std::size_t>(places_);
  return held.requests < kMostRequests && waiting_.size() < mostWaiting;
}

void Admission::admit(Ticket &ticket) {
  ticket.state = Ticket::admitted;
  ++attempted_;
}

void Admission::enter(Ticket &ticket, bool first) {
  const bool room = waiting_.empty() && attempted_ < places_;
  if (first || room) return admit(ticket);
  ticket.state = Ticket::waiting;
  ticket.at = waiting_.insert(waiting_.end(), &ticket);
}

void Admission::becameFirst(Ticket &ticket) {
  if (ticket.state != Ticket::waiting) return;
  waiting_.erase(ticket.at);
  admit(ticket);
  if (ticket.onAdmitted) ticket.onAdmitted();
}

void Admission::leave(Ticket &ticket) {
  const auto state = ticket.state;
  ticket.state = Ticket::outside;
  if (state == Ticket::waiting) waiting_.erase(ticket.at);
  if (state != Ticket::admitted) return;
  --attempted_;
  if (waiting_.empty() || attempted_ >= places_) return;
  auto &next = *waiting_.front();
  waiting_.pop_front();
  admit(next);
  if (next.onAdmitted) next.onAdmitted();
}

} // namespace myrtlehead::pipelining_limits
