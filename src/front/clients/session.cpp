#include "front/clients/session.h"

#include <algorithm>
#include <utility>

namespace myrtlehead::clients {

using net::Cause;

namespace {

constexpr Ns kStartWithin = 2 * kSec;     // for the whole startup message to come
constexpr Ns kReadWithin = 2 * kSec;      // for the rest of a message that has begun
constexpr Ns kFirstWithin = 5 * kSec / 2; // from its opening, for the first one of a connection
constexpr Ns kPartWithin = kSec;          // for a client to see that it is parted with
constexpr std::size_t kSmall = 16 * 1024; // a message that needs no place of its own, a buffer that is kept
constexpr unsigned kTurn = 32;            // messages, then other sessions have theirs
constexpr Ns kMostRest = kSec / 10;
constexpr int kPartedReads = 16, kEncryptions = 2;

} // namespace

Session::Session(Door &door, std::unique_ptr<net::Socket> socket, std::uint32_t number)
    : door_(door), socket_(std::move(socket)), number_(number), opened_(door.sched_.now()), since_(opened_) {
  inAll_ = door_.all_.insert(door_.all_.end(), this);
  socket_->onHangUp(&gone_);
}

Session::~Session() {
  for (auto &request : requests_) door_.admission_.leave(request.ticket);
  stand(busy);
  door_.all_.erase(inAll_);
  door_.ended_.notify();
}

std::list<Session *> &Session::list(Standing of) {
  return of == parted ? door_.parted_ : of == early ? door_.early_ : door_.idle_;
}

void Session::stand(Standing is) {
  if (is == standing_) return;
  if (standing_ != busy) list(standing_).erase(inList_);
  standing_ = is;
  since_ = door_.sched_.now();
  if (is != busy) inList_ = list(is).insert(list(is).end(), this);
}

void Session::complain(std::string_view code, std::string_view message, bool ready) {
  ++faults_;
  door_.fault(message);
  auto &out = replies_.tail();
  pg::addError(out, {"ERROR", code, message});
  if (ready) pg::addReady(out);
}

net::Task<> Session::breakOff(std::string_view message) {
  door_.fault(message);
  pg::addError(replies_.tail(), {"FATAL", "08P01", message});
  const bool written = co_await drain();
  if (written) co_await partWith();
}

void Session::stopIdling() {
  stand(busy); // it is not asked twice
  enough_.request();
  if (parting_) gone_.request();
}

void Session::end() {
  if (parting_) return; // it ends soon by itself
  wanted_ = true;
  if (requests_.empty() && !writing_) stopIdling();
}

// Guards what was said last: closed with bytes unread, a connection is reset, and the client may not see it.
// Little is read of what still comes, and nothing of 60 MB.
net::Task<> Session::partWith() {
  parting_ = true;
  stand(parted);
  socket_->endWriting();
  const net::Until until{door_.sched_.now() + kPartWithin, &gone_};
  auto cause = Cause::none;
  for (int n = 0; n < kPartedReads && cause == Cause::none; ++n) {
    buffer_.consume(buffer_.view().size());
    cause = co_await socket_->read(buffer_, until);
  }
  if (cause == Cause::none) co_await door_.sched_.sleep(until.at - door_.sched_.now(), &gone_);
}

// Guards the answer written last, and a req that crosses our wish to close: closed with bytes unread, a
// connection is reset, which can overtake the answer. The client sees our end first, and what it has sent
// into that end was not read: by the protocol it sends it once more elsewhere. So nothing is read here, and
// no req is cut off half-answered. Whoever is closed for its descriptor has had its last answer a while ago,
// and goes at once.
net::Task<> Session::endBetween() {
  if (!door_.closing_.is()) co_return;
  parting_ = true;
  stand(parted);
  socket_->endWriting();
  co_await door_.sched_.sleep(kPartWithin, &gone_);
}

net::Task<> Session::run(bool stays) {
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
    place_.leave();
    forgetFinished();
    const bool turn = co_await turnToTakeUp();
    if (!turn) break;
  }
  co_await drain();
}

// Returns once a further message may be taken up; false: the client has gone.
net::Task<bool> Session::turnToTakeUp() {
  while (replies_.bytes() > kSmall || !door_.admission_.mayTakeUp(held())) {
    const bool reads = co_await flush();
    if (!reads) co_return false;
    if (door_.admission_.mayTakeUp(held())) break;
    const net::Until until{sched::kNever, &gone_};
    co_await door_.sched_.wait(changed_, until);
  }
  co_return true;
}

