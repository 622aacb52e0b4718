// Where members and submitters ask this member: HTTP on the address that the settings name.
#pragma once

#include "cluster/job_manager.h"

namespace myrtlehead::cluster {

class JobServer {
public:
  // Throws std::system_error where the address can't be had.
  JobServer(net::Scheduler &sched, net::DescriptorBudget &budget, ReplicatedRegisters &registers,
            JobManager &jobs, const Membership &membership, log::Log &log);
  net::Task<> accept(); // for as long as the instance lives
  net::Address address() const { return net::localAddress(*listener_); }

private:
  struct Due; // an answer that is being made, in the order of its connection
  struct Line;
  net::Task<> serve(std::unique_ptr<net::Socket> socket);
  net::Task<> write(std::shared_ptr<Line> line);
  net::Task<> make(std::shared_ptr<Line> line, std::shared_ptr<Due> due, std::string method,
                   std::string target, std::string body);
  net::Task<HttpResponse> answer(std::string method, std::string target, std::string body);
  HttpResponse members() const;

  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  ReplicatedRegisters &registers_;
  JobManager &jobs_;
  const Membership &membership_;
  log::Log &log_;
  std::unique_ptr<net::Socket> listener_;
  int open_ = 0;
};

} // namespace myrtlehead::cluster
