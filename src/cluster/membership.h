// The cluster's members and limits, from [fleet] in the settings. A member's index is its place in the
// settings' list of members, so all members must list them in the same order.
#pragma once

#include "base/net/socket.h"
#include "policy/job_lease.h"

#include <string>
#include <vector>

namespace myrtlehead::cluster {

struct Member {
  std::string name;
  net::Address address;
  bool operator==(const Member &) const = default;
};

struct Membership {
  std::uint32_t ownIndex = 0;  // the index of this instance in `members`
  net::Address listenAddress;  // for HTTP requests from members and clients
  std::string storeFolder;     // the folder of the register store
  std::vector<Member> members; // all members, this instance included
  job_lease::LeaseSettings leaseSettings;
  int maxOpenJobs = 1000; // submissions are rejected while this many jobs are open
  int maxRunningJobs = 4; // the maximum number of jobs that this instance executes at the same time
  bool operator==(const Membership &) const = default;
};

} // namespace myrtlehead::cluster
