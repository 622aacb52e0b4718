// Connections to endpoints, and upstream attempts on them. A connection carries one attempt at a time and is
// used again only after a complete answer with nothing left over, and once an empty query behind it has been
// answered. What an endpoint sends too much may arrive later still: the answer on a connection that has
// carried one before counts only once the empty query behind it has been answered with nothing else between,
// so a copy of an earlier answer is never passed on.
#pragma once

#include "base/net/memory_budget.h"
#include "base/net/socket.h"
#include "format/pg/message.h"
#include "format/pg/statement.h"
#include "router/router.h"

#include <functional>

namespace myrtlehead::upstream {

// What an attempt came to.
struct AttemptResult {
  Outcome outcome = Outcome::unreachable;
  std::string answer;            // succeeded: the row as the endpoint wrote it, to be passed on
  std::vector<float> loadValues; // the endpoint's load report, in the order of the deployment's fields
  net::MemoryReservation memory; // of a large answer, until it has been passed on
};

// What a failure proves, by how far the attempt had come.
Outcome outcomeOf(const net::Failure &failure);

// "inflight=7,util=0.61": the values of `names`, in their order; empty where one is missing or is no finite
// number from 0 to a million.
std::vector<float> parseLoadReport(std::string_view text, const std::vector<std::string> &names);

class ConnectionPool {
public:
  // `maxIdleTime`: after which endpoints close idle connections; they are used for half of it. `loadFields`:
  // the names of a load report's values. `answerMemory`: bytes for large answers of all endpoints.
  ConnectionPool(net::Scheduler &sched, net::DescriptorBudget &budget, log::Log &log,
                 Nanoseconds connectTimeout, Nanoseconds maxIdleTime, std::vector<std::string> loadFields,
                 std::size_t answerMemory)
      : sched_(sched), budget_(budget), log_(log), connectTimeout_(connectTimeout), maxIdleTime_(maxIdleTime),
        loadFields_(std::move(loadFields)),
        answerMemory_(std::max(answerMemory, pg::kMostRow + kAnswerHeadBytes)) {}

  // One attempt. `isStillCurrent` is asked right before the statement is written: where it is not, or where
  // the statement's last byte would leave after `sendBy`, the outcome is notSent.
  net::Task<AttemptResult> attempt(const UpstreamEndpoint &endpoint, const pg::Statement &statement,
                                   net::Deadline deadline, Nanoseconds sendBy,
                                   std::function<bool()> isStillCurrent);
  // Closes connections that have been idle too long or have ended, for as long as the instance runs.
  net::Task<> sweepIdleConnections();
  // Frees a descriptor; false: no connection is idle.
  bool closeOldestIdle();

private:
  static constexpr std::size_t kAnswerHeadBytes = 1024; // of an answer, beside its row
  struct Connection {
    std::unique_ptr<net::Socket> socket;
    net::Buffer buffer;
    std::uint64_t endpointVersion = 0; // when it was opened
    Nanoseconds idleSince = 0;
    pg::Reply reply;
    int readyForQueryDue = 0;           // messages that are still to come
    bool isEmptyQueryAnswerDue = false; // before the last of them
    bool hasUnexpectedContent = false;
    bool hasCarriedAnswer = false;
  };
  using PooledConnection = std::unique_ptr<Connection>;
  enum class ConnectionHealth { usable, awaitingResponseEnd, unusable };
  // Of one endpoint.
  struct IdleConnections {
    const UpstreamEndpoint *endpoint = nullptr;
    std::deque<PooledConnection> connections; // the one used latest last
  };

  net::Task<net::Result<PooledConnection>> open(const UpstreamEndpoint &endpoint, net::Deadline deadline);
  net::Task<net::Failure> handshake(Connection &connection, net::Deadline deadline);
  net::Task<net::Failure> exchange(Connection &connection, std::string query, net::Deadline deadline,
                                   Nanoseconds sendBy, AttemptResult &out);
  bool addToAnswer(Connection &connection, pg::Reply::Part part, const pg::Message &message,
                   AttemptResult &out);
  net::Task<net::Failure> confirmAnswer(Connection &connection, net::Deadline deadline, AttemptResult &out);
  PooledConnection takeIdle(const UpstreamEndpoint &endpoint);
  void putBack(const UpstreamEndpoint &endpoint, PooledConnection connection);
  ConnectionHealth checkHealth(Connection &connection);
  void drainResponse(Connection &connection, AttemptResult *out);
  void sendSyncQuery(Connection &connection);
  void readParameterStatus(std::string_view body, AttemptResult &out);

  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  log::Log &log_;
  Nanoseconds connectTimeout_;
  Nanoseconds maxIdleTime_;
  std::vector<std::string> loadFields_;
  net::MemoryBudget answerMemory_; // for large answers
  bool hasLoggedBadLoadReport_ = false;
  std::deque<IdleConnections> idle_; // by the endpoint's index
};

} // namespace myrtlehead::upstream
