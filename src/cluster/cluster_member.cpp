#include "cluster/cluster_member.h"

namespace myrtlehead::cluster {

ClusterMember::ClusterMember(net::Scheduler &sched, net::DescriptorBudget &budget, Router &router,
                             upstream::ConnectionPool &pool, Membership membership, Routes routes,
                             std::vector<Nanoseconds> timeouts, Nanoseconds unixAtZero, std::uint64_t seed,
                             log::Log log)
    : sched_(sched), log_(std::move(log)), membership_(std::move(membership)),
      registerStore_(sched, membership_.folder, membership_.members[membership_.ownIndex].name,
                     static_cast<std::uint64_t>(unixAtZero + sched.now())),
      memberClient_(sched, budget, membership_),
      registers_(sched, memberClient_, registerStore_, membership_.ownIndex,
                 static_cast<std::uint32_t>(membership_.members.size()), seed),
      jobExecutor_(sched, router, pool, routes, std::move(timeouts)),
      jobs_(sched, registers_, registerStore_, jobExecutor_, log_, membership_, std::move(routes), unixAtZero,
            seed + 1),
      door_(sched, budget, registers_, jobs_, membership_, log_) {
  if (!registerStore_.refusal.empty())
    log_.error("the ledger is set aside as ledger.db.refused, and this member begins anew",
               {{"why", registerStore_.refusal}, {"folder", membership_.folder}});
}

void ClusterMember::start() {
  sched_.spawn(registerStore_.wake());
  sched_.spawn(door_.accept());
  sched_.spawn(jobs_.look());
  log_.info("a member of the fleet", {{"name", membership_.members[membership_.ownIndex].name},
                                      {"members", membership_.members.size()},
                                      {"registers", registerStore_.all().size()},
                                      {"at", net::text(door_.address())}});
}

} // namespace myrtlehead::cluster
