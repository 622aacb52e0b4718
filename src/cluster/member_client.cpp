#include "cluster/member_client.h"

#include <boost/beast/http.hpp>
#include <sstream>

namespace myrtlehead::cluster {

namespace {

namespace http = boost::beast::http;

const char *pathOf(ConsensusPhase phase) {
  return phase == ConsensusPhase::prepare ? "/fleet/promise" : "/fleet/accept";
}

std::string postRequest(const char *path, const std::string &host, std::string body) {
  http::request<http::string_body> request(http::verb::post, path, 11, std::move(body));
  request.set(http::field::host, host);
  request.set(http::field::content_type, "application/json");
  request.prepare_payload();
  std::ostringstream text;
  text << request;
  return std::move(text).str();
}

} // namespace

HttpMemberClient::HttpMemberClient(net::Scheduler &sched, net::DescriptorBudget &budget,
                                   const Membership &membership) {
  for (const auto &member : membership.members)
    peers_.push_back({std::make_unique<http_client::PersistentConnection>(sched, budget, member.address),
                      net::formatAddress(member.address)});
}

net::Task<net::Result<HttpResponse>> HttpMemberClient::call(std::uint32_t member, ConsensusPhase phase,
                                                            std::string body, net::Deadline until) {
  auto &peer = peers_[member];
  if (peer.callsInFlight >= kMaxCallsInFlight)
    co_return net::Failure{net::ErrorCode::refused, net::SendProgress::notConnected};
  struct InFlight {
    int &count;
    ~InFlight() { --count; }
  } inFlight{++peer.callsInFlight};
  auto request = postRequest(pathOf(phase), peer.host, std::move(body));
  co_return co_await peer.connection->call(std::move(request), until);
}

} // namespace myrtlehead::cluster
