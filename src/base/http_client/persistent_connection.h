// A persistent HTTP connection for calls that want one response each. Requests are pipelined and responses
// arrive in the order of the requests, so a late response is matched to its own call. No call is retried.
#pragma once

#include "base/net/socket.h"
#include "format/http/http.h"

#include <deque>

namespace myrtlehead::http_client {

struct Response {
  int status = 0; // HTTP status code
  std::string body;
};

class PersistentConnection {
public:
  PersistentConnection(net::Scheduler &sched, net::DescriptorBudget &budget, net::Address to)
      : sched_(sched), budget_(budget), to_(to) {}

  // Sends one request and waits for its response. On failure the progress says how far the call had come:
  // only from SendProgress::fullyWritten on may the server have executed it.
  net::Task<net::Result<Response>> call(std::string request, net::Deadline until);
  // Reopens the connection whenever it has closed; runs for as long as the instance. A connection that was
  // open before the server stopped accepting still carries calls that a new one could not.
  net::Task<> keepOpen();
  // Later calls go to the new address; calls in flight are still answered by the old one.
  void moveTo(net::Address to);
  // Stops using the present connection, after a response that can't be interpreted.
  void discard();

private:
  // A call in flight.
  struct PendingCall {
    sched::Event finishedEvent;
    bool isFinished = false;
    net::Failure failure; // cause none: `response` is valid
    Response response;
  };
  struct Connection {
    std::unique_ptr<net::Socket> socket;
    std::deque<std::shared_ptr<PendingCall>> pending; // in the order of the requests
    bool hasEnded = false;                            // no response can arrive on it any more
    bool hasTimedOutCall = false;                     // the latest call to end on it was not answered in time
    bool isReplaced = false;                          // takes no further call; closes after its last response
  };
  net::Task<net::ErrorCode> open(net::Deadline until);
  net::Task<net::ErrorCode> openForCall(net::Deadline until);
  net::Task<net::Failure> waitForResponse(Connection &connection, PendingCall &call, net::Deadline until);
  void retire();
  net::Task<> readResponses(std::shared_ptr<Connection> connection);
  net::Task<net::ErrorCode> readResponse(Connection &connection, net::Buffer &buffer, Response &out);
  void failPending(Connection &connection);
  bool isOpen() const { return connection_ != nullptr && !connection_->hasEnded; }

  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  net::Address to_;
  std::shared_ptr<Connection> connection_;
  sched::Event closed_;
  // Cancels an attempt to connect to an address that is no longer the server's.
  std::shared_ptr<sched::CancellationToken> addressChanged_ = std::make_shared<sched::CancellationToken>();
};

} // namespace myrtlehead::http_client
