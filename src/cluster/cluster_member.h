// One member of the fleet, whole: its ledger, links, registers, jobs and door.
#pragma once

#include "cluster/job_server.h"

namespace myrtlehead::cluster {

class ClusterMember {
public:
  // Throws std::runtime_error or std::system_error with a sentence where it can't serve.
  ClusterMember(net::Scheduler &sched, net::DescriptorBudget &budget, Router &router,
                upstream::ConnectionPool &pool, Membership membership, Routes routes,
                std::vector<Nanoseconds> timeouts, Nanoseconds unixAtZero, std::uint64_t seed, log::Log log);
  void start();
  net::Task<> close() { return jobs_.close(); } // before an orderly end
  net::Address address() const { return door_.address(); }

private:
  net::Scheduler &sched_;
  log::Log log_;
  Membership membership_;
  SqliteRegisterStore registerStore_;
  HttpMemberClient memberClient_;
  ReplicatedRegisters registers_;
  RoutedJobExecutor jobExecutor_;
  JobManager jobs_;
  JobServer door_;
};

} // namespace myrtlehead::cluster
