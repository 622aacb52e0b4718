#include "downstream/client_session.h"

#include <algorithm>
#include <utility>

namespace myrtlehead::downstream {

using net::ErrorCode;

namespace {

constexpr Nanoseconds kStartupTimeout = 2 * kSecond; // for the complete startup message
constexpr Nanoseconds kMessageTimeout = 2 * kSecond; // for the rest of a message that has begun
constexpr Nanoseconds kFirstMessageTimeout = 5 * kSecond /
                                             2; // from the opening, for a connection's first one
constexpr Nanoseconds kClosingTime = kSecond;   // for a client to see the connection's end
constexpr Nanoseconds kMaxThrottle = kSecond / 10;
constexpr std::size_t kSmallMessageBytes = 16 * 1024; // needs no reservation; a buffer that is kept
constexpr unsigned kMessagesPerTurn = 32;             // then other sessions are resumed
constexpr unsigned kFaultsPerThrottleStep = 32;       // each step waits a millisecond more
constexpr int kMaxReadsWhileClosing = 16;
constexpr int kMaxEncryptionRequests = 2;
constexpr Nanoseconds kNoMessageBegun = 0; // in place of a message's deadline

} // namespace

ClientSession::ClientSession(Listener &listener, std::unique_ptr<net::Socket> socket, std::uint32_t number)
    : listener_(listener), socket_(std::move(socket)), number_(number), openedAt_(listener.sched_.now()),
      listedSince_(openedAt_) {
  positionInAll_ = listener_.all_.insert(listener_.all_.end(), this);
  socket_->cancelOnHangUp(&clientGone_);
}

ClientSession::~ClientSession() {
  for (auto &request : requests_) listener_.pipeliningLimits_.leave(request.ticket);
  moveToList(ReclaimList::none);
  listener_.all_.erase(positionInAll_);
  listener_.sessionEnded_.notify();
}

std::list<ClientSession *> &ClientSession::listOf(ReclaimList list) {
  if (list == ReclaimList::closing) return listener_.closing_;
  return list == ReclaimList::unused ? listener_.unused_ : listener_.idle_;
}

void ClientSession::moveToList(ReclaimList list) {
  if (list == list_) return;
  if (list_ != ReclaimList::none) listOf(list_).erase(positionInList_);
  list_ = list;
  listedSince_ = listener_.sched_.now();
  if (list != ReclaimList::none) positionInList_ = listOf(list).insert(listOf(list).end(), this);
}

net::Task<> ClientSession::failConnection(std::string_view message) {
  listener_.countFault(message);
  pg::addError(replies_.tail(), {"FATAL", "08P01", message});
  const auto client = co_await drain();
  if (client == ClientState::connected) co_await closeGracefully();
}

void ClientSession::requestCloseNow() {
  closeRequest_ = std::max(closeRequest_, CloseRequest::now);
  closeToken_.cancel();
}

void ClientSession::closeIdle() {
  moveToList(ReclaimList::none); // it is not asked twice
  requestCloseNow();
  if (phase_ == Phase::closing) clientGone_.cancel();
}

void ClientSession::closeWhenAnswered() {
  if (phase_ == Phase::closing) return; // it ends soon by itself
  closeRequest_ = std::max(closeRequest_, CloseRequest::whenAnswered);
  if (requests_.empty() && !isWriting_) closeIdle();
}

// Guards what was written last: closed with bytes unread, a connection is reset, and the client may not see
// it. Little is read of what still arrives, so that a client that sends much occupies nothing.
net::Task<> ClientSession::closeGracefully() {
  phase_ = Phase::closing;
  moveToList(ReclaimList::closing);
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

// Guards the answer written last, and a request that crosses our end: closed with bytes unread, a connection
// is reset, which can overtake the answer. The client sees our end first, and what it has sent into that end
// was not read: by the protocol it sends it once more elsewhere. So nothing is read here, and no request is
// cut off half-answered. A connection that is closed for its descriptor has had its last answer a while ago,
// and goes at once.
net::Task<> ClientSession::closeAtShutdown() {
  if (!listener_.shutdown_.isInProgress()) co_return;
  phase_ = Phase::closing;
  moveToList(ReclaimList::closing);
  socket_->shutdownWrite();
  co_await listener_.sched_.sleep(kClosingTime, &clientGone_);
}

net::Task<> ClientSession::run(ConnectionDecision decision) {
  const bool isServed = decision == ConnectionDecision::serve;
  moveToList(ReclaimList::unused);
  const auto started = co_await startUp(isServed ? kStartupTimeout : kClosingTime);
  moveToList(ReclaimList::none);
  if (started == SessionFlow::end) co_return;
  if (!isServed) {
    pg::addError(replies_.tail(), {"FATAL", "53300", "too many connections; trying again is harmless"});
    const auto client = co_await flush();
    if (client == ClientState::connected) co_await closeGracefully();
    co_return;
  }
  pg::Message message;
  for (unsigned n = 1;; ++n) {
    const auto next = co_await nextMessage(message);
    if (next == SessionFlow::end) break;
    if (n % kMessagesPerTurn == 0) co_await throttle();
    const auto size = message.size;
    const auto handled = co_await handleMessage(message);
    if (handled == SessionFlow::end) break;
    buffer_.consume(size);
    buffer_.shrink(kSmallMessageBytes);
    memory_.release();
    eraseFinishedRequests();
    const auto client = co_await awaitUsageWithinLimits();
    if (client == ClientState::gone) break;
  }
  co_await drain();
}

// Returns once a further message may be started.
net::Task<ClientState> ClientSession::awaitUsageWithinLimits() {
  const auto &limits = listener_.pipeliningLimits_;
  while (replies_.bytes() > kSmallMessageBytes || !limits.mayStartMessage(usage())) {
    const auto client = co_await flush();
    if (client == ClientState::gone) co_return ClientState::gone;
    if (limits.mayStartMessage(usage())) break;
    const net::Deadline deadline{sched::kNever, &clientGone_};
    co_await listener_.sched_.wait(progressed_, deadline);
  }
  co_return ClientState::connected;
}

// Guards the other clients against one that sends unusable commands over and over: the more of them, the
// longer it waits for its next turn.
net::Task<> ClientSession::throttle() {
  const auto time = std::min<Nanoseconds>(faults_ / kFaultsPerThrottleStep * kMillisecond, kMaxThrottle);
  co_await listener_.sched_.sleep(time, &clientGone_);
}

// The startup message, and requests for encryption before it, which are declined.
net::Task<SessionFlow> ClientSession::startUp(Nanoseconds within) {
  const net::Deadline deadline{listener_.sched_.now() + within, &closeToken_};
  for (int encryptionRequests = 0;;) {
    pg::Startup startup;
    const auto parsed = pg::parseStartup(buffer_.view(), startup);
    if (parsed == pg::Parsed::more) {
      auto error = co_await socket_->read(buffer_, deadline);
      if (error == ErrorCode::cancelled) error = co_await finalRead(kNoMessageBegun);
      const bool isClosed = closeToken_.isCancelled() && error == ErrorCode::timedOut;
      if (isClosed) co_await closeAtShutdown();
      if (error != ErrorCode::none) co_return SessionFlow::end;
      lastReadAt_ = listener_.sched_.now();
      continue;
    }
    const bool isUnusable = parsed == pg::Parsed::bad || startup.kind == pg::Opening::unknown;
    if (isUnusable || encryptionRequests > kMaxEncryptionRequests) {
      co_await failConnection("the startup message is not protocol 3");
      co_return SessionFlow::end;
    }
    if (startup.kind == pg::Opening::cancel) co_return SessionFlow::end; // there is no query to cancel
    buffer_.consume(startup.size);
    if (startup.kind == pg::Opening::encryption) {
      ++encryptionRequests;
      replies_.tail() += 'N';
      const auto client = co_await flush();
      if (client == ClientState::gone) co_return SessionFlow::end;
      continue;
    }
    auto &out = replies_.tail();
    if (startup.minor > 0) pg::addOldestMinor(out);
    pg::addWelcome(out, number_, number_ * 2654435761u);
    pg::addReady(out);
    co_return SessionFlow::proceed;
  }
}

// The next message, at the front of the buffer. Between messages the connection may be closed.
net::Task<SessionFlow> ClientSession::nextMessage(pg::Message &out) {
  for (Nanoseconds messageDeadline = kNoMessageBegun;;) {
    const auto parsed = pg::parseMessage(buffer_.view(), out);
    if (parsed == pg::Parsed::whole) co_return SessionFlow::proceed;
    if (parsed == pg::Parsed::bad) {
      co_await failConnection("a message with an impossible length");
      co_return SessionFlow::end;
    }
    const auto client = co_await flush();
    if (client == ClientState::gone) co_return SessionFlow::end;
    if (faults_ >= kFaultsPerThrottleStep) co_await throttle();
    // To be closed, with requests in flight again: they are answered first.
    if (closeToken_.isCancelled()) {
      const auto drained = co_await drain();
      if (drained == ClientState::gone) co_return SessionFlow::end;
    }
    const bool isBetweenMessages = buffer_.empty();
    if (!isBetweenMessages) messageDeadline = deadlineOfPartialMessage(messageDeadline);
    // One on which nothing usable was asked may be closed for those that ask, as before its startup message.
    const bool isIdle = isBetweenMessages && requests_.empty() && !isWriting_;
    moveToList(isIdle ? ReclaimList::idle : hasBeenUsed() ? ReclaimList::none : ReclaimList::unused);
    if (!isBetweenMessages) {
      const auto reserved = co_await reserveMessageMemory(messageDeadline);
      if (reserved == SessionFlow::end) co_return SessionFlow::end;
    }
    const net::Deadline deadline{isBetweenMessages ? sched::kNever : messageDeadline, &closeToken_};
    isAwaitingMessage_ = isBetweenMessages;
    auto error = ErrorCode::cancelled;
    if (!closeToken_.isCancelled()) error = co_await socket_->read(buffer_, deadline);
    isAwaitingMessage_ = false;
    moveToList(ReclaimList::none);
    if (error == ErrorCode::cancelled) error = co_await finalRead(messageDeadline);
    const bool isTimedOut = error == ErrorCode::timedOut;
    const bool isClosed = isTimedOut && closeToken_.isCancelled();
    if (isClosed) co_await closeAtShutdown();
    if (isTimedOut && !isClosed) co_await failConnection("a message that does not end");
    if (error != ErrorCode::none) co_return SessionFlow::end;
    lastReadAt_ = listener_.sched_.now();
  }
}

// `current`: as it was set when a part of the message had arrived before.
Nanoseconds ClientSession::deadlineOfPartialMessage(Nanoseconds current) const {
  auto deadline = current;
  if (deadline == kNoMessageBegun)
    deadline = hasBeenUsed() ? listener_.sched_.now() + kMessageTimeout : openedAt_ + kFirstMessageTimeout;
  const auto &shutdown = listener_.shutdown_;
  return shutdown.isInProgress() ? std::min(deadline, shutdown.partialMessageDeadline()) : deadline;
}

// What is still read once the connection is to be closed: the rest of a message that has begun, and, as the
// instance shuts down, a new connection's first message. Else one read without waiting, which guards a
// request that has crossed the decision to close; and no second one, as a client may always have a further
// request.
net::Task<ErrorCode> ClientSession::finalRead(Nanoseconds messageDeadline) {
  const bool hasBegun = messageDeadline > kNoMessageBegun;
  const bool waits = hasBeenUsed() ? hasBegun : listener_.shutdown_.isInProgress();
  if (!waits) {
    if (closeRequest_ == CloseRequest::finalReadDone) co_return ErrorCode::timedOut;
    closeRequest_ = CloseRequest::finalReadDone;
    co_return socket_->tryRead(buffer_);
  }
  const net::Deadline deadline{hasBegun ? messageDeadline : listener_.shutdown_.partialMessageDeadline(),
                               nullptr};
  const auto error = co_await socket_->read(buffer_, deadline);
  co_return error;
}

// Reserves memory for the message at the front of the buffer, if it is a large one.
net::Task<SessionFlow> ClientSession::reserveMessageMemory(Nanoseconds messageDeadline) {
  const auto size = pg::announcedSize(buffer_.view());
  if (size <= kSmallMessageBytes || memory_.isAcquired()) co_return SessionFlow::proceed;
  const net::Deadline deadline{messageDeadline, hasBeenUsed() ? &clientGone_ : &closeToken_};
  const auto reserved = co_await net::MemoryReservation::acquire(listener_.sched_, listener_.messageMemory_,
                                                                 size, deadline, memory_);
  if (reserved != net::MemoryReservation::Result::acquired) co_return SessionFlow::end;
  buffer_.prepare(size + kSmallMessageBytes - buffer_.view().size()); // once, for all that comes
  co_return SessionFlow::proceed;
}

} // namespace myrtlehead::downstream
