// The open jobs in this member's store, and which of them it may acquire now.
#pragma once

#include "cluster/job_record.h"
#include "cluster/register_store.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace myrtlehead::cluster {

class JobCandidates {
public:
  // This member is the one with index `ownIndex` of `memberCount`.
  JobCandidates(RegisterStore &store, const job_lease::LeaseSettings &settings, std::uint32_t ownIndex,
                std::uint32_t memberCount)
      : store_(store), settings_(settings), ownIndex_(ownIndex), memberCount_(memberCount) {}

  // Register keys of the jobs to acquire or abandon now, by priority and due time, without those in `busy`.
  // Erases the records whose retention is over.
  std::vector<std::string> find(Nanoseconds now, const std::set<std::string> &busy);
  // Jobs that were neither finished nor busy at the last find().
  std::size_t openCount() const { return openCount_; }

private:
  // A stored job, decoded again only once another ballot has been accepted.
  struct Decoded {
    consensus::Ballot accepted;
    std::optional<job_lease::Job> job;
  };
  const std::optional<job_lease::Job> &decoded(const std::string &key, const consensus::AcceptorState &state);
  bool isMyTurn(const std::string &key, const job_lease::Job &job, Nanoseconds now);
  void erase(const std::string &key);

  RegisterStore &store_;
  const job_lease::LeaseSettings &settings_;
  std::uint32_t ownIndex_;
  std::uint32_t memberCount_;
  std::map<std::string, Decoded> decoded_;
  std::map<std::string, Nanoseconds> availableSince_; // by key, of jobs that any member may act on
  std::size_t openCount_ = 0;
};

} // namespace myrtlehead::cluster
