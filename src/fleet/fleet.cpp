#include "fleet/fleet.h"

namespace myrtlehead::fleet {

Fleet::Fleet(net::Scheduler &sched, net::Descriptors &budget, Marshal &marshal, nodes::Pool &pool,
             Membership membership, Routes routes, std::vector<Ns> timeouts, Ns unixAtZero,
             std::uint64_t seed, log::Log log)
    : sched_(sched), log_(std::move(log)), membership_(std::move(membership)),
      ledger_(sched, membership_.folder, membership_.members[membership_.me].name,
              static_cast<std::uint64_t>(unixAtZero + sched.now())),
      links_(sched, budget, membership_),
      registers_(sched, links_, ledger_, membership_.me,
                 static_cast<std::uint32_t>(membership_.members.size()), seed),
      runner_(sched, marshal, pool, routes, std::move(timeouts)),
      jobs_(sched, registers_, ledger_, runner_, log_, membership_, std::move(routes), unixAtZero, seed + 1),
      door_(sched, budget, registers_, jobs_, membership_, log_) {
  if (!ledger_.refusal.empty())
    log_.error("the ledger is set aside as ledger.db.refused, and this member begins anew",
               {{"why", ledger_.refusal}, {"folder", membership_.folder}});
}

void Fleet::start() {
  sched_.spawn(ledger_.wake());
  sched_.spawn(door_.accept());
  sched_.spawn(jobs_.look());
  log_.info("a member of the fleet", {{"name", membership_.members[membership_.me].name},
                                      {"members", membership_.members.size()},
                                      {"registers", ledger_.all().size()},
                                      {"at", net::text(door_.address())}});
}

} // namespace myrtlehead::fleet
