#include "cluster/job_server.h"

#include <nlohmann/json.hpp>

namespace myrtlehead::cluster {

namespace {

constexpr int kMaxConnections = 256;            // further connections are closed as soon as they are accepted
constexpr Nanoseconds kAcceptTimeout = kSecond; // after it, accepting is tried again

bool isJobTarget(const std::string &target) {
  constexpr std::size_t kPrefixLength = 6; // "/jobs/"
  constexpr std::size_t kIdLength = 16;
  return target.starts_with("/jobs/") && target.size() == kPrefixLength + kIdLength;
}

std::string jobIdIn(const std::string &target) { return target.substr(target.rfind('/') + 1); }

} // namespace

JobServer::JobServer(net::Scheduler &sched, net::DescriptorBudget &budget, ReplicatedRegisters &registers,
                     JobManager &jobs, const Membership &membership)
    : sched_(sched), budget_(budget), registers_(registers), jobs_(jobs), membership_(membership),
      handler_([this](HttpRequest request) { return handle(std::move(request)); }),
      listener_(net::listenTcp(sched, budget, membership.listenAddress)) {}

net::Task<> JobServer::run() {
  for (;;) {
    auto socket = net::tryAccept(sched_, budget_, *listener_);
    if (socket && openConnections_ < kMaxConnections)
      sched_.spawn(serve(std::move(*socket)));
    else if (!socket)
      co_await listener_->waitReadable({sched_.now() + kAcceptTimeout, nullptr});
  }
}

net::Task<> JobServer::serve(std::unique_ptr<net::Socket> socket) {
  struct OpenConnection {
    int &count;
    ~OpenConnection() { --count; }
  } open{++openConnections_};
  co_await serveHttpConnection(sched_, std::move(socket), handler_);
}

net::Task<HttpResponse> JobServer::handle(HttpRequest request) {
  const bool isPost = request.method == "POST";
  const bool isGet = request.method == "GET";
  HttpResponse response;
  if (isPost && request.target == "/fleet/promise")
    response = co_await registers_.onPrepare(std::move(request.body));
  else if (isPost && request.target == "/fleet/accept")
    response = co_await registers_.onAccept(std::move(request.body));
  else if (isPost && request.target == "/jobs")
    response = co_await jobs_.submit(std::move(request.body));
  else if (isGet && isJobTarget(request.target))
    response = co_await jobs_.status(jobIdIn(request.target));
  else if (isGet && request.target == "/members")
    response = membersResponse();
  else
    response = httpError(404, "unknown method or path; expected POST /jobs, GET /jobs/ID or GET /members");
  co_return response;
}

HttpResponse JobServer::membersResponse() const {
  auto members = nlohmann::json::array();
  for (std::uint32_t i = 0; i < registers_.memberCount(); ++i) {
    const auto &member = membership_.members[i];
    const auto answeredAt = registers_.lastAnsweredAt()[i];
    nlohmann::json out{
        {"name", member.name}, {"at", net::formatAddress(member.address)}, {"answered_ms_ago", nullptr}};
    if (answeredAt != 0) out["answered_ms_ago"] = (sched_.now() - answeredAt) / kMillisecond;
    members.push_back(std::move(out));
  }
  const auto counters = jobs_.counters();
  const nlohmann::json jobs{{"open", counters.open},
                            {"running", counters.running},
                            {"taken", counters.accepted},
                            {"refused", counters.rejected},
                            {"begun", counters.runs.started},
                            {"reported", counters.runs.finished},
                            {"stopped", counters.runs.leasesLost}};
  const nlohmann::json out{{"me", membership_.members[registers_.ownIndex()].name},
                           {"members", std::move(members)},
                           {"jobs", jobs}};
  return {200, out.dump()};
}

} // namespace myrtlehead::cluster
