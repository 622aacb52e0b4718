#include "downstream/client_session.h"

#include <algorithm>
#include <utility>

namespace myrtlehead::downstream {

using net::ErrorCode;

namespace {

constexpr Nanoseconds kStartWithin = 2 * kSecond;     // for the whole startup message to come
constexpr Nanoseconds kReadWithin = 2 * kSecond;      // for the rest of a message that has begun
constexpr Nanoseconds kFirstWithin = 5 * kSecond / 2; // from its opening, for the first one of a connection
constexpr Nanoseconds kPartWithin = kSecond;          // for a client to see that it is parted with
constexpr std::size_t kSmall = 16 * 1024; // a message that needs no place of its own, a buffer that is kept
constexpr unsigned kTurn = 32;            // messages, then other sessions have theirs
constexpr Nanoseconds kMostRest = kSecond / 10;
constexpr int kPartedReads = 16, kEncryptions = 2;

} // namespace

ClientSession::ClientSession(Listener &door, std::unique_ptr<net::Socket> socket, std::uint32_t number)
    : listener_(door), socket_(std::move(socket)), number_(number), opened_(door.sched_.now()),
      since_(opened_) {
  inAll_ = listener_.all_.insert(listener_.all_.end(), this);
  socket_->cancelOnHangUp(&gone_);
}

ClientSession::~ClientSession() {
  for (auto &request : requests_) listener_.pipeliningLimits_.leave(request.ticket);
  stand(busy);
  listener_.all_.erase(inAll_);
  listener_.ended_.notify();
}

std::list<ClientSession *> &ClientSession::list(Standing of) {
  return of == parted ? listener_.parted_ : of == early ? listener_.early_ : listener_.idle_;
}

void ClientSession::stand(Standing is) {
  if (is == standing_) return;
  if (standing_ != busy) list(standing_).erase(inList_);
  standing_ = is;
  since_ = listener_.sched_.now();
  if (is != busy) inList_ = list(is).insert(list(is).end(), this);
}

void ClientSession::complain(std::string_view code, std::string_view message, bool ready) {
  ++faults_;
  listener_.fault(message);
  auto &out = replies_.tail();
  pg::addError(out, {"ERROR", code, message});
  if (ready) pg::addReady(out);
}

net::Task<> ClientSession::breakOff(std::string_view message) {
  listener_.fault(message);
  pg::addError(replies_.tail(), {"FATAL", "08P01", message});
  const bool written = co_await drain();
  if (written) co_await partWith();
}

void ClientSession::stopIdling() {
  stand(busy); // it is not asked twice
  enough_.cancel();
  if (parting_) gone_.cancel();
}

void ClientSession::end() {
  if (parting_) return; // it ends soon by itself
  wanted_ = true;
  if (requests_.empty() && !writing_) stopIdling();
}

// Guards what was said last: closed with bytes unread, a connection is reset, and the client may not see it.
// Little is read of what still comes, and nothing of 60 MB.
net::Task<> ClientSession::partWith() {
  parting_ = true;
  stand(parted);
  socket_->shutdownWrite();
  const net::Deadline until{listener_.sched_.now() + kPartWithin, &gone_};
  auto cause = ErrorCode::none;
  for (int n = 0; n < kPartedReads && cause == ErrorCode::none; ++n) {
    buffer_.consume(buffer_.view().size());
    cause = co_await socket_->read(buffer_, until);
  }
  if (cause == ErrorCode::none) co_await listener_.sched_.sleep(until.at - listener_.sched_.now(), &gone_);
}

// Guards the answer written last, and a request that crosses our wish to close: closed with bytes unread, a
// connection is reset, which can overtake the answer. The client sees our end first, and what it has sent
// into that end was not read: by the protocol it sends it once more elsewhere. So nothing is read here, and
// no request is cut off half-answered. Whoever is closed for its descriptor has had its last answer a while
// ago, and goes at once.
net::Task<> ClientSession::endBetween() {
  if (!listener_.shutdown_.isInProgress()) co_return;
  parting_ = true;
  stand(parted);
  socket_->shutdownWrite();
  co_await listener_.sched_.sleep(kPartWithin, &gone_);
}

net::Task<> ClientSession::run(bool stays) {
  stand(early);
  const bool started = co_await startUp(stays ? kStartWithin : kPartWithin);
  stand(busy);
  if (!started) co_return;
  if (!stays) {
    pg::addError(replies_.tail(), {"FATAL", "53300", "too many connections; trying again is harmless"});
    const bool written = co_await flush();
    if (written) co_await partWith();
    co_return;
  }
  pg::Message message;
  for (unsigned n = 1; co_await nextMessage(message); ++n) {
    if (n % kTurn == 0) co_await rest();
    const auto size = message.size;
    const bool goesOn = co_await answer(message);
    if (!goesOn) break;
    buffer_.consume(size);
    buffer_.shrink(kSmall);
    place_.release();
    forgetFinished();
    const bool turn = co_await turnToTakeUp();
    if (!turn) break;
  }
  co_await drain();
}

// Returns once a further message may be taken up; false: the client has gone.
net::Task<bool> ClientSession::turnToTakeUp() {
  while (replies_.bytes() > kSmall || !listener_.pipeliningLimits_.mayStartMessage(held())) {
    const bool reads = co_await flush();
    if (!reads) co_return false;
    if (listener_.pipeliningLimits_.mayStartMessage(held())) break;
    const net::Deadline until{sched::kNever, &gone_};
    co_await listener_.sched_.wait(changed_, until);
  }
  co_return true;
}

// Guards the other clients against one that sends what can't be used over and over: the more of it, the
// longer it waits for its next turn.
net::Task<> ClientSession::rest() {
  const Nanoseconds wait = std::min<Nanoseconds>(faults_ / kTurn * kMillisecond, kMostRest);
  co_await listener_.sched_.sleep(wait, &gone_);
}

net::Task<bool> ClientSession::startUp(Nanoseconds within) {
  const net::Deadline until{listener_.sched_.now() + within, &enough_};
  for (int encryptions = 0;;) {
    pg::Startup startup;
    const auto parsed = pg::parseStartup(buffer_.view(), startup);
    if (parsed == pg::Parsed::more) {
      auto cause = co_await socket_->read(buffer_, until);
      if (cause == ErrorCode::cancelled) cause = co_await lastRead(0);
      const bool nothing = enough_.isCancelled() && cause == ErrorCode::timedOut;
      if (nothing) co_await endBetween();
      if (cause != ErrorCode::none) co_return false;
      lastReadAt_ = listener_.sched_.now();
      continue;
    }
    if (parsed == pg::Parsed::bad || startup.kind == pg::Opening::unknown || encryptions > kEncryptions) {
      co_await breakOff("the startup message is not protocol 3");
      co_return false;
    }
    if (startup.kind == pg::Opening::cancel) co_return false; // there is nothing to cancel by its key
    buffer_.consume(startup.size);
    if (startup.kind == pg::Opening::encryption) {
      ++encryptions;
      replies_.tail() += 'N';
      const bool written = co_await flush();
      if (!written) co_return false;
      continue;
    }
    auto &out = replies_.tail();
    if (startup.minor > 0) pg::addOldestMinor(out);
    pg::addWelcome(out, number_, number_ * 2654435761u);
    pg::addReady(out);
    co_return true;
  }
}

// The next message, at the front of the buffer. Between messages the connection may be taken back.
net::Task<bool> ClientSession::nextMessage(pg::Message &out) {
  for (Nanoseconds begun = 0;;) {
    const auto parsed = pg::parseMessage(buffer_.view(), out);
    if (parsed == pg::Parsed::whole) co_return true;
    if (parsed == pg::Parsed::bad) {
      co_await breakOff("a message with an impossible length");
      co_return false;
    }
    const bool written = co_await flush();
    if (!written) co_return false;
    if (faults_ >= kTurn) co_await rest();
    // Wanted back with requests in hand again: they are answered first.
    const bool reads = !enough_.isCancelled() || co_await drain();
    if (!reads) co_return false;
    const bool between = buffer_.empty();
    if (!between && begun == 0)
      begun = asked_ ? listener_.sched_.now() + kReadWithin : opened_ + kFirstWithin;
    if (!between && listener_.shutdown_.isInProgress())
      begun = std::min(begun, listener_.shutdown_.partialMessageDeadline());
    // Whoever has never asked anything whole may be closed for those that have, as before its startup
    // message.
    const bool resting = requests_.empty() && !writing_;
    stand(between && resting ? idle : asked_ ? busy : early);
    if (!between && !co_await takePlace(begun)) co_return false;
    const net::Deadline until{between ? sched::kNever : begun, &enough_};
    between_ = between;
    auto cause = enough_.isCancelled() ? ErrorCode::cancelled : co_await socket_->read(buffer_, until);
    between_ = false;
    stand(busy);
    if (cause == ErrorCode::cancelled) cause = co_await lastRead(begun);
    const bool ends = cause == ErrorCode::timedOut && enough_.isCancelled();
    if (ends) co_await endBetween();
    if (!ends && cause == ErrorCode::timedOut) co_await breakOff("a message that does not end");
    if (cause != ErrorCode::none) co_return false;
    lastReadAt_ = listener_.sched_.now();
  }
}

// What is still read once the connection is wanted back: the rest of a message that has begun, and, as the
// instance ends, a new connection's first. Else one look, which guards the request that has crossed the wish;
// and no second one, as a client may always have a further request.
net::Task<ErrorCode> ClientSession::lastRead(Nanoseconds begun) {
  const bool waits = asked_ ? begun > 0 : listener_.shutdown_.isInProgress();
  if (!waits) co_return std::exchange(looked_, true) ? ErrorCode::timedOut : socket_->tryRead(buffer_);
  const net::Deadline until{begun > 0 ? begun : listener_.shutdown_.partialMessageDeadline(), nullptr};
  const auto cause = co_await socket_->read(buffer_, until);
  co_return cause;
}

net::Task<bool> ClientSession::takePlace(Nanoseconds latest) {
  const auto size = pg::announcedSize(buffer_.view());
  if (size <= kSmall || place_.isAcquired()) co_return true;
  const net::Deadline until{latest, asked_ ? &gone_ : &enough_};
  const auto reserved = co_await net::MemoryReservation::acquire(listener_.sched_, listener_.places_, size,
                                                                 until, place_);
  if (reserved != net::MemoryReservation::Result::acquired) co_return false;
  buffer_.prepare(size + kSmall - buffer_.view().size()); // once, for all that comes
  co_return true;
}

net::Task<bool> ClientSession::answer(pg::Message message) {
  constexpr std::string_view kExtended = "PBDECHF";
  if (skipping_ && message.type != 'S' && message.type != 'X') co_return true;
  if (kExtended.find(message.type) != std::string_view::npos) {
    skipping_ = message.type != 'F'; // a function call is answered at once
    complain("0A000", "only simple queries are served here", !skipping_);
    co_return true;
  }
  switch (message.type) {
  case 'Q': {
    std::string_view body = message.body, sql;
    const bool whole = pg::takeText(body, sql) && body.empty();
    if (!whole) {
      co_await breakOff("a query without its closing zero");
      co_return false;
    }
    const auto statement = pg::parseStatement(sql);
    const bool stays = co_await ownIdFree(statement);
    if (stays) query(statement);
    co_return stays;
  }
  case 'S': {
    skipping_ = false;
    pg::addReady(replies_.tail());
    co_return true;
  }
  case 'd':
  case 'c':
  case 'f':
    co_return true; // the rest of a copy that was refused
  case 'X':
    co_return false;
  }
  co_await breakOff("a message of unknown type");
  co_return false;
}

bool ClientSession::isOwnOpenId(std::string_view id) const {
  if (!listener_.openIds_.contains(id)) return false;
  return replies_.holds(id) || (beingWritten_ != nullptr && holdsId(beingWritten_->replies, id));
}

// A request with the id of an earlier one on the same connection waits for that one's answer, as it would
// without pipelining. False: the client has gone.
net::Task<bool> ClientSession::ownIdFree(const pg::Statement &statement) {
  const net::Deadline until{sched::kNever, &gone_};
  while (statement.kind == pg::Statement::req && isOwnOpenId(statement.id)) {
    if (gone_.isCancelled()) co_return false;
    co_await listener_.sched_.wait(changed_, until);
  }
  co_return true;
}

void ClientSession::query(const pg::Statement &statement) {
  auto &out = replies_.tail();
  switch (statement.kind) {
  case pg::Statement::req: {
    const auto &routes = listener_.routes_;
    const auto at = std::find(routes.begin(), routes.end(), statement.route);
    if (at == routes.end()) return complain(statement.code, "the comment names an unknown route");
    return begin(statement, static_cast<int>(at - routes.begin()));
  }
  case pg::Statement::malformed:
    return complain(statement.code, statement.complaint);
  case pg::Statement::empty:
    pg::addEmptyAnswer(out);
    break;
  case pg::Statement::ping:
    pg::addRow(out, "?column?", "1");
    pg::addComplete(out, "SELECT 1");
    break;
  case pg::Statement::session: {
    std::string tag(statement.verb);
    std::transform(tag.begin(), tag.end(), tag.begin(),
                   [](char c) { return static_cast<char>(c - 'a' + 'A'); });
    pg::addComplete(out, tag == "DISCARD" ? "DISCARD ALL" : tag);
    break;
  }
  }
  pg::addReady(out);
  asked_ = true;
}

} // namespace myrtlehead::downstream
