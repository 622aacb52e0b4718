#include "policy/job_lease.h"

#include <algorithm>
#include <xxhash.h>

namespace myrtlehead::custody {

namespace {

constexpr Nanoseconds kTurn = 150 * kMillisecond; // for each member before: about what a claim takes

// Whether a job that may have run already may be started again.
bool mayRepeat(const Job &job, Nanoseconds now, const Terms &terms) {
  if (job.starts >= terms.mostStarts) return false;
  if (job.kind == Idempotency::idempotent) return true;
  return job.kind == Idempotency::idempotentWithKey && now + terms.drift < job.firstBegun + job.window;
}

const char *whyNot(const Job &job, const Terms &terms) {
  if (job.starts >= terms.mostStarts) return "started as often as may be, and its outcome is not known";
  return job.kind == Idempotency::idempotentWithKey
             ? "its outcome is not known, and the window of its mark is over"
             : "its outcome is not known, and it may not run twice";
}

} // namespace

May mayClaim(const Job &job, Nanoseconds now, const Terms &terms) {
  if (over(job.state) || forgotten(job, now, terms)) return {};
  const bool lost = job.state == State::claimed || job.state == State::begun;
  const Nanoseconds free = job.until + terms.drift + (job.state == State::begun ? terms.grace : 0);
  if (lost && now < free) return {May::wait, free, ""};
  if (now >= job.due) return {May::giveUp, 0, "its due time has passed"};
  if (job.state == State::begun && !mayRepeat(job, now, terms)) return {May::giveUp, 0, whyNot(job, terms)};
  if (now < job.notBefore) return {May::wait, job.notBefore, ""};
  return {May::claim, 0, ""};
}

Nanoseconds turnOf(const std::string &id, std::uint32_t member, std::uint32_t members) {
  const auto weight = [&](std::uint32_t m) { return XXH64(id.data(), id.size(), m + 1); };
  std::uint32_t before = 0;
  for (std::uint32_t m = 0; m < members; ++m) before += weight(m) > weight(member);
  return before * kTurn;
}

bool forgotten(const Job &job, Nanoseconds now, const Terms &terms) { return now >= job.due + terms.keepFor; }

Job claimed(Job job, std::uint32_t member, std::uint64_t life, Nanoseconds now, const Terms &terms) {
  job.state = State::claimed;
  job.holder = member, job.life = life, job.until = now + terms.claimFor;
  return job;
}

bool mayBegin(const Job &job, std::uint32_t member, std::uint64_t life, Nanoseconds now, const Terms &terms) {
  const bool own = job.holder == member && job.life == life;
  return own && (job.state == State::claimed || job.state == State::begun) && now + terms.drift < job.until;
}

Job renewed(Job job, Nanoseconds now, const Terms &terms) {
  job.until = now + terms.claimFor;
  return job;
}

Job begun(Job job, Nanoseconds now) {
  job.state = State::begun;
  ++job.starts;
  if (job.firstBegun == 0) job.firstBegun = now;
  return job;
}

Job ended(Job job, How how, const std::string &reason, Nanoseconds now, double chance, const Terms &terms) {
  if (how ==
      How::neverExecuted) { // as if it had not begun, but for the count of starts, which bounds the work
    const bool first = job.starts <= 1;
    if (first) job.firstBegun = 0;
    if (job.starts >= terms.mostStarts) return job.state = State::failed, job.reason = reason, job;
  } else if (how == How::done || !mayRepeat(job, now, terms)) {
    job.state = how == How::done ? State::done : State::failed;
    return job.reason = reason, job;
  }
  const Nanoseconds most = std::min(terms.pauseFirst << std::min(job.starts, 20), terms.pauseMost);
  job.state = State::queued;
  job.notBefore = now + static_cast<Nanoseconds>(chance * static_cast<double>(most)); // full jitter
  return job.reason = reason, job;
}

Job givenUp(Job job, const std::string &reason) {
  job.state = State::givenUp;
  return job.reason = reason, job;
}

} // namespace myrtlehead::custody
