#include "downstream/client_session.h"

#include <algorithm>
#include <utility>

namespace myrtlehead::downstream {

using net::ErrorCode;

namespace {

constexpr Nanoseconds kStartupTimeout = 2 * kSecond; // for the complete startup message
constexpr Nanoseconds kClosingTime = kSecond;        // for the client to see the end of the connection
constexpr Nanoseconds kMaxThrottle = kSecond / 10;
constexpr unsigned kMessagesPerTurn = 32; // after these, the scheduler may resume other sessions
// The delay between turns grows by one millisecond for each of these steps.
constexpr unsigned kInvalidCommandsPerThrottleStep = 32;
constexpr int kMaxReadsWhileClosing = 16;
constexpr int kMaxEncryptionRequests = 2;

} // namespace

ClientSession::ClientSession(Listener &listener, std::unique_ptr<net::Socket> socket, std::uint32_t number)
    : listener_(listener), socket_(std::move(socket)), number_(number), openedAt_(listener.sched_.now()),
      inGroupSince_(openedAt_) {
  positionInSessions_ = listener_.sessions_.insert(listener_.sessions_.end(), this);
  socket_->cancelOnHangUp(&clientGone_);
}

ClientSession::~ClientSession() {
  for (auto &request : requests_) listener_.pipeliningLimits_.release(request.ticket);
  moveToGroup(std::nullopt);
  listener_.sessions_.erase(positionInSessions_);
  listener_.sessionEnded_.notify();
}

void ClientSession::moveToGroup(std::optional<ReclaimGroup> group) {
  if (group == group_) return;
  if (group_) listener_.sessionsIn(*group_).erase(positionInGroup_);
  group_ = group;
  inGroupSince_ = listener_.sched_.now();
  if (!group) return;
  auto &sessions = listener_.sessionsIn(*group);
  positionInGroup_ = sessions.insert(sessions.end(), this);
}

net::Task<> ClientSession::failConnection(std::string_view message) {
  constexpr std::string_view kProtocolViolation = "08P01";
  listener_.countClientError(message);
  co_await closeWithError(kProtocolViolation, message);
}

net::Task<> ClientSession::closeWithError(std::string_view code, std::string_view message) {
  pg::addError(replies_.tail(), {"FATAL", code, message});
  const auto client = co_await drain();
  if (client == ClientState::connected) co_await closeGracefully();
}

void ClientSession::requestCloseNow() {
  closeRequest_ = std::max(closeRequest_, CloseRequest::now);
  closeToken_.cancel();
}

void ClientSession::probeIfUnread() {
  const bool hasUnread = lastReadAt_ != 0 && socket_->mayHaveUnreadData() && !socket_->isHungUp();
  const bool isAtBoundary = isStarted_ && !isWriting_ && !replies_.hasBytesToWrite() &&
                            phase_ != Phase::closing && !clientGone_.isCancelled();
  if (!hasUnread || !isAtBoundary) return;
  if (!socket_->isAllAcknowledged()) return;
  static const std::string kProbe = [] {
    std::string out;
    pg::addRepeatedParameter(out);
    return out;
  }();
  const auto written = socket_->writeSome(kProbe);
  const bool isBroken = written > 0 && written < kProbe.size(); // no answer could follow a part of a message
  if (isBroken) abortConnection();
}

void ClientSession::closeIdle() {
  moveToGroup(std::nullopt); // the listener must not choose it again
  requestCloseNow();
  if (phase_ == Phase::closing) clientGone_.cancel();
}

void ClientSession::closeWhenAnswered() {
  if (phase_ == Phase::closing) return; // it is about to end already
  closeRequest_ = std::max(closeRequest_, CloseRequest::whenAnswered);
  if (requests_.empty() && !isWriting_) closeIdle();
}

// Closes the connection so that the client receives the last answer: closing a socket with unread bytes
// resets the connection, and a reset can discard the answer. Only a limited amount of incoming data is read,
// so that a client that keeps sending does not use up resources.
net::Task<> ClientSession::closeGracefully() {
  phase_ = Phase::closing;
  moveToGroup(ReclaimGroup::closing);
  socket_->shutdownWrite();
  const net::Deadline deadline{listener_.sched_.now() + kClosingTime, &clientGone_};
  auto error = ErrorCode::none;
  for (int n = 0; n < kMaxReadsWhileClosing && error == ErrorCode::none; ++n) {
    buffer_.consume(buffer_.view().size());
    error = co_await socket_->read(buffer_, deadline);
  }
  if (error == ErrorCode::none)
    co_await listener_.sched_.sleep(deadline.at - listener_.sched_.now(), &clientGone_);
}

// Closes the connection at a shutdown so that the client receives the last answer: closing a socket with
// unread bytes resets the connection, and a reset can overtake the answer. The client sees the end of the
// connection first. By the service's protocol, it resends elsewhere a request that crossed the end, so
// nothing is read here, and no request is closed half-answered. A connection that is closed for its
// descriptor has had its last answer some time ago and is closed at once.
net::Task<> ClientSession::closeAtShutdown() {
  if (!listener_.shutdown_.isInProgress()) co_return;
  phase_ = Phase::closing;
  moveToGroup(ReclaimGroup::closing);
  socket_->shutdownWrite();
  co_await listener_.sched_.sleep(kClosingTime, &clientGone_);
}

net::Task<> ClientSession::run(ConnectionDecision decision) {
  const bool isServed = decision == ConnectionDecision::serve;
  moveToGroup(ReclaimGroup::unused);
  const auto started = co_await startUp(isServed ? kStartupTimeout : kClosingTime);
  moveToGroup(std::nullopt);
  if (started == SessionFlow::end) co_return;
  if (!isServed) {
    co_await closeWithError(kRetriableSqlState,
                            "too many client connections; the request can be retried safely");
    co_return;
  }
  bool hasFailed = false;
  try {
    co_await serveMessages();
  } catch (const std::exception &error) {
    reportException(error);
    hasFailed = true;
  }
  if (hasFailed)
    co_await closeWithError(kRetriableSqlState, "out of memory; the request can be retried safely");
  else
    co_await drain();
}

net::Task<> ClientSession::serveMessages() {
  pg::Message message;
  for (unsigned n = 1;; ++n) {
    const auto readBefore = lastReadAt_;
    const auto next = co_await nextMessage(message);
    if (next == SessionFlow::end) co_return;
    const bool isBehindOthers = readBefore == lastReadAt_ || !requests_.empty();
    if (isBehindOthers) co_await awaitTurn(message.size);
    if (n % kMessagesPerTurn == 0) co_await throttle();
    const auto size = message.size;
    const auto handled = co_await handleMessage(message);
    if (handled == SessionFlow::end) co_return;
    buffer_.consume(size);
    buffer_.shrink(message_memory::kIdleBufferBytes);
    memory_.release();
    eraseFinishedRequests();
    const auto client = co_await awaitUsageWithinLimits();
    if (client == ClientState::gone) co_return;
  }
}

// Returns once another message may be started, or the client is gone.
net::Task<ClientState> ClientSession::awaitUsageWithinLimits() {
  const auto &limits = listener_.pipeliningLimits_;
  while (replies_.byteCount() > kSmallMessageBytes || !limits.mayStartMessage(usage())) {
    const auto client = co_await flush();
    if (client == ClientState::gone) co_return ClientState::gone;
    if (limits.mayStartMessage(usage())) break;
    co_await listener_.sched_.wait(answerProgress_);
  }
  co_return ClientState::connected;
}

// Waits until a message that the client has written behind others may be handled.
net::Task<> ClientSession::awaitTurn(std::size_t bytes) {
  auto &turns = listener_.messageTurns_;
  const auto ticket = turns.enqueue(bytes, listener_.sched_.round());
  while (!turns.mayHandle(ticket, listener_.sched_.round())) co_await listener_.sched_.sleep(0);
}

bool ClientSession::isThrottled() const { return invalidCommands_ >= kInvalidCommandsPerThrottleStep; }

// Delays the session, the longer the more invalid commands the client has sent, so that a client that keeps
// sending invalid commands does not slow down the others.
net::Task<> ClientSession::throttle() {
  const auto time = std::min<Nanoseconds>(invalidCommands_ / kInvalidCommandsPerThrottleStep * kMillisecond,
                                          kMaxThrottle);
  co_await listener_.sched_.sleep(time, &clientGone_);
}

// Reads and answers the startup message. Requests for encryption before it are declined.
net::Task<SessionFlow> ClientSession::startUp(Nanoseconds within) {
  const net::Deadline deadline{listener_.sched_.now() + within, &closeToken_};
  for (int encryptionRequests = 0;;) {
    pg::Startup startup;
    const auto parsed = pg::parseStartup(buffer_.view(), startup);
    if (parsed == pg::ParseStatus::incomplete) {
      auto error = co_await socket_->read(buffer_, deadline);
      if (error == ErrorCode::cancelled) error = co_await readFinalMessage({});
      const bool isClosed = closeToken_.isCancelled() && error == ErrorCode::timedOut;
      if (isClosed) co_await closeAtShutdown();
      if (error != ErrorCode::none) co_return SessionFlow::end;
      lastReadAt_ = listener_.sched_.now();
      continue;
    }
    const bool isUnusable = parsed == pg::ParseStatus::malformed ||
                            startup.kind == pg::FirstPacketKind::unknown;
    if (isUnusable || encryptionRequests > kMaxEncryptionRequests) {
      co_await failConnection("invalid startup message: protocol version 3 is required");
      co_return SessionFlow::end;
    }
    // A CancelRequest closes the connection without an answer; there is no query that it could cancel.
    if (startup.kind == pg::FirstPacketKind::cancelRequest) co_return SessionFlow::end;
    buffer_.consume(startup.size);
    if (startup.kind == pg::FirstPacketKind::encryptionRequest) {
      ++encryptionRequests;
      replies_.tail() += 'N';
      const auto client = co_await flush();
      if (client == ClientState::gone) co_return SessionFlow::end;
      continue;
    }
    auto &out = replies_.tail();
    if (startup.minor > 0) pg::addNegotiateProtocolVersion(out);
    pg::addSessionStart(out, number_, number_ * 2654435761u);
    pg::addReadyForQuery(out);
    isStarted_ = true;
    co_return SessionFlow::proceed;
  }
}

} // namespace myrtlehead::downstream
