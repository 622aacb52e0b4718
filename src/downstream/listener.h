// The client-facing side: accepts connections, serves their queries, and shuts down gracefully.
#pragma once

#include "base/net/memory_budget.h"
#include "base/net/socket.h"
#include "policy/connection_limits.h"
#include "policy/graceful_shutdown.h"
#include "policy/message_turns.h"
#include "policy/pipelining_limits.h"
#include "router/router.h"
#include "upstream/connection_pool.h"

#include <list>
#include <map>
#include <set>

namespace myrtlehead::downstream {

class ClientSession;

class Listener {
public:
  // `routeTimeouts` holds, for each index in `routes`, the longest time that a client waits for an answer.
  // `messageMemory` is the number of bytes available for large messages of all clients. Throws
  // std::system_error if `address` can't be bound.
  Listener(net::Scheduler &sched, net::DescriptorBudget &budget, Router &router,
           upstream::ConnectionPool &pool, log::Log &log, net::Address address,
           std::vector<std::string> routes, std::vector<Nanoseconds> routeTimeouts,
           std::size_t messageMemory);
  ~Listener();
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;

  // Accepts connections until shutDown() stops it.
  net::Task<> acceptConnections();
  // Periodically closes connections that have been idle too long. Never returns.
  net::Task<> sweepIdleConnections();
  // Periodically finds out which clients have closed their connections behind bytes that are left unread.
  // Never returns.
  net::Task<> probeUnreadClients();
  // Shuts down. New connections and requests are still accepted for a while, then those in the backlog. After
  // that idle connections are closed at once and the others as soon as they are answered. Returns when no
  // connection is left.
  net::Task<> shutDown();
  // What the clients hold now.
  struct Usage {
    std::size_t connections = 0;
    std::size_t requests = 0;          // admitted or waiting
    std::size_t largeMessageBytes = 0; // reserved
    std::size_t largeAnswerBytes = 0;  // reserved
  };
  Usage usage() const;
  net::Address address() const { return net::localAddress(*socket_); }

private:
  friend class ClientSession;
  // Whether an idle connection could be closed to free its descriptor for a new connection.
  enum class Reclaim { closedOne, nothingToClose };

  std::list<ClientSession *> &sessionsIn(connection_limits::ReclaimGroup group) {
    return reclaimable_[group];
  }
  connection_limits::Descriptors descriptors() const { return {budget_.available(), budget_.limit()}; }
  bool ensureDescriptorForConnection();
  void updateShortage();
  Reclaim closeOneIdle();
  // Takes the memory from the message that has held it for longest without having arrived completely. Returns
  // when to try again: now if memory was reclaimed, sched::kNever if no such message holds any.
  Nanoseconds reclaimMessageMemory();
  // Closes the connection whose client has not read its large answers for longest. Returns when to try again.
  Nanoseconds reclaimAnswerMemory();
  void countClientError(std::string_view what);
  void countRefusal(); // of a message for which there is no memory
  void startSession(std::unique_ptr<net::Socket> accepted);
  net::Task<> acceptBacklog();
  void closeAllWhenAnswered();
  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  Router &router_;
  upstream::ConnectionPool &pool_;
  log::Log &log_;
  std::vector<std::string> routes_;
  std::vector<Nanoseconds> routeTimeouts_;
  net::MemoryBudget messageMemory_; // for large messages of all clients
  Nanoseconds maxMemoryWait_;       // of a message for memory
  std::unique_ptr<net::Socket> socket_;
  sched::CancellationToken acceptStop_; // ends acceptConnections()
  graceful_shutdown::GracefulShutdown shutdown_;
  bool isShortOfDescriptors_ = false;
  std::uint32_t sessionCount_ = 0; // sessions started since the process started
  std::list<ClientSession *> sessions_;
  // Connections that may be closed for new ones, by group, in the order in which they were added to it.
  std::map<connection_limits::ReclaimGroup, std::list<ClientSession *>> reclaimable_;
  std::set<std::string, std::less<>> openRequestIds_; // ids of the requests in flight
  pipelining_limits::PipeliningLimits pipeliningLimits_;
  message_turns::MessageTurns messageTurns_;
  // Events since the latest log line about them.
  struct UnloggedEvents {
    unsigned count = 0;
    Nanoseconds loggedAt = 0;
  };
  void countEvent(UnloggedEvents &events, std::string_view message, std::string_view latest);
  UnloggedEvents clientErrors_;
  UnloggedEvents refusals_;
  UnloggedEvents unreadAnswers_;
  sched::Event sessionEnded_;
};

} // namespace myrtlehead::downstream
