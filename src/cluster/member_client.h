// Calls from one member to another: a request, a deadline, and a response or how far the request came. The
// consensus code knows members through MemberClient alone, so the laboratory runs it over links in memory.
#pragma once

#include "base/http_client/persistent_connection.h"
#include "cluster/http_message.h"
#include "cluster/membership.h"

#include <memory>

namespace myrtlehead::cluster {

// What a proposer calls at an acceptor: the two phases of a proposal.
enum class ConsensusPhase { prepare, accept };

class MemberClient {
public:
  virtual ~MemberClient() = default;
  // `body`: the call's JSON, see consensus_messages.
  virtual net::Task<net::Result<HttpResponse>> call(std::uint32_t member, ConsensusPhase phase,
                                                    std::string body, net::Deadline until) = 0;
};

// One persistent HTTP connection for each member, so that a member that stalls delays no other. Calls beyond
// kMaxCallsInFlight to one member fail at once, as not connected.
class HttpMemberClient final : public MemberClient {
public:
  HttpMemberClient(net::Scheduler &sched, net::DescriptorBudget &budget, const Membership &membership);
  net::Task<net::Result<HttpResponse>> call(std::uint32_t member, ConsensusPhase phase, std::string body,
                                            net::Deadline until) override;

private:
  static constexpr int kMaxCallsInFlight = 256;
  struct Peer {
    std::unique_ptr<http_client::PersistentConnection> connection;
    std::string host;
    int callsInFlight = 0;
  };
  std::vector<Peer> peers_;
};

} // namespace myrtlehead::cluster
