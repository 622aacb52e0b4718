// A persistent HTTP connection for calls with one response each. Requests are pipelined and responses arrive
// in the order of the requests, so a late response is matched to its own call. No call is retried.
#pragma once

#include "base/net/socket.h"
#include "format/http/http.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace myrtlehead::http_client {

struct Response {
  int status = 0; // HTTP status code
  std::string body;
};

class PersistentConnection {
public:
  PersistentConnection(net::Scheduler &sched, net::DescriptorBudget &budget, net::Address to)
      : sched_(sched), budget_(budget), to_(to) {}

  // Sends one request and waits for its response. On failure the progress tells how much of the exchange had
  // taken place: the server may have executed the request only from SendProgress::fullyWritten on.
  net::Task<net::Result<Response>> call(std::string request, net::Deadline until);
  // Reopens the connection whenever it is closed, and never ends. A connection that was opened before the
  // server stopped accepting still carries calls for which no new connection could be opened.
  net::Task<> keepOpen();
  // Changes the address of the server for later calls. Calls in flight still get their responses from the old
  // address.
  void moveTo(net::Address to);
  // Stops using the current connection for new calls. Called after a response that cannot be interpreted, as
  // further bytes could be taken for the response to a later call.
  void discard();

  // Called with each response that arrives after its call has timed out. May be empty.
  std::function<void(const Response &)> onLateResponse;

private:
  // A call in flight.
  struct PendingCall {
    sched::Event finishedEvent;
    bool isFinished = false;
    bool hasTimedOut = false; // call() has returned
    net::Failure failure;     // `response` is valid if the cause is ErrorCode::none
    Response response;
  };
  struct Connection {
    std::unique_ptr<net::Socket> socket;
    std::deque<std::shared_ptr<PendingCall>> pending; // in the order of the requests
    bool hasEnded = false;                            // no further response can arrive on the connection
    bool hasTimedOutCall = false; // a call timed out, and no response has arrived since then
    bool isReplaced = false;      // no further call uses the connection; it closes after its last response
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
  // Cancels an attempt to connect to an address that is no longer that of the server.
  std::shared_ptr<sched::CancellationToken> addressChanged_ = std::make_shared<sched::CancellationToken>();
};

} // namespace myrtlehead::http_client
