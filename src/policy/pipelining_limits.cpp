#include "policy/pipelining_limits.h"

namespace myrtlehead::pipelining_limits {

namespace {

constexpr std::size_t kMaxRequestsPerConnection = 128;
constexpr std::size_t kMaxAnswerBytesPerConnection = 256 * 1024;
constexpr std::size_t kMaxRequestBytesPerConnection = 256 * 1024;
// Maximum number of waiting requests of all connections, as a multiple of the capacity.
constexpr std::size_t kMaxWaitingPerCapacity = 2;
// A request waits for admission for at most 1/kAdmissionWaitDivisor of its client's timeout.
constexpr Nanoseconds kAdmissionWaitDivisor = 2;
// The share of the memory for large answers that only those that can be written next may use.
constexpr std::size_t kShareOfFirstAnswersDivisor = 2;

} // namespace

Nanoseconds admissionDeadline(Nanoseconds arrivedAt, Nanoseconds clientTimeout) {
  return arrivedAt + clientTimeout / kAdmissionWaitDivisor;
}

std::size_t answerMemoryToLeave(RequestPosition position, std::size_t capacity) {
  return position == RequestPosition::first ? 0 : capacity / kShareOfFirstAnswersDivisor;
}

bool PipeliningLimits::mayStartMessage(const ConnectionUsage &usage) const {
  if (usage.answerBytes >= kMaxAnswerBytesPerConnection) return false;
  if (usage.requests == 0) return true;
  if (usage.requestBytes >= kMaxRequestBytesPerConnection) return false;
  const auto maxWaiting = kMaxWaitingPerCapacity * static_cast<std::size_t>(capacity_);
  return usage.requests < kMaxRequestsPerConnection && waiting_.size() < maxWaiting;
}

void PipeliningLimits::admit(AdmissionTicket &ticket) {
  ticket.state = AdmissionTicket::admitted;
  ++admittedCount_;
}

void PipeliningLimits::requestAdmission(AdmissionTicket &ticket, RequestPosition position) {
  const bool hasCapacity = waiting_.empty() && admittedCount_ < capacity_;
  if (position == RequestPosition::first || hasCapacity) return admit(ticket);
  ticket.state = AdmissionTicket::waiting;
  ticket.queuePosition = waiting_.insert(waiting_.end(), &ticket);
}

void PipeliningLimits::onBecameFirst(AdmissionTicket &ticket) {
  if (ticket.state != AdmissionTicket::waiting) return;
  waiting_.erase(ticket.queuePosition);
  admit(ticket);
  if (ticket.onAdmitted) ticket.onAdmitted();
}

void PipeliningLimits::release(AdmissionTicket &ticket) {
  const auto state = ticket.state;
  ticket.state = AdmissionTicket::notRequested;
  if (state == AdmissionTicket::waiting) waiting_.erase(ticket.queuePosition);
  if (state != AdmissionTicket::admitted) return;
  --admittedCount_;
  if (waiting_.empty() || admittedCount_ >= capacity_) return;
  auto &next = *waiting_.front();
  waiting_.pop_front();
  admit(next);
  if (next.onAdmitted) next.onAdmitted();
}

} // namespace myrtlehead::pipelining_limits
