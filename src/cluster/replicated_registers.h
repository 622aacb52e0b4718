// The members' registers: what this member holds, and changes that it proposes to all. Written straight down:
// ask all for a promise, wait for a majority, ask all to accept, wait again.
#pragma once

#include "cluster/member_client.h"
#include "cluster/register_store.h"
#include "policy/consensus_register.h"

#include <functional>
#include <random>

namespace myrtlehead::cluster {

// What a change came to. unknown: a majority may or may not hold it, and a later reader decides that.
struct Changed {
  enum What { made, unwanted, noMajority, unknown } what = noMajority;
  std::string value; // made: the new one; unwanted: as it stands, which a majority has confirmed
};

class ReplicatedRegisters {
public:
  ReplicatedRegisters(net::Scheduler &sched, MemberClient &links, RegisterStore &ledger, std::uint32_t me,
                      std::uint32_t members, std::uint64_t seed);

  // The next value from the one that stands ("" where there is none); nullopt: none is wanted, which makes
  // the change a read. Asked again after each lost race, so it must depend on its argument alone.
  using Step = std::function<std::optional<std::string>(const std::string &)>;
  net::Task<Changed> change(std::string key, Step step, net::Deadline until);

  // What other members ask of this one; status 503 where its disk does not take it.
  net::Task<HttpResponse> promise(std::string body);
  net::Task<HttpResponse> accept(std::string body);

  std::uint32_t members() const { return members_; }
  std::uint32_t me() const { return me_; }
  // When each member last answered, for who asks after them; 0: not yet.
  const std::vector<net::Nanoseconds> &answeredAt() const { return answeredAt_; }

private:
  struct Phase;
  net::Task<> askOne(std::uint32_t member, std::string what, std::string body, net::Deadline until,
                     std::shared_ptr<Phase> phase);
  net::Task<custody::Count> askAll(std::string what, std::string key, custody::Ballot ballot,
                                   std::string value, net::Deadline until);
  double draw() { return std::uniform_real_distribution<double>(0, 1)(chance_); }

  net::Scheduler &sched_;
  MemberClient &memberClient_;
  RegisterStore &registerStore_;
  std::uint32_t me_, members_;
  std::uint64_t round_ = 0;
  std::knuth_b chance_;
  std::vector<net::Nanoseconds> answeredAt_;
};

} // namespace myrtlehead::cluster
