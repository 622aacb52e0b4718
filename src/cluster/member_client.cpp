#include "cluster/member_client.h"

#include <boost/beast/http.hpp>
#include <sstream>

namespace myrtlehead::cluster {

HttpMemberClient::HttpMemberClient(net::Scheduler &sched, net::DescriptorBudget &budget,
                                   const Membership &membership) {
  for (const auto &m : membership.members)
    peers_.push_back(
        {std::make_unique<http_client::PersistentConnection>(sched, budget, m.at), net::text(m.at)});
}

net::Task<net::Result<HttpResponse>> HttpMemberClient::ask(std::uint32_t member, std::string what,
                                                           std::string body, net::Deadline until) {
  namespace http = boost::beast::http;
  auto &peer = peers_[member];
  if (peer.out >= kMostOut) co_return net::Failure{net::ErrorCode::refused, net::SendProgress::notConnected};
  struct Out {
    int &n;
    ~Out() { --n; }
  } out{++peer.out};
  http::request<http::string_body> request(http::verb::post, "/fleet/" + what, 11, std::move(body));
  request.set(http::field::host, peer.host);
  request.set(http::field::content_type, "application/json");
  request.prepare_payload();
  std::ostringstream text;
  text << request;
  co_return co_await peer.line->call(std::move(text).str(), until);
}

} // namespace myrtlehead::cluster
