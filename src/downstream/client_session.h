// One client connection, from its startup message to its end. One coroutine reads the messages; each request
// is served by a coroutine of its own, so that a slow request does not delay those behind it. Answers are
// written in the order of the commands.
//
// client_session.cpp: the connection's lifecycle and closing. client_session_reading.cpp: reading messages.
// client_session_messages.cpp: the answer to each message. client_session_requests.cpp: requests in flight,
// and writing.
#pragma once

#include "downstream/listener.h"
#include "downstream/reply_queue.h"
#include "format/pg/message.h"
#include "format/pg/statement.h"
#include "policy/message_memory.h"

#include <optional>

namespace myrtlehead::downstream {

using connection_limits::ConnectionUse;
using connection_limits::ReclaimGroup;
using message_memory::kSmallMessageBytes;

// The SQLSTATE of an error after which a client can retry its request safely: it was sent to no endpoint.
constexpr std::string_view kRetriableSqlState = "53300";

// Whether the client can still be answered. It is gone if the connection has failed or it does not read its
// answers. A client that has closed its end may have closed its sending alone, and is answered.
enum class ClientState { connected, gone };

// Whether a session continues with the next message or ends.
enum class SessionFlow { proceed, end };

// Whether an accepted connection is served, or rejected because descriptors are short.
enum class ConnectionDecision { serve, reject };

class ClientSession {
public:
  ClientSession(Listener &listener, std::unique_ptr<net::Socket> socket, std::uint32_t number);
  ~ClientSession();
  ClientSession(const ClientSession &) = delete;
  ClientSession &operator=(const ClientSession &) = delete;

  // Runs the whole session. Returns when the connection may be closed.
  net::Task<> run(ConnectionDecision decision);
  // Closes the connection now. It must be in one of the listener's lists of connections that may be closed.
  void closeIdle();
  // Closes the connection, at a shutdown, once nothing is in flight. Requests that have arrived are answered.
  void closeWhenAnswered();
  // From when on the memory for the message being read may be reclaimed for another one; sched::kNever if it
  // may not.
  Nanoseconds memoryReclaimableAt() const;
  // Releases the memory of the message that has arrived in part. The rest of it is read and dropped, and the
  // message is answered with an error that allows a retry.
  void discardPartialMessage();
  // From when on the session may be closed for the memory of its large answers, because its client does not
  // read them; sched::kNever if it may not.
  Nanoseconds answerMemoryReclaimableAt() const;
  void abortConnection(); // without sending anything more
  // Writes a message that clients ignore if bytes of the client are left unread. The end of its stream may
  // wait behind them; if the client has closed its connection, its system answers with a reset, which is
  // noticed.
  void probeIfUnread();
  // When the session was added to the group in which it is now.
  Nanoseconds inGroupSince() const { return inGroupSince_; }
  // Whether a request or another valid statement has been received on the connection.
  ConnectionUse use() const { return hasBeenUsed() ? ConnectionUse::used : ConnectionUse::unused; }

private:
  // The lifecycle of a connection; it only moves forward.
  enum class Phase {
    unused,  // no valid statement has been received
    used,    // a valid statement has been received
    closing, // shut down for writing, and waiting for the client to close its end
  };
  // How far the listener has asked the session to close; it only moves forward.
  enum class CloseRequest {
    none,
    whenAnswered, // close once nothing is in flight
    now,          // closeToken_ is cancelled
    finalReadDone // closeToken_ is cancelled, and the bytes that had arrived by then have been read
  };
  // Whether ReadyForQuery follows an error at once, or is sent in answer to Sync.
  enum class ReadyForQuery { atOnce, afterSync };
  enum class AdmissionResult { admitted, rejected };
  enum class ReadState {
    notReading,
    awaitingMessage,  // no byte of the next message has arrived
    receivingMessage, // a part of the message has arrived
    awaitingMemory    // a part of the message has arrived, and there is no memory for the rest
  };
  // A message of which the bytes that arrive are dropped, because there is no memory for it.
  struct DiscardedMessage {
    char type = 0;
    std::size_t bytesLeft = 0; // that have not arrived yet
  };

  // A request in flight.
  struct Request {
    std::string text;
    pg::Statement statement; // refers to `text`
    int route = 0;
    Nanoseconds arrivedAt = 0;
    net::MemoryReservation memory; // reserved for the message if it is large
    pipelining_limits::AdmissionTicket ticket;
    sched::Event admitted;
    PendingReply *reply = nullptr;
    bool isFinished = false; // the coroutine in `task` has nothing left to do
    std::optional<net::Task<>> task;
  };
  using Requests = std::list<Request>;

