#include "cluster/job_candidates.h"

#include <algorithm>

namespace myrtlehead::cluster {

using job_lease::Job;
using job_lease::LeaseAction;

const std::optional<Job> &JobCandidates::decodeCached(const std::string &key,
                                                      const consensus::AcceptorState &state) {
  auto &cached = decoded_[key];
  if (cached.accepted != state.accepted) {
    const auto record = parseStoredJson(state.value);
    cached = {state.accepted, record ? std::optional(record->job) : std::nullopt};
  }
  return cached.job;
}

// Whether this member may act on the job now. It may once decideLease() has permitted an action for as long
// as this member's acquisition delay, so that members which come earlier in the job's order act first.
bool JobCandidates::mayActNow(const std::string &key, const Job &job, Nanoseconds now) {
  const auto action = job_lease::decideLease(job, now, settings_).action;
  if (action != LeaseAction::acquire && action != LeaseAction::abandon) {
    availableSince_.erase(key);
    return false;
  }
  const auto since = availableSince_.emplace(key, now).first->second;
  return now - since >= job_lease::acquisitionDelay(job.id, ownIndex_, memberCount_);
}

void JobCandidates::erase(const std::string &key) {
  store_.erase(key);
  availableSince_.erase(key);
  decoded_.erase(key);
}

std::vector<std::string> JobCandidates::find(Nanoseconds now, const std::set<std::string> &runningKeys) {
  struct Candidate {
    Job job;
    std::string key;
  };
  std::vector<Candidate> candidates;
  std::vector<std::string> expired;
  openCount_ = 0;
  for (const auto &[key, state] : store_.all()) {
    const auto &job = decodeCached(key, state);
    if (!job) continue;
    if (job_lease::isRetentionExpired(*job, now, settings_)) expired.push_back(key);
    if (job_lease::isFinished(job->state) || runningKeys.contains(key)) {
      availableSince_.erase(key);
      continue;
    }
    ++openCount_;
    if (mayActNow(key, *job, now)) candidates.push_back({*job, key});
  }
  for (const auto &key : expired) erase(key);

  std::ranges::stable_sort(candidates, [](const Candidate &a, const Candidate &b) {
    return std::pair(-a.job.priority, a.job.dueAt) < std::pair(-b.job.priority, b.job.dueAt);
  });
  std::vector<std::string> keys;
  for (auto &candidate : candidates) keys.push_back(std::move(candidate.key));
  return keys;
}

} // namespace myrtlehead::cluster
