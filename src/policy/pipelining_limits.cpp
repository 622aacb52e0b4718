#include "policy/pipelining_limits.h"

namespace myrtlehead::pipelining_limits {

namespace {

constexpr std::size_t kMaxRequestsPerConnection = 128;
constexpr std::size_t kMaxAnswerBytesPerConnection = 256 * 1024;
constexpr std::size_t kMaxWaitingPerCapacity = 2; // requests that wait, of all connections
constexpr Nanoseconds kAdmissionWaitDivisor = 2;  // of the client's timeout: the part spent waiting at most

} // namespace

Nanoseconds admissionDeadline(Nanoseconds arrivedAt, Nanoseconds clientTimeout) {
  return arrivedAt + clientTimeout / kAdmissionWaitDivisor;
}

bool PipeliningLimits::mayStartMessage(const ConnectionUsage &usage) const {
  if (usage.bytes >= kMaxAnswerBytesPerConnection) return false;
  if (usage.requests == 0) return true;
  const auto maxWaiting = kMaxWaitingPerCapacity * static_cast<std::size_t>(capacity_);
  return usage.requests < kMaxRequestsPerConnection && waiting_.size() < maxWaiting;
}

void PipeliningLimits::admit(AdmissionTicket &ticket) {
  ticket.state = AdmissionTicket::admitted;
  ++admittedCount_;
}

void PipeliningLimits::enter(AdmissionTicket &ticket, RequestPosition position) {
  const bool hasCapacity = waiting_.empty() && admittedCount_ < capacity_;
  if (position == RequestPosition::first || hasCapacity) return admit(ticket);
  ticket.state = AdmissionTicket::waiting;
  ticket.queueAt = waiting_.insert(waiting_.end(), &ticket);
}

void PipeliningLimits::onBecameFirst(AdmissionTicket &ticket) {
  if (ticket.state != AdmissionTicket::waiting) return;
  waiting_.erase(ticket.queueAt);
  admit(ticket);
  if (ticket.onAdmitted) ticket.onAdmitted();
}

void PipeliningLimits::leave(AdmissionTicket &ticket) {
  const auto state = ticket.state;
  ticket.state = AdmissionTicket::outside;
  if (state == AdmissionTicket::waiting) waiting_.erase(ticket.queueAt);
  if (state != AdmissionTicket::admitted) return;
  --admittedCount_;
  if (waiting_.empty() || admittedCount_ >= capacity_) return;
  auto &next = *waiting_.front();
  waiting_.pop_front();
  admit(next);
  if (next.onAdmitted) next.onAdmitted();
}

} // namespace myrtlehead::pipelining_limits
