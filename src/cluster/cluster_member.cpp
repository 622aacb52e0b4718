#include "cluster/cluster_member.h"

namespace myrtlehead::cluster {

ClusterMember::ClusterMember(net::Scheduler &sched, net::DescriptorBudget &budget, Router &router,
                             upstream::ConnectionPool &pool, Membership membership, Routes routes,
                             std::vector<Nanoseconds> routeTimeouts, Nanoseconds unixAtZero,
                             std::uint64_t seed, log::Log log)
    : sched_(sched), log_(std::move(log)), membership_(std::move(membership)),
      store_(sched, membership_.storeFolder, membership_.members[membership_.ownIndex].name,
             static_cast<std::uint64_t>(unixAtZero + sched.now())),
      memberClient_(sched, budget, membership_),
      registers_(sched, memberClient_, store_, membership_.ownIndex,
                 static_cast<std::uint32_t>(membership_.members.size()), seed),
      executor_(sched, router, pool, routes, std::move(routeTimeouts)),
      jobs_(sched, registers_, store_, executor_, log_, membership_, std::move(routes), unixAtZero, seed + 1),
      server_(sched, budget, registers_, jobs_, membership_) {
  if (const auto &error = store_.setAsideReason())
    log_.error("the register store can't be used; it is renamed to ledger.db.refused, and this member starts "
               "with an empty store",
               {{"why", error->message}, {"folder", membership_.storeFolder}});
}

void ClusterMember::start() {
  sched_.spawn(store_.notifyPersisted());
  sched_.spawn(server_.run());
  sched_.spawn(jobs_.run());
  log_.info("cluster member started", {{"name", membership_.members[membership_.ownIndex].name},
                                       {"members", membership_.members.size()},
                                       {"registers", store_.all().size()},
                                       {"at", net::formatAddress(server_.address())}});
}

} // namespace myrtlehead::cluster
