// Calls from one member to another. A call has a request and a deadline; it returns a response, or a failure
// that states how much of the request was sent. The consensus code reaches other members only through
// MemberClient, so the laboratory can run that code over simulated links.
#pragma once

#include "base/http_client/persistent_connection.h"
#include "cluster/http_message.h"
#include "cluster/membership.h"

#include <memory>

namespace myrtlehead::cluster {

// The phase of a proposal, which selects the call from the proposer to the acceptors.
enum class ConsensusPhase { prepare, accept };

class MemberClient {
public:
  virtual ~MemberClient() = default;
  // Sends `body`, the JSON of a ConsensusRequest, to the member with this index.
  virtual net::Task<net::Result<HttpResponse>> call(std::uint32_t member, ConsensusPhase phase,
                                                    std::string body, net::Deadline until) = 0;
};

// Uses one persistent HTTP connection for each member, so that a stalled member does not delay calls to
// others. Calls beyond kMaxCallsInFlight to one member fail at once with SendProgress::notConnected.
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
