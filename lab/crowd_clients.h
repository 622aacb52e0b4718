// Crowds of clients that misbehave or ask for much, drawn from a seed: what an instance must survive.
#pragma once

#include "base/net/socket.h"
#include "format/pg/message.h"
#include "lab/node.h"

#include <array>
#include <random>
#include <string>
#include <vector>

namespace myrtlehead::lab {

enum class CrowdKind {
  largeRequests,     // each client: one whole request of 24 to 250 KB on each connection
  keptConnections,   // the same, and the connection is kept open and silent behind the answer
  mediumRequests,    // whole requests of 15.6 KB
  pipelinedRequests, // 120 requests of 1.9 KB, written back to back
  slowRequests,      // large requests, of which 1 KB is written each 20 ms
  stoppedRequests,   // a part of a large request or of a startup message, and nothing more
  unreadAnswers,     // many requests whose answers are not read
  manyFields,        // startup messages and comments with thousands of short fields
  unsoundStatements, // statements that are refused, under ever new ids and routes, at full speed
  leavers,           // requests written back to back by clients that close their connections soon after
  orderlyLeavers,    // the same with much more, behind an answer that is read, so that no reset tells of the
                     // close
  mixed              // each connection is of another kind, drawn at random
};
inline constexpr std::array kCrowdKindNames{"large",  "kept",   "medium",  "pipelined", "slow",    "stopped",
                                            "unread", "fields", "unsound", "leavers",   "orderly", "mixed"};

// A client that has closed its connection, and the range of the ids of its requests.
struct Departure {
  int firstId = 0;
  int lastId = 0;
  Nanoseconds closedAt = 0;
};

struct CrowdTally {
  int connections = 0;
  int refusedConnections = 0; // that could not be opened
  int overstayed = 0;         // clients that stopped and were neither told nor closed within 3 s
  std::vector<Departure> departures;
};

// The id of a leaver's request, as the nodes see it.
std::string leaverId(int number);

// The number of clients that are connected at once, and what they do, until `endsAt`.
struct CrowdSettings {
  CrowdKind kind = CrowdKind::mixed;
  int clients = 0;
  std::uint64_t seed = 1;
  net::Address address; // of the instance
  Nanoseconds endsAt = 0;
};

class Crowd {
public:
  Crowd(net::Scheduler &sched, net::DescriptorBudget &budget, const CrowdSettings &settings)
      : sched_(sched), budget_(budget), settings_(settings), random_(settings.seed) {}
  net::Task<> run(); // returns when all clients have ended
  const CrowdTally &tally() const { return tally_; }

private:
  int draw(int from, int to) { return std::uniform_int_distribution<int>(from, to)(random_); }
  bool isOver() const { return sched_.now() >= settings_.endsAt; }
  net::Task<> client();
  net::Task<> play(CrowdKind kind, net::Socket &socket);
  net::Task<> askOnce(net::Socket &socket, std::size_t bytes);
  net::Task<> keepConnection(net::Socket &socket);
  net::Task<> pipeline(net::Socket &socket);
  net::Task<> sendSlowly(net::Socket &socket);
  net::Task<> stopInside(net::Socket &socket);
  net::Task<> leaveUnread(net::Socket &socket);
  net::Task<> sendManyFields(net::Socket &socket);
  net::Task<> sendUnsound(net::Socket &socket);
  net::Task<> leave(net::Socket &socket, int requests);
  net::Task<> leaveOrderly(net::Socket &socket);
  net::Task<> awaitEnd(net::Socket &socket);
  // Reads until the n-th ReadyForQuery, the end of the connection or a limit of time.
  net::Task<> readAnswers(net::Socket &socket, int readyCount);
  std::string request(std::size_t bytes);
  std::string leaverRequests(int count);
  net::Deadline writeDeadline() const;

  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  CrowdSettings settings_;
  std::mt19937_64 random_;
  CrowdTally tally_;
  int running_ = 0;
  int lastId_ = 0;
  int lastLeaverId_ = 0;
  sched::Event clientEnded_;
};

} // namespace myrtlehead::lab
