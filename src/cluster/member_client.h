// The way from one member to another: a question, a deadline, and an answer or how far the question came.
// Tasks know no more of it than this, so the laboratory runs them over links in memory.
#pragma once

#include "base/http_client/persistent_connection.h"
#include "cluster/membership.h"

#include <memory>

namespace myrtlehead::cluster {

using HttpResponse = http_client::Response; // status as in HTTP, and a body

class MemberClient {
public:
  virtual ~MemberClient() = default;
  virtual net::Task<net::Result<HttpResponse>> ask(std::uint32_t member, std::string what, std::string body,
                                                   net::Deadline until) = 0;
};

// One standing HTTP connection for each member; a member that stalls keeps nobody else waiting. Questions
// beyond kMostOut to one member fail at once, as unconnected.
class HttpMemberClient final : public MemberClient {
public:
  HttpMemberClient(net::Scheduler &sched, net::DescriptorBudget &budget, const Membership &membership);
  net::Task<net::Result<HttpResponse>> ask(std::uint32_t member, std::string what, std::string body,
                                           net::Deadline until) override;

private:
  static constexpr int kMostOut = 256;
  struct Peer {
    std::unique_ptr<http_client::PersistentConnection> line;
    std::string host;
    int out = 0;
  };
  std::vector<Peer> peers_;
};

} // namespace myrtlehead::cluster
