// Reading the messages of a client: the memory for them, how long the rest of one is awaited, and what
// happens to one that is not received completely.
#include "downstream/client_session.h"

#include <algorithm>
#include <new>
#include <utility>

namespace myrtlehead::downstream {

using net::ErrorCode;

// Reads until a whole message is at the front of the buffer, to which `out` refers, or has been discarded.
// The connection may be closed between messages.
net::Task<SessionFlow> ClientSession::nextMessage(pg::Message &out) {
  for (std::optional<Nanoseconds> begunAt;;) {
    const auto parsed = parseNextMessage(out);
    const bool isPartial = parsed == pg::ParseStatus::incomplete && hasPartialMessage();
    readState_ = isPartial ? ReadState::receivingMessage : ReadState::notReading;
    if (parsed != pg::ParseStatus::incomplete) moveToGroup(std::nullopt);
    if (parsed == pg::ParseStatus::complete) co_return SessionFlow::proceed;
    if (parsed == pg::ParseStatus::malformed) {
      co_await failConnection("message length is invalid or above the limit");
      co_return SessionFlow::end;
    }
    const auto client = co_await writeAnswersBeforeRead();
    if (client == ClientState::gone) co_return SessionFlow::end;
    if (hasPartialMessage() && !begunAt) begunAt = listener_.sched_.now();
    moveToGroup(groupWhileReading());
    co_await reserveMessageMemory(begunAt);
    const auto error = co_await readMore(begunAt);
    if (error != ErrorCode::none) moveToGroup(std::nullopt);
    if (error == ErrorCode::timedOut) co_await closeUnread();
    if (error != ErrorCode::none) co_return SessionFlow::end;
    lastReadAt_ = listener_.sched_.now();
  }
}

// Parses the message at the front of the buffer. A message that is discarded is complete, with an empty body,
// once its last byte has arrived.
pg::ParseStatus ClientSession::parseNextMessage(pg::Message &out) {
  if (!discarded_) return pg::parseMessage(buffer_.view(), out);
  const auto bytes = std::min(discarded_->bytesLeft, buffer_.view().size());
  buffer_.consume(bytes);
  discarded_->bytesLeft -= bytes;
  if (discarded_->bytesLeft > 0) return pg::ParseStatus::incomplete;
  out = {discarded_->type, {}, 0};
  return pg::ParseStatus::complete;
}

net::Task<ClientState> ClientSession::writeAnswersBeforeRead() {
  const auto client = co_await flush();
  if (client == ClientState::gone) co_return ClientState::gone;
  if (isThrottled()) co_await throttle();
  if (!closeToken_.isCancelled()) co_return ClientState::connected;
  // Requests that are in flight when the connection is to be closed are answered first.
  co_return co_await drain();
}

// Returns the group of connections that may be closed to which the session belongs before a read. A
// connection without a valid statement may be closed for a new one, as before its startup message. A session
// stays in its group while the parts of a message arrive, so that a client that sends a byte at a time is no
// exception.
std::optional<ReclaimGroup> ClientSession::groupWhileReading() const {
  if (closeToken_.isCancelled()) return std::nullopt;
  const bool isQuiet = requests_.empty() && !isWriting_;
  if (isQuiet && !hasPartialMessage()) return ReclaimGroup::idle;
  if (!hasBeenUsed()) return ReclaimGroup::unused;
  return isQuiet ? std::optional(ReclaimGroup::receiving) : std::nullopt;
}

// Waits for further bytes. `begunAt` is when the first part of the message arrived, if one has. Returns
// timedOut if the rest of the message is late, or if the connection is to be closed and nothing is left to
// read.
net::Task<ErrorCode> ClientSession::readMore(std::optional<Nanoseconds> begunAt) {
  if (!begunAt) readState_ = ReadState::awaitingMessage;
  auto error = ErrorCode::cancelled;
  if (!closeToken_.isCancelled())
    error = co_await socket_->read(buffer_,
                                   {begunAt ? messageDeadline(*begunAt) : sched::kNever, &closeToken_});
  if (readState_ == ReadState::awaitingMessage) readState_ = ReadState::notReading;
  if (error == ErrorCode::cancelled) error = co_await readFinalMessage(begunAt);
  co_return error;
}

// Returns the deadline for the rest of a message of which the first part arrived at `begunAt`.
Nanoseconds ClientSession::messageDeadline(Nanoseconds begunAt) const {
  const auto deadline = connection_limits::messageDeadline(use(), openedAt_, begunAt);
  const auto &shutdown = listener_.shutdown_;
  if (shutdown.isInProgress()) return std::min(deadline, shutdown.partialMessageDeadline());
  if (!closeToken_.isCancelled()) return deadline;
  return std::min(deadline, connection_limits::finalMessageDeadline(begunAt));
}

// Reads once more after closeToken_ was cancelled. It waits for the rest of a partly received message and,
// during a shutdown, for the first message of a new connection. Otherwise it reads once without waiting, for
// a request that was sent before the client could see the end of the connection. It does not read a second
// time, because a client may always have another request. Returns timedOut if nothing is left to read.
net::Task<ErrorCode> ClientSession::readFinalMessage(std::optional<Nanoseconds> begunAt) {
  const auto &shutdown = listener_.shutdown_;
  const bool mayWait = hasBeenUsed() ? begunAt.has_value() : shutdown.isInProgress();
  if (!mayWait) {
    // The rest of a message that has arrived in part may have arrived, too.
    if (closeRequest_ == CloseRequest::finalReadDone && !begunAt) co_return ErrorCode::timedOut;
    closeRequest_ = CloseRequest::finalReadDone;
    co_return socket_->tryRead(buffer_);
  }
  const auto until = begunAt ? messageDeadline(*begunAt) : shutdown.partialMessageDeadline();
  const auto error = co_await socket_->read(buffer_, {until, nullptr});
  co_return error;
}

// Closes the connection after no further bytes have arrived in time. A client of which a part of a message
// was read is told an error.
net::Task<> ClientSession::closeUnread() {
  if (!closeToken_.isCancelled())
    co_await failConnection("timed out waiting for the rest of a message");
  else if (hasPartialMessage())
    co_await closeWithError(kRetriableSqlState,
                            "the connection is closed before the rest of the message has arrived; the "
                            "request can be retried safely");
  else
    co_await closeAtShutdown();
}

// Reserves memory for the message at the front of the buffer if it is large. If memory is short, messages
// that take too long to arrive give up theirs. If none becomes available in time, the message is discarded,
// and refused once the rest of it has arrived.
net::Task<> ClientSession::reserveMessageMemory(std::optional<Nanoseconds> begunAt) {
  if (!begunAt || discarded_) co_return;
  const auto announced = pg::announcedSize(buffer_.view());
  const auto needed = message_memory::clientBufferBytes(announced, buffer_.view().size());
  if (announced <= kSmallMessageBytes || needed <= kSmallMessageBytes || memory_.isAcquired()) co_return;
  readState_ = ReadState::awaitingMemory;
  const auto waitUntil = std::min(messageDeadline(*begunAt),
                                  listener_.sched_.now() + listener_.maxMemoryWait_);
  auto *const cancellation = hasBeenUsed() ? &clientGone_ : &closeToken_;
  const net::Deadline deadline{waitUntil, cancellation};
  net::MemoryReservation::Sharing sharing;
  sharing.reclaim = [this] { return listener_.reclaimMessageMemory(); };
  const auto reserved = co_await net::MemoryReservation::acquire(
      listener_.sched_, listener_.messageMemory_, needed, deadline, std::move(sharing), memory_);
  if (reserved != net::MemoryReservation::Result::acquired) co_return discardPartialMessage();
  readState_ = ReadState::receivingMessage;
  memoryHeldSince_ = listener_.sched_.now();
  try {
    buffer_.reserve(needed); // one allocation for the whole message
  } catch (const std::bad_alloc &) {
    discardPartialMessage();
  }
}

Nanoseconds ClientSession::memoryReclaimableAt() const {
  const bool isReclaimable = readState_ == ReadState::receivingMessage && memory_.isAcquired() &&
                             !socket_->mayHaveUnreadData();
  return isReclaimable ? message_memory::reclaimableAt(memoryHeldSince_) : sched::kNever;
}

void ClientSession::discardPartialMessage() {
  const auto partial = buffer_.view();
  discarded_ = DiscardedMessage{partial.front(), pg::announcedSize(partial) - partial.size()};
  buffer_.consume(partial.size());
  buffer_.shrink(message_memory::kIdleBufferBytes);
  memory_.release();
  listener_.countRefusal();
}

} // namespace myrtlehead::downstream
