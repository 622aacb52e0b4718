// The HTTP server for members and clients on the address from the settings. It serves consensus calls, job
// submissions, the state of jobs, and the list of members.
#pragma once

#include "cluster/http_server_connection.h"
#include "cluster/job_manager.h"

namespace myrtlehead::cluster {

class JobServer {
public:
  // Opens the listening socket. Throws std::system_error if that fails.
  JobServer(net::Scheduler &sched, net::DescriptorBudget &budget, ReplicatedRegisters &registers,
            JobManager &jobs, const Membership &membership);
  // Accepts and serves connections; does not return.
  net::Task<> run();
  net::Address address() const { return net::localAddress(*listener_); }

private:
  net::Task<> serve(std::unique_ptr<net::Socket> socket);
  net::Task<HttpResponse> handle(HttpRequest request);
  HttpResponse membersResponse() const;

  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  ReplicatedRegisters &registers_;
  JobManager &jobs_;
  const Membership &membership_;
  HttpHandler handler_;
  std::unique_ptr<net::Socket> listener_;
  int openConnections_ = 0;
};

} // namespace myrtlehead::cluster
