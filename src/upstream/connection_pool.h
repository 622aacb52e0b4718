// Connections to endpoints, and upstream attempts on them. A connection carries one try at a time and is used
// again only after a whole answer with nothing left over, and once an empty query behind it has been
// answered. What an endpoint sends too much may come later still: the answer on a connection that has carried
// one before counts only once the empty query behind it has been answered with nothing else between, so an
// earlier one's copy is never passed on.
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
  std::string answer;            // completed: the row as the endpoint wrote it, to be passed on
  std::vector<float> loads;      // the endpoint's load report, in the order of the deployment's fields
  net::MemoryReservation memory; // of a large answer, until it has been passed on
};

// From how far the attempt had come to what that proves.
Outcome outcomeOf(const net::Failure &failure);

// "inflight=7,util=0.61": the values of `names`, in their order; none where one is missing or can't be.
std::vector<float> readLoads(std::string_view text, const std::vector<std::string> &names);

class ConnectionPool {
public:
  ConnectionPool(net::Scheduler &sched, net::DescriptorBudget &budget, log::Log &log,
                 Nanoseconds connectWithin, Nanoseconds idleAtMost, std::vector<std::string> loadNames,
                 std::size_t places)
      : sched_(sched), budget_(budget), log_(log), connectWithin_(connectWithin), idleAtMost_(idleAtMost),
        loadNames_(std::move(loadNames)), large_(std::max(places, pg::kMostRow + kHead)) {}

  // `meant`: asked right before the statement is written to a new connection; false: it is not sent. Nor is
  // it where its last byte would leave after `sendBy`.
  net::Task<AttemptResult> attempt(const UpstreamEndpoint &target, const pg::Statement &statement,
                                   net::Deadline until, Nanoseconds sendBy, std::function<bool()> meant);
  net::Task<> sweep();    // closes what has stood idle or ended, for as long as the instance lives
  bool closeOldestIdle(); // to free a descriptor

private:
  static constexpr std::size_t kHead = 1024; // of an answer, beside its row
  struct Connection {
    std::unique_ptr<net::Socket> socket;
    net::Buffer buffer;
    std::uint64_t changes = 0; // of its target, when it was opened
    Nanoseconds idleSince = 0;
    pg::Reply reply;
    int due = 0;           // ReadyForQuery messages that are still to come
    bool emptyDue = false; // and the empty query's answer before the last of them
    bool spoilt = false;   // something stands there that may not
    bool used = false;     // an earlier answer has come on it
  };
  using Held = std::unique_ptr<Connection>;

  net::Task<net::Result<Held>> open(const UpstreamEndpoint &target, net::Deadline until);
  net::Task<net::Failure> welcome(Connection &c, net::Deadline until);
  net::Task<net::Failure> exchange(Connection &c, std::string query, net::Deadline until, Nanoseconds sendBy,
                                   AttemptResult &out);
  net::Task<net::Failure> proven(Connection &c, net::Deadline until, AttemptResult &out);
  Held take(const UpstreamEndpoint &target);
  void keep(const UpstreamEndpoint &target, Held c);
  enum Standing { usable, unsettled, useless };
  Standing standing(Connection &c);
  void settle(Connection &c, AttemptResult *out);
  void fence(Connection &c);
  void readParameter(std::string_view body, AttemptResult &out);

  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  log::Log &log_;
  Nanoseconds connectWithin_, idleAtMost_;
  std::vector<std::string> loadNames_;
  net::MemoryBudget large_; // room for large answers
  bool lacking_ = false;    // a report has lacked a field
  struct Place {
    const UpstreamEndpoint *target = nullptr;
    std::deque<Held> idle; // the latest used last
  };
  std::deque<Place> places_; // by the target's index
};

} // namespace myrtlehead::upstream
