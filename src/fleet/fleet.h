// One member of the fleet, whole: its ledger, links, registers, jobs and door.
#pragma once

#include "fleet/door.h"

namespace myrtlehead::fleet {

class Fleet {
public:
  // Throws std::runtime_error or std::system_error with a sentence where it can't serve.
  Fleet(net::Scheduler &sched, net::Descriptors &budget, Marshal &marshal, nodes::Pool &pool,
        Membership membership, Routes routes, std::vector<Ns> timeouts, Ns unixAtZero, std::uint64_t seed,
        log::Log log);
  void start();
  net::Task<> close() { return jobs_.close(); } // before an orderly end
  net::Address address() const { return door_.address(); }

private:
  net::Scheduler &sched_;
  log::Log log_;
  Membership membership_;
  SqliteLedger ledger_;
  HttpLinks links_;
  Registers registers_;
  NodeRunner runner_;
  Jobs jobs_;
  Door door_;
};

} // namespace myrtlehead::fleet
