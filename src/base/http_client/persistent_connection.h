// A standing HTTP connection for calls that want one answer each. Calls are written back to back and their
// answers come in that order, so a late answer is known for what it is. No call is repeated.
#pragma once

#include "base/net/socket.h"
#include "format/http/http.h"

#include <deque>

namespace myrtlehead::http_client {

struct Response {
  int status = 0;
  std::string body;
};

class PersistentConnection {
public:
  PersistentConnection(net::Scheduler &sched, net::DescriptorBudget &budget, net::Address to)
      : sched_(sched), budget_(budget), to_(to) {}

  // Where it fails, `reach` says how far the call had come.
  net::Task<net::Result<Response>> call(std::string request, net::Deadline until);
  // Keeps a connection open for as long as the instance lives: one that is there when the other side stands
  // still takes calls that a new one can't carry.
  net::Task<> keepOpen();
  // From now on calls go there; those that are out are still answered where they were written.
  void moveTo(net::Address to);
  // What came back can't be read: the connection is of no further use.
  void giveUp();

private:
  struct Pending {
    sched::Event over;
    bool ended = false;
    net::Failure failure;
    Response answer;
  };
  struct Connection {
    std::unique_ptr<net::Socket> socket;
    std::deque<std::shared_ptr<Pending>> pending;
    bool ended = false, overdue = false; // overdue: a call on it was given up unanswered
    bool left = false;                   // replaced: it ends with its last answer
  };
  net::Task<net::ErrorCode> open(net::Deadline until);
  void leave();
  net::Task<> readAnswers(std::shared_ptr<Connection> c);
  net::Task<net::ErrorCode> readAnswer(Connection &c, net::Buffer &buffer, Response &out);
  bool isOpen() const { return connection_ != nullptr && !connection_->ended; }

  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  net::Address to_;
  std::shared_ptr<Connection> connection_;
  sched::Event closed_;
  std::shared_ptr<sched::CancellationToken> moved_ =
      std::make_shared<sched::CancellationToken>(); // ends an opening at the old address
};

} // namespace myrtlehead::http_client
