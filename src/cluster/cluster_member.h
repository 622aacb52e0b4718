// One member of the cluster, assembled: its store, client, registers, jobs and server.
#pragma once

#include "cluster/job_server.h"

namespace myrtlehead::cluster {

class ClusterMember {
public:
  // `routeTimeouts`: by the routes' index. `unixAtZero`: the Unix time, in ns, at which the scheduler's clock
  // read 0. Throws std::runtime_error or std::system_error with a sentence where it can't serve.
  ClusterMember(net::Scheduler &sched, net::DescriptorBudget &budget, Router &router,
                upstream::ConnectionPool &pool, Membership membership, Routes routes,
                std::vector<Nanoseconds> routeTimeouts, Nanoseconds unixAtZero, std::uint64_t seed,
                log::Log log);
  void start();
  // Before an orderly end; returns once the running jobs have ended, or after a lease's duration.
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
