// This instance as a member of the cluster: owns the register store, the client to the other members, the
// replicated registers, the jobs and the HTTP server.
#pragma once

#include "cluster/job_server.h"

namespace myrtlehead::cluster {

class ClusterMember {
public:
  // `routeTimeouts` is indexed by route. `unixAtZero` is the Unix time, in ns, at which the scheduler's clock
  // read 0. Throws std::runtime_error if the register store can't be opened, and std::system_error if the
  // server can't listen.
  ClusterMember(net::Scheduler &sched, net::DescriptorBudget &budget, Router &router,
                upstream::ConnectionPool &pool, Membership membership, Routes routes,
                std::vector<Nanoseconds> routeTimeouts, Nanoseconds unixAtZero, std::uint64_t seed,
                log::Log log);
  // Starts the member's tasks on the scheduler.
  void start();
  // Stops acquiring jobs. Returns once the running jobs have ended, or after the duration of one lease.
  net::Task<> shutdown() { return jobs_.shutdown(); }
  net::Address address() const { return server_.address(); }

private:
  net::Scheduler &sched_;
  log::Log log_;
  Membership membership_;
  SqliteRegisterStore store_;
  HttpMemberClient memberClient_;
  ReplicatedRegisters registers_;
  RoutedJobExecutor executor_;
  JobManager jobs_;
  JobServer server_;
};

} // namespace myrtlehead::cluster
