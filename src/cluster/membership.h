// Who is in the fleet and where: the [fleet] part of an installation's settings. The members are numbered in
// the order in which all of them list them.
#pragma once

#include "base/net/socket.h"
#include "policy/job_lease.h"

#include <string>
#include <vector>

namespace myrtlehead::cluster {

struct Member {
  std::string name;
  net::Address at;
  bool operator==(const Member &) const = default;
};

struct Membership {
  std::uint32_t ownIndex = 0; // this instance's number
  net::Address listen;
  std::string folder; // its ledger's
  std::vector<Member> members;
  custody::Terms terms;
  int queue = 1000; // open jobs that are taken; more are refused for a while
  int slots = 4;    // jobs that this instance runs at once
  bool operator==(const Membership &) const = default;
};

} // namespace myrtlehead::cluster
