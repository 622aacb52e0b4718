// The cluster's members and their addresses: the [fleet] part of an installation's settings. Members are
// numbered in the order in which all of them list them.
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
  std::uint32_t ownIndex = 0;  // this instance's place in `members`
  net::Address listenAddress;  // for HTTP from members and submitters
  std::string storeFolder;     // of the register store
  std::vector<Member> members; // with this one
  job_lease::LeaseSettings leaseSettings;
  int maxOpenJobs = 1000; // further submissions are rejected for a while
  int maxRunningJobs = 4; // that this instance executes at once
  bool operator==(const Membership &) const = default;
};

} // namespace myrtlehead::cluster
