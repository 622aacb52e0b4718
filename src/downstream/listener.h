// The clients' side: accepts connections, serves their queries, and shuts down gracefully.
#pragma once

#include "base/net/memory_budget.h"
#include "base/net/socket.h"
#include "policy/graceful_shutdown.h"
#include "policy/pipelining_limits.h"
#include "router/router.h"
#include "upstream/connection_pool.h"

#include <list>
#include <set>

namespace myrtlehead::downstream {

class ClientSession;

class Listener {
public:
  // `routeTimeouts`: by the position in `routes`, how long a client waits for an answer at most.
  // `messageMemory`: bytes for large messages of all clients. Throws std::system_error where `address` can't
  // be bound.
  Listener(net::Scheduler &sched, net::DescriptorBudget &budget, Router &router,
           upstream::ConnectionPool &pool, log::Log &log, net::Address address,
           std::vector<std::string> routes, std::vector<Nanoseconds> routeTimeouts,
           std::size_t messageMemory);

  // Accepts connections until shutDown() stops it.
  net::Task<> acceptConnections();
  // Closes what has been idle too long, for as long as the instance runs.
  net::Task<> sweepIdleConnections();
  // Shuts down: new connections and requests are still accepted for a while, and then those in the backlog;
  // after that idle connections are closed, the others as they are answered. Returns when none is left.
  net::Task<> shutDown();
  net::Address address() const { return net::localAddress(*socket_); }

private:
  friend class ClientSession;
  // Whether one of the connections could be closed for a new one.
  enum class Reclaim { closedOne, nothingToClose };

  bool hasDescriptorFor(); // a connection that was just accepted
  void updateShortage();
  Reclaim closeOneIdle();
  void countFault(std::string_view what);
  void startSession(std::unique_ptr<net::Socket> accepted);
  net::Task<> emptyBacklog();
  void closeAllWhenAnswered();
  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  Router &router_;
  upstream::ConnectionPool &pool_;
  log::Log &log_;
  std::vector<std::string> routes_;
  std::vector<Nanoseconds> routeTimeouts_;
  net::MemoryBudget messageMemory_; // for large messages
  std::unique_ptr<net::Socket> socket_;
  sched::CancellationToken acceptEnd_; // ends acceptConnections()
  graceful_shutdown::GracefulShutdown shutdown_;
  bool isShortOfDescriptors_ = false;
  std::uint32_t sessionCount_ = 0; // since the start
  std::list<ClientSession *> all_;
  // Connections that may be closed, the one that may be closed for the longest time first.
  std::list<ClientSession *> closing_;         // the client has been shown the connection's end
  std::list<ClientSession *> unused_;          // nothing usable has been asked yet
  std::list<ClientSession *> idle_;            // between requests
  std::set<std::string, std::less<>> openIds_; // of the requests in flight
  pipelining_limits::PipeliningLimits pipeliningLimits_;
  unsigned unloggedFaults_ = 0; // of clients
  Nanoseconds faultsLoggedAt_ = 0;
  sched::Event sessionEnded_;
};

} // namespace myrtlehead::downstream
