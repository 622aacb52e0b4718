// Executes a job's statement: by the same routing policy, endpoints and retries as any client's request.
#pragma once

#include "cluster/job_submission.h"
#include "upstream/connection_pool.h"

namespace myrtlehead::cluster {

class JobExecutor {
public:
  virtual ~JobExecutor() = default;
  // Returns once the statement is finished or `cancellation` is set; what may have executed by then counts as
  // failed.
  virtual net::Task<job_lease::ExecutionResult> execute(JobRecord record,
                                                        sched::CancellationToken &cancellation) = 0;
};

class RoutedJobExecutor final : public JobExecutor {
public:
  // `routeTimeouts`: by the routes' index.
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