// Guards the other clients against one that sends what can't be used over and over: the more of it, the
// longer it waits for its next turn.
net::Task<> Session::rest() {
  const Ns wait = std::min<Ns>(faults_ / kTurn * kMs, kMostRest);
  co_await door_.sched_.sleep(wait, &gone_);
}

net::Task<bool> Session::startUp(Ns within) {
  const net::Until until{door_.sched_.now() + within, &enough_};
  for (int encryptions = 0;;) {
    pg::Startup startup;
    const auto parsed = pg::parseStartup(buffer_.view(), startup);
    if (parsed == pg::Parsed::more) {
      auto cause = co_await socket_->read(buffer_, until);
      if (cause == Cause::stopped) cause = co_await lastRead(0);
      const bool nothing = enough_.requested() && cause == Cause::timedOut;
      if (nothing) co_await endBetween();
      if (cause != Cause::none) co_return false;
      lastReadAt_ = door_.sched_.now();
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
net::Task<bool> Session::nextMessage(pg::Message &out) {
  for (Ns begun = 0;;) {
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
    const bool reads = !enough_.requested() || co_await drain();
    if (!reads) co_return false;
    const bool between = buffer_.empty();
    if (!between && begun == 0) begun = asked_ ? door_.sched_.now() + kReadWithin : opened_ + kFirstWithin;
    if (!between && door_.closing_.is()) begun = std::min(begun, door_.closing_.restBy());
    // Whoever has never asked anything whole may be closed for those that have, as before its startup
    // message.
    const bool resting = requests_.empty() && !writing_;
    stand(between && resting ? idle : asked_ ? busy : early);
    if (!between && !co_await takePlace(begun)) co_return false;
    const net::Until until{between ? sched::kNever : begun, &enough_};
    between_ = between;
    auto cause = enough_.requested() ? Cause::stopped : co_await socket_->read(buffer_, until);
    between_ = false;
    stand(busy);
    if (cause == Cause::stopped) cause = co_await lastRead(begun);
    const bool ends = cause == Cause::timedOut && enough_.requested();
    if (ends) co_await endBetween();
    if (!ends && cause == Cause::timedOut) co_await breakOff("a message that does not end");
    if (cause != Cause::none) co_return false;
    lastReadAt_ = door_.sched_.now();
  }
}

// What is still read once the connection is wanted back: the rest of a message that has begun, and, as the
// marshal ends, a new connection's first. Else one look, which guards the req that has crossed the wish; and
// no second one, as a client may always have a further req.
net::Task<Cause> Session::lastRead(Ns begun) {
  const bool waits = asked_ ? begun > 0 : door_.closing_.is();
  if (!waits) co_return std::exchange(looked_, true) ? Cause::timedOut : socket_->readNow(buffer_);
  const net::Until until{begun > 0 ? begun : door_.closing_.restBy(), nullptr};
  const auto cause = co_await socket_->read(buffer_, until);
  co_return cause;
}

net::Task<bool> Session::takePlace(Ns latest) {
  const auto size = pg::announcedSize(buffer_.view());
  if (size <= kSmall || place_.held()) co_return true;
  const net::Until until{latest, asked_ ? &gone_ : &enough_};
  const bool taken = co_await net::Place::take(door_.sched_, door_.places_, size, until, place_);
  if (!taken) co_return false;
  buffer_.room(size + kSmall - buffer_.view().size()); // once, for all that comes
  co_return true;
}

net::Task<bool> Session::answer(pg::Message message) {
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

bool Session::isOwnOpenId(std::string_view id) const {
  if (!door_.openIds_.contains(id)) return false;
  return replies_.holds(id) || (beingWritten_ != nullptr && holdsId(beingWritten_->replies, id));
}

// A request with the id of an earlier one on the same connection waits for that one's answer, as it would
// without pipelining. False: the client has gone.
net::Task<bool> Session::ownIdFree(const pg::Statement &statement) {
  const net::Until until{sched::kNever, &gone_};
  while (statement.kind == pg::Statement::req && isOwnOpenId(statement.id)) {
    if (gone_.requested()) co_return false;
    co_await door_.sched_.wait(changed_, until);
  }
  co_return true;
}

void Session::query(const pg::Statement &statement) {
  auto &out = replies_.tail();
  switch (statement.kind) {
  case pg::Statement::req: {
    const auto &routes = door_.routes_;
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

} // namespace myrtlehead::clients
