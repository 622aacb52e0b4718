// The registers that all members replicate, with this member as an acceptor and as a proposer. A proposal
// sends a prepare request to all members and waits for a quorum, then sends an accept request to all members
// and waits for a quorum again.
#pragma once

#include "cluster/consensus_messages.h"
#include "cluster/member_client.h"
#include "cluster/register_store.h"
#include "policy/consensus_register.h"

#include <functional>
#include <random>

namespace myrtlehead::cluster {

enum class ChangeOutcome {
  applied,   // a quorum has accepted the new value
  unchanged, // the transition asked for no change; a quorum has confirmed the current value
  noQuorum,  // no quorum has replied, and this proposer has changed nothing
  unknown,   // a quorum may or may not have accepted the new value; a later proposal decides that
};

struct ChangeResult {
  ChangeOutcome outcome = ChangeOutcome::noQuorum;
  std::string value; // the new value if applied, the current value if unchanged
};

class ReplicatedRegisters {
public:
  // `ownIndex` is this member's index, from 0, among the `memberCount` members.
  ReplicatedRegisters(net::Scheduler &sched, MemberClient &memberClient, RegisterStore &store,
                      std::uint32_t ownIndex, std::uint32_t memberCount, std::uint64_t seed);

  // Computes the next value from the current value, which is empty if the register has none. Returns nullopt
  // if no change is wanted, which makes the proposal a read. The function is evaluated again after each lost
  // race, so its result must depend only on its argument.
  using Transition = std::function<std::optional<std::string>(const std::string &)>;
  // Repeats proposals until a quorum has accepted one, the deadline has passed or the call is cancelled.
  net::Task<ChangeResult> change(std::string key, Transition transition, net::Deadline until);
  // Reads the current value and has it confirmed by a quorum.
  net::Task<ChangeResult> read(std::string key, net::Deadline until);

  // Handle a proposer's request to this acceptor; request and reply are JSON. The status is 400 if the
  // request is malformed, and 503 if the store could not persist the register.
  net::Task<HttpResponse> onPrepare(std::string body);
  net::Task<HttpResponse> onAccept(std::string body);

  std::uint32_t memberCount() const { return memberCount_; }
  std::uint32_t ownIndex() const { return ownIndex_; }
  // The time of each member's last reply, on the scheduler's clock; 0 if the member has not replied yet.
  const std::vector<net::Nanoseconds> &lastAnsweredAt() const { return lastAnsweredAt_; }

private:
  struct PhaseState;
  enum class ProposalOutcome { decided, undecided };
  net::Task<ProposalOutcome> propose(const std::string &key, const Transition &transition,
                                     net::Deadline until, ChangeResult &result);
  net::Task<consensus::QuorumTally> callAllMembers(ConsensusPhase phase, const ConsensusRequest &request,
                                                   net::Deadline until);
  net::Task<> callMember(std::uint32_t member, ConsensusPhase phase, std::string body, net::Deadline until,
                         std::shared_ptr<PhaseState> state);
  net::Task<std::optional<consensus::AcceptorReply>> requestReply(std::uint32_t member, ConsensusPhase phase,
                                                                  std::string body, net::Deadline until);
  net::Task<HttpResponse> replyOncePersisted(const std::string &key, const consensus::AcceptorReply &reply);
  net::Nanoseconds backoffAfter(int undecidedProposals);

  net::Scheduler &sched_;
  MemberClient &memberClient_;
  RegisterStore &store_;
  std::uint32_t ownIndex_;
  std::uint32_t memberCount_;
  std::uint64_t round_ = 0; // the highest round that this proposer has used or seen
  std::knuth_b random_;
  std::vector<net::Nanoseconds> lastAnsweredAt_;
};

} // namespace myrtlehead::cluster
