// Connections to endpoints, and upstream attempts on them.
//
// Invariants: a connection carries one attempt at a time. It is reused only after a complete answer with no
// bytes left over, and after the endpoint has answered an empty query sent behind that answer. An endpoint
// may still send unexpected bytes later. An answer on a connection that has carried an earlier one therefore
// counts only once the empty query sent behind it has been answered with nothing in between, so a copy of an
// earlier answer is never passed on.
#pragma once

#include "base/net/memory_budget.h"
#include "base/net/socket.h"
#include "format/pg/forwarded_query.h"
#include "format/pg/message.h"
#include "format/pg/statement.h"
#include "router/router.h"

#include <functional>

namespace myrtlehead::upstream {

// The result of an attempt.
struct AttemptResult {
  Outcome outcome = Outcome::unreachable;
  std::string answer;            // if it succeeded: the row, byte for byte as the endpoint sent it
  std::vector<float> loadValues; // the load report, in the order of the deployment's fields; may be empty
  net::MemoryReservation memory; // reserved for a large answer until it has been written
};

// The outcome of a failed attempt. It depends on how far the attempt had come, which tells whether the
// statement may have been executed.
Outcome outcomeOf(const net::Failure &failure);

// Parses a load report such as "inflight=7,util=0.61". Returns the values of `names`, in their order. The
// result is empty if a value is missing or is not a number from 0 to 1,000,000.
std::vector<float> parseLoadReport(std::string_view text, const std::vector<std::string> &names);

// Returns how many of the `capacity` bytes for large answers an answer must leave free for others now.
using AnswerMemoryToLeave = std::function<std::size_t(std::size_t capacity)>;
inline std::size_t leaveNoMemory(std::size_t) { return 0; }

class ConnectionPool {
public:
  // `maxIdleTime` is the time after which endpoints close idle connections; connections are reused for half
  // of it. `loadFields` holds the names of the values in a load report. `answerMemory` is the number of bytes
  // available for large answers of all endpoints.
  ConnectionPool(net::Scheduler &sched, net::DescriptorBudget &budget, log::Log &log,
                 Nanoseconds connectTimeout, Nanoseconds maxIdleTime, std::vector<std::string> loadFields,
                 std::size_t answerMemory)
      : sched_(sched), budget_(budget), log_(log), connectTimeout_(connectTimeout), maxIdleTime_(maxIdleTime),
        loadFields_(std::move(loadFields)),
        answerMemory_(std::max(answerMemory, pg::kMaxRowBytes + kMaxAnswerOverheadBytes)) {}

  // Makes one attempt. Calls `isStillCurrent` directly before the statement is written. The outcome is
  // notSent if that returns false or `sendBy` has passed. After `sendBy` no byte of the statement is written.
  // A large answer waits until its memory, and what `memoryToLeave` tells, are free.
  net::Task<AttemptResult> attempt(const UpstreamEndpoint &endpoint, const pg::Statement &statement,
                                   net::Deadline deadline, Nanoseconds sendBy,
                                   std::function<bool()> isStillCurrent,
                                   AnswerMemoryToLeave memoryToLeave = leaveNoMemory);
  std::size_t reservedAnswerBytes() const { return answerMemory_.capacity() - answerMemory_.available(); }
  // To be called when some `memoryToLeave` may return less than before.
  void recheckAnswerMemory() { answerMemory_.released.notify(); }
  // Called when the memory for large answers is short. Takes some from a client that does not read its
  // answer, and returns when to call it again. May be empty.
  std::function<Nanoseconds()> reclaimAnswerMemory;
  // Periodically closes connections that have been idle too long or have ended. Never returns.
  net::Task<> sweepIdleConnections();
  // Closes the connection that has been idle longest, to free its descriptor. Returns false if none is idle.
  bool closeOldestIdle();

private:
  static constexpr std::size_t kMaxAnswerOverheadBytes = 1024; // maximum size of an answer without its row
  struct Connection {
    std::unique_ptr<net::Socket> socket;
    net::Buffer buffer;
    std::uint64_t endpointVersion = 0; // the endpoint's version when the connection was opened
    Nanoseconds idleSince = 0;
    pg::ReplyValidator reply;
    int pendingReadyForQuery = 0;           // number of ReadyForQuery messages that are still expected
    bool isEmptyQueryAnswerPending = false; // expected before the last ReadyForQuery
    bool hasUnexpectedContent = false;
    bool hasCarriedAnswer = false;
  };
  using PooledConnection = std::unique_ptr<Connection>;
  enum class ConnectionHealth { usable, awaitingResponseEnd, unusable };
  // The idle connections to one endpoint.
  struct IdleConnections {
    const UpstreamEndpoint *endpoint = nullptr;
    std::deque<PooledConnection> connections; // the most recently used one is last
  };

  net::Task<net::Result<PooledConnection>> openConnection(const UpstreamEndpoint &endpoint,
                                                          net::Deadline deadline);
  net::Task<net::Failure> handshake(Connection &connection, net::Deadline deadline);
  net::Task<net::Failure> exchange(Connection &connection, pg::ForwardedQuery &query, net::Deadline deadline,
                                   Nanoseconds sendBy, const AnswerMemoryToLeave &memoryToLeave,
                                   AttemptResult &out);
  bool addToAnswer(Connection &connection, pg::ReplyValidator::MessageKind part, const pg::Message &message,
                   AttemptResult &out);
  net::Task<net::Failure> confirmAnswer(Connection &connection, net::Deadline deadline, AttemptResult &out);
  PooledConnection takeIdle(const UpstreamEndpoint &endpoint);
  void returnToPool(const UpstreamEndpoint &endpoint, PooledConnection connection);
  ConnectionHealth checkHealth(Connection &connection);
  void consumeResponseEnd(Connection &connection, AttemptResult *out);
  void sendEmptyQuery(Connection &connection);
  void readParameterStatus(std::string_view body, AttemptResult &out);

  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  log::Log &log_;
  Nanoseconds connectTimeout_;
  Nanoseconds maxIdleTime_;
  std::vector<std::string> loadFields_;
  net::MemoryBudget answerMemory_; // for large answers of all endpoints
  bool hasLoggedBadLoadReport_ = false;
  std::deque<IdleConnections> idle_; // indexed by UpstreamEndpoint::index
};

} // namespace myrtlehead::upstream
