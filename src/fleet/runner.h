// Where a job's statement goes: through the same guard, nodes and rules as any req.
#pragma once

#include "fleet/record.h"
#include "nodes/pool.h"

namespace myrtlehead::fleet {

struct Ran {
  custody::How how = custody::How::neverRan;
  std::string reason;
};

class Runner {
public:
  virtual ~Runner() = default;
  // Until the statement is over, or `stop`: what may have run by then has failed.
  virtual net::Task<Ran> run(Record record, sched::Stop &stop) = 0;
};

class NodeRunner final : public Runner {
public:
  NodeRunner(net::Scheduler &sched, Marshal &marshal, nodes::Pool &pool, Routes routes,
             std::vector<Ns> timeouts)
      : sched_(sched), marshal_(marshal), pool_(pool), routes_(std::move(routes)),
        timeouts_(std::move(timeouts)) {}
  net::Task<Ran> run(Record record, sched::Stop &stop) override;

private:
  net::Scheduler &sched_;
  Marshal &marshal_;
  nodes::Pool &pool_;
  Routes routes_;
  std::vector<Ns> timeouts_;
};

} // namespace myrtlehead::fleet
