// Executes a job's statement with the same routing policy, endpoints and retries as a client's request.
#pragma once

#include "cluster/job_submission.h"
#include "upstream/connection_pool.h"

namespace myrtlehead::cluster {

class JobExecutor {
public:
  virtual ~JobExecutor() = default;
  // Returns once the statement has finished or `cancellation` is cancelled. A statement that may have been
  // executed without a known result counts as failed.
  virtual net::Task<job_lease::ExecutionResult> execute(JobRecord record,
                                                        sched::CancellationToken &cancellation) = 0;
};

// Sends the statement through the router and the connection pool.
class RoutedJobExecutor final : public JobExecutor {
public:
  // `routeTimeouts` is indexed by route.
  RoutedJobExecutor(net::Scheduler &sched, Router &router, upstream::ConnectionPool &pool, Routes routes,
                    std::vector<Nanoseconds> routeTimeouts)
      : sched_(sched), router_(router), pool_(pool), routes_(std::move(routes)),
        routeTimeouts_(std::move(routeTimeouts)) {}
  net::Task<job_lease::ExecutionResult> execute(JobRecord record,
                                                sched::CancellationToken &cancellation) override;

private:
  net::Task<job_lease::ExecutionResult> runAttempts(const pg::Statement &statement, RequestContext &request,
                                                    sched::CancellationToken &cancellation);

  net::Scheduler &sched_;
  Router &router_;
  upstream::ConnectionPool &pool_;
  Routes routes_;
  std::vector<Nanoseconds> routeTimeouts_;
};

} // namespace myrtlehead::cluster
