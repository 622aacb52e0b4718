// Where a job's statement goes: through the same guard, endpoints and rules as any request.
#pragma once

#include "cluster/job_record.h"
#include "upstream/connection_pool.h"

namespace myrtlehead::cluster {

struct Ran {
  custody::How how = custody::How::neverExecuted;
  std::string reason;
};

class JobExecutor {
public:
  virtual ~JobExecutor() = default;
  // Until the statement is over, or `stop`: what may have run by then has failed.
  virtual net::Task<Ran> run(JobRecord record, sched::CancellationToken &stop) = 0;
};

class RoutedJobExecutor final : public JobExecutor {
public:
  RoutedJobExecutor(net::Scheduler &sched, Router &router, upstream::ConnectionPool &pool, Routes routes,
                    std::vector<Nanoseconds> timeouts)
      : sched_(sched), router_(router), pool_(pool), routes_(std::move(routes)),
        timeouts_(std::move(timeouts)) {}
  net::Task<Ran> run(JobRecord record, sched::CancellationToken &stop) override;

private:
  net::Scheduler &sched_;
  Router &router_;
  upstream::ConnectionPool &pool_;
  Routes routes_;
  std::vector<Nanoseconds> timeouts_;
};

} // namespace myrtlehead::cluster
