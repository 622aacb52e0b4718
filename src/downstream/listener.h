// The clients' side: accepts connections, answers their queries, and ends well.
#pragma once

#include "base/net/memory_budget.h"
#include "base/net/socket.h"
#include "policy/graceful_shutdown.h"
#include "policy/pipelining_limits.h"
#include "router/router.h"
#include "upstream/connection_pool.h"

#include <set>

namespace myrtlehead::downstream {

class Listener {
public:
  Listener(net::Scheduler &sched, net::DescriptorBudget &budget, Router &router,
           upstream::ConnectionPool &pool, log::Log &log, net::Address listen,
           std::vector<std::string> routes, std::vector<Nanoseconds> routeTimeouts, std::size_t places);

  net::Task<> accept();
  net::Task<> sweep(); // closes what has stood idle too long, for as long as the instance lives
  // New connections and requests are still taken for a while, and what stands in the backlog then; after that
  // idle connections go, the others as they are answered. Returns when none is left.
  net::Task<> close();
  net::Address address() const { return net::localAddress(*socket_); }

private:
  friend class ClientSession;
  bool mayStay();  // whether a connection just accepted may
  bool makeRoom(); // false: no connection can be spared
  void fault(std::string_view what);
  void take(std::unique_ptr<net::Socket> accepted);
  net::Task<> emptyBacklog();
  void endAll();
  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  Router &router_;
  upstream::ConnectionPool &pool_;
  log::Log &log_;
  std::vector<std::string> routes_;
  std::vector<Nanoseconds> routeTimeouts_;
  net::MemoryBudget places_; // for large messages
  std::unique_ptr<net::Socket> socket_;
  sched::CancellationToken noMore_; // ends accept()
  graceful_shutdown::GracefulShutdown shutdown_;
  bool short_ = false; // of descriptors
  std::uint32_t sessions_ = 0;
  std::list<class ClientSession *> all_;
  // Those that may be closed, the longest first: parted with, not yet started, waiting for a request.
  std::list<class ClientSession *> parted_, early_, idle_;
  std::set<std::string, std::less<>> openIds_; // of the requests in hand
  pipelining_limits::PipeliningLimits pipeliningLimits_;
  unsigned faults_ = 0; // of clients, since one was last logged
  Nanoseconds faultSaid_ = 0;
  sched::Event ended_;
};

} // namespace myrtlehead::downstream
