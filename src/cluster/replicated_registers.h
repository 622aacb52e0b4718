// The registers that the members replicate: this member as an acceptor, and as a proposer to all. One
// proposal is a prepare to all members, a wait for a quorum, an accept to all, and a wait again.
#pragma once

#include "cluster/consensus_messages.h"
#include "cluster/member_client.h"
#include "cluster/register_store.h"
#include "policy/consensus_register.h"

#include <functional>
#include <random>

namespace myrtlehead::cluster {

enum class ChangeOutcome {
  applied,   // a quorum holds the new value
  unchanged, // no change was wanted; a quorum has confirmed the current value
  noQuorum,  // nothing was changed by this proposer
  unknown,   // a quorum may or may not hold the new value; a later proposal decides that
};

struct ChangeResult {
  ChangeOutcome outcome = ChangeOutcome::noQuorum;
  std::string value; // applied: the new one; unchanged: the current one
};

class ReplicatedRegisters {
public:
  // `memberCount` members, of which this is the one with index `ownIndex`.
  ReplicatedRegisters(net::Scheduler &sched, MemberClient &memberClient, RegisterStore &store,
                      std::uint32_t ownIndex, std::uint32_t memberCount, std::uint64_t seed);

  // The next value from the current one ("" where there is none); nullopt: no change is wanted, which makes
  // the proposal a read. Evaluated again after each lost race, so it must depend on its argument alone.
  using Transition = std::function<std::optional<std::string>(const std::string &)>;
  // Proposes until a quorum has accepted, or the deadline.
  net::Task<ChangeResult> change(std::string key, Transition transition, net::Deadline until);
  // The current value, confirmed by a quorum: a change with a transition that wants none.
  net::Task<ChangeResult> read(std::string key, net::Deadline until);

  // Calls of proposers to this acceptor, as JSON. Status 400: malformed; 503: the store could not persist it.
  net::Task<HttpResponse> onPrepare(std::string body);
  net::Task<HttpResponse> onAccept(std::string body);

  std::uint32_t memberCount() const { return memberCount_; }
  std::uint32_t ownIndex() const { return ownIndex_; }
  // When each member last answered, on the scheduler's clock; 0: not yet.
  const std::vector<net::Nanoseconds> &lastAnsweredAt() const { return lastAnsweredAt_; }

private:
  struct Phase;
  enum class ProposalEnd { decided, undecided };
  net::Task<ProposalEnd> propose(const std::string &key, const Transition &transition, net::Deadline until,
                                 ChangeResult &result);
  net::Task<consensus::QuorumTally> callAll(ConsensusPhase call, const ConsensusRequest &request,
                                            net::Deadline until);
  net::Task<> callMember(std::uint32_t member, ConsensusPhase call, std::string body, net::Deadline until,
                         std::shared_ptr<Phase> phase);
  net::Task<std::optional<consensus::AcceptorReply>> replyOf(std::uint32_t member, ConsensusPhase call,
                                                             std::string body, net::Deadline until);
  net::Task<HttpResponse> replyOncePersisted(const std::string &key, const consensus::AcceptorReply &reply);
  net::Nanoseconds backoffAfter(int undecided);

  net::Scheduler &sched_;
  MemberClient &memberClient_;
  RegisterStore &store_;
  std::uint32_t ownIndex_;
  std::uint32_t memberCount_;
  std::uint64_t round_ = 0; // the highest that this proposer has used or seen
  std::knuth_b random_;
  std::vector<net::Nanoseconds> lastAnsweredAt_;
};

} // namespace myrtlehead::cluster
