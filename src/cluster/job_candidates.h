// Finds the jobs in this member's register store that the member may acquire or abandon now.
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
  // `ownIndex` is this member's index, from 0, among the `memberCount` members.
  JobCandidates(RegisterStore &store, const job_lease::LeaseSettings &settings, std::uint32_t ownIndex,
                std::uint32_t memberCount)
      : store_(store), settings_(settings), ownIndex_(ownIndex), memberCount_(memberCount) {}

  // Returns the register keys of the jobs to acquire or abandon now, ordered by priority and due time. Jobs
  // in `runningKeys`, on which this member works already, are left out. Erases the records whose retention
  // has expired.
  std::vector<std::string> find(Nanoseconds now, const std::set<std::string> &runningKeys);
  // The number of jobs that were neither finished nor running here at the last call of find().
  std::size_t openCount() const { return openCount_; }

private:
  // A cached decoded job. It is decoded again only after the register has accepted another ballot.
  struct DecodedRecord {
    consensus::Ballot accepted;
    std::optional<job_lease::Job> job;
  };
  const std::optional<job_lease::Job> &decodeCached(const std::string &key,
                                                    const consensus::AcceptorState &state);
  bool mayActNow(const std::string &key, const job_lease::Job &job, Nanoseconds now);
  void erase(const std::string &key);

  RegisterStore &store_;
  const job_lease::LeaseSettings &settings_;
  std::uint32_t ownIndex_;
  std::uint32_t memberCount_;
  std::map<std::string, DecodedRecord> decoded_;
  // By register key: since when any member may act on the job (Unix time in ns).
  std::map<std::string, Nanoseconds> availableSince_;
  std::size_t openCount_ = 0;
};

} // namespace myrtlehead::cluster
