// One client connection, from its startup message to its end. One coroutine reads its messages; each request
// is served by a coroutine of its own, so that a slow one does not delay those behind it. Answers are written
// in the order of the commands.
//
// client_session.cpp: the connection's life, reading and closing. client_session_messages.cpp: what each
// message is answered. client_session_requests.cpp: requests in flight, and writing.
#pragma once

#include "downstream/listener.h"
#include "downstream/reply_queue.h"
#include "format/pg/message.h"
#include "format/pg/statement.h"

#include <optional>

namespace myrtlehead::downstream {

// Whether the client can still be answered; gone: it has closed its end, or does not read its answers.
enum class ClientState { connected, gone };

// Whether a session goes on with the next message, or ends.
enum class SessionFlow { proceed, end };

// What becomes of an accepted connection; reject: there is no descriptor to spare.
enum class ConnectionDecision { serve, reject };

class ClientSession {
public:
  ClientSession(Listener &listener, std::unique_ptr<net::Socket> socket, std::uint32_t number);
  ~ClientSession();
  ClientSession(const ClientSession &) = delete;
  ClientSession &operator=(const ClientSession &) = delete;

  // The whole session; returns when the connection may be closed.
  net::Task<> run(ConnectionDecision decision);
  // Closes it now; it must be in one of the listener's lists of connections that may be closed.
  void closeIdle();
  // Closes it once nothing is in flight, as the instance shuts down: what has arrived is still answered.
  void closeWhenAnswered();
  // When it came into the list in which it is.
  Nanoseconds listedSince() const { return listedSince_; }
  // Whether a request or another usable statement has come on it.
  bool hasBeenUsed() const { return phase_ != Phase::unused; }

private:
  // The course of a connection; it only goes forwards.
  enum class Phase {
    unused,  // nothing usable has been asked on it
    used,    // something has
    closing, // the client sees its end, and has a while to close the other one
  };
  // What the listener wants of it; it only goes forwards.
  enum class CloseRequest {
    none,
    whenAnswered, // once nothing is in flight
    now,          // closeToken_ is cancelled
    finalReadDone // and what had arrived by then has been read
  };
  // In which of the listener's lists of connections that may be closed it is.
  enum class ReclaimList { closing, unused, idle, none };
  // Whether ReadyForQuery follows an error at once, or the answer to Sync.
  enum class ReadyForQuery { atOnce, afterSync };
  enum class AdmissionResult { admitted, rejected, clientGone };

  // A request in flight.
  struct Request {
    std::string text;
    pg::Statement statement; // refers to `text`
    int route = 0;
    Nanoseconds arrivedAt = 0;
    net::MemoryReservation memory; // of its large message
    pipelining_limits::AdmissionTicket ticket;
    sched::Event admitted;
    PendingReply *reply = nullptr;
    bool isFinished = false; // its coroutine has nothing left to do
    std::optional<net::Task<>> task;
  };
  using Requests = std::list<Request>;

  // The connection's life, reading and closing.
  void moveToList(ReclaimList list);
  std::list<ClientSession *> &listOf(ReclaimList list);
  void requestCloseNow();
  net::Task<SessionFlow> startUp(Nanoseconds within);
  net::Task<> closeGracefully();
  net::Task<> closeAtShutdown();
  net::Task<net::ErrorCode> finalRead(Nanoseconds messageDeadline);
  net::Task<SessionFlow> nextMessage(pg::Message &out);
  Nanoseconds deadlineOfPartialMessage(Nanoseconds current) const;
  net::Task<ClientState> awaitUsageWithinLimits();
  net::Task<> throttle();
  net::Task<SessionFlow> reserveMessageMemory(Nanoseconds messageDeadline);
  net::Task<> failConnection(std::string_view message); // with an error that ends the connection

  // What each message is answered.
  net::Task<SessionFlow> handleMessage(pg::Message message);
  bool isOwnOpenId(std::string_view id) const;
  net::Task<ClientState> awaitOwnIdFree(const pg::Statement &statement);
  void answerStatement(const pg::Statement &statement);
  void replyWithError(std::string_view code, std::string_view message,
                      ReadyForQuery ready = ReadyForQuery::atOnce);

  // Requests in flight and their answers.
  void startRequest(const pg::Statement &parsed, int route);
  net::Task<> serveRequest(Requests::iterator self);
  net::Task<AdmissionResult> awaitAdmission(Request &request);
  Nanoseconds clientTimeout(const Request &request) const; // how long its client waits for the answer
  net::Task<> attemptRequest(Request &request);
  void rejectRequest(Request &request, std::string_view message, Nanoseconds retryAfter = 0);
  void finishRequest(Requests::iterator self);
  void eraseFinishedRequests();
  pipelining_limits::ConnectionUsage usage() const;
  net::Task<ClientState> flush(); // writes the answers that are complete
  net::Task<ClientState> drain(); // returns once all in flight is answered
  void onAllWritten();
  void abortConnection(); // without a further word

  Listener &listener_;
  std::unique_ptr<net::Socket> socket_;
  std::uint32_t number_;
  net::Buffer buffer_;
  sched::CancellationToken clientGone_; // the client has closed its end, or does not read its answers
  sched::CancellationToken closeToken_; // the listener wants it closed, and nothing is in flight
  CloseRequest closeRequest_ = CloseRequest::none;
  bool isSkippingToSync_ = false; // after an extended-protocol error
  std::list<ClientSession *>::iterator positionInAll_;
  std::list<ClientSession *>::iterator positionInList_;
  ReclaimList list_ = ReclaimList::none;
  Nanoseconds openedAt_;
  Nanoseconds listedSince_;
  Nanoseconds lastReadAt_ = 0; // when the latest bytes were read
  Phase phase_ = Phase::unused;
  bool isAwaitingMessage_ = false; // reading, and nothing of a further message has arrived
  unsigned faults_ = 0;            // commands that could not be used
  net::MemoryReservation memory_;  // of its large message
  ReplyQueue replies_;
  const Batch *beingWritten_ = nullptr;
  bool isWriting_ = false;    // some coroutine writes the answers that are complete
  sched::Event progressed_;   // something has been answered or written
  Requests requests_;         // in flight, in the order of their commands
  Requests finishedRequests_; // destroyed first, with requests_: their coroutines use the rest
};

} // namespace myrtlehead::downstream