  // The connection's lifecycle and closing.
  bool hasBeenUsed() const { return phase_ != Phase::unused; }
  // Adds the session to a group of connections that may be closed, or removes it from its group.
  void moveToGroup(std::optional<ReclaimGroup> group);
  void requestCloseNow();
  net::Task<SessionFlow> startUp(Nanoseconds within);
  net::Task<> serveMessages(); // until the client sends no more
  net::Task<> closeGracefully();
  net::Task<> closeAtShutdown();
  net::Task<ClientState> awaitUsageWithinLimits();
  net::Task<> awaitTurn(std::size_t bytes);
  bool isThrottled() const;
  net::Task<> throttle();
  // Answers with a fatal error and closes the connection.
  net::Task<> closeWithError(std::string_view code, std::string_view message);
  // As closeWithError(), for an error of the client.
  net::Task<> failConnection(std::string_view message);

  // Reading messages. `begunAt` is when the first part of the message being read arrived, if one has.
  net::Task<SessionFlow> nextMessage(pg::Message &out);
  pg::ParseStatus parseNextMessage(pg::Message &out);
  bool hasPartialMessage() const { return !buffer_.empty() || discarded_; }
  net::Task<ClientState> writeAnswersBeforeRead();
  std::optional<ReclaimGroup> groupWhileReading() const;
  net::Task<net::ErrorCode> readMore(std::optional<Nanoseconds> begunAt);
  net::Task<net::ErrorCode> readFinalMessage(std::optional<Nanoseconds> begunAt);
  Nanoseconds messageDeadline(Nanoseconds begunAt) const;
  net::Task<> reserveMessageMemory(std::optional<Nanoseconds> begunAt);
  net::Task<> closeUnread();

  // The answer to each message.
  net::Task<SessionFlow> handleMessage(pg::Message message);
  bool isOpenOnThisConnection(std::string_view id) const;
  net::Task<ClientState> awaitRequestIdFree(const pg::Statement &statement);
  void answerStatement(const pg::Statement &statement);
  net::Task<SessionFlow> handleQuery(std::string_view body);
  void refuseForMemory();
  void replyWithError(std::string_view code, std::string_view message,
                      ReadyForQuery ready = ReadyForQuery::atOnce);

  // Requests in flight and their answers. If startRequest() throws std::bad_alloc, the request is not
  // started.
  void startRequest(const pg::Statement &parsed, int route);
  net::Task<> serveRequest(Requests::iterator self);
  net::Task<AdmissionResult> awaitAdmission(Request &request);
  Nanoseconds clientTimeout(const Request &request) const; // how long the client waits for the answer
  net::Task<> attemptRequest(Request &request);
  net::Task<upstream::AttemptResult> attemptOnce(Request &request, const RequestContext &context,
                                                 const AttemptDecision &decision);
  void reportException(const std::exception &error) const;
  // Answers that the request has failed and may have been executed.
  void failRequest(Request &request);
  pipelining_limits::RequestPosition positionOfAnswer(const Request &request) const;
  void rejectRequest(Request &request, std::string_view message, Nanoseconds retryAfter = 0);
  void finishRequest(Requests::iterator self);
  void eraseFinishedRequests();
  pipelining_limits::ConnectionUsage usage() const;
  net::Task<ClientState> flush(); // writes the answers that may be written
  net::Task<ClientState> drain(); // returns once all requests in flight are answered
  void onAllWritten();

  Listener &listener_;
  std::unique_ptr<net::Socket> socket_;
  std::uint32_t number_;
  net::Buffer buffer_;
  // Cancelled if the client has closed its end or ClientState is gone: no attempt is made any more.
  sched::CancellationToken clientGone_;
  bool isAborted_ = false;              // ClientState is gone
  sched::CancellationToken closeToken_; // cancelled to close the connection now
  CloseRequest closeRequest_ = CloseRequest::none;
  bool isStarted_ = false;        // the startup message has been read
  bool isSkippingToSync_ = false; // messages are ignored until Sync, after an extended-protocol error
  std::list<ClientSession *>::iterator positionInSessions_;
  std::list<ClientSession *>::iterator positionInGroup_;
  std::optional<ReclaimGroup> group_;
  Nanoseconds openedAt_;
  Nanoseconds inGroupSince_;
  Nanoseconds lastReadAt_ = 0; // when the latest bytes were read
  Phase phase_ = Phase::unused;
  ReadState readState_ = ReadState::notReading;
  unsigned invalidCommands_ = 0;              // commands answered with an error by this session
  net::MemoryReservation memory_;             // reserved for the message being read if it is large
  Nanoseconds memoryHeldSince_ = 0;           // valid if memory_ is acquired
  std::optional<DiscardedMessage> discarded_; // the message being read, if it is discarded
  ReplyQueue replies_;
  const WriteBatch *beingWritten_ = nullptr;
  Nanoseconds batchStartedAt_ = 0; // when beingWritten_ was set
  bool isWriting_ = false;         // a coroutine is in flush()
  sched::Event answerProgress_;    // an answer has been completed or written
  std::size_t requestBytes_ = 0;   // of the texts of the requests in flight
  Requests requests_;              // in flight, in the order of their commands
  // Declared last, with requests_, to be destroyed first: the requests' coroutines use the other members.
  Requests finishedRequests_;
};

} // namespace myrtlehead::downstream
