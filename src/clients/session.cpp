#include "clients/session.h"

#include "guard/log.h"

#include <algorithm>

namespace myrtlehead::clients {

using net::Cause;

namespace {

constexpr Ns kStartWithin = 10 * kSec;    // for the whole startup message to come
constexpr std::size_t kSmall = 16 * 1024; // a message that needs no place of its own, a buffer that is kept
constexpr Ns kReadWithin = 10 * kSec;     // for the rest of a message that has begun, and to read an answer

constexpr Ns kPartWithin = kSec; // for a client to see that it is parted with
constexpr unsigned kTurn = 32;   // messages, then other sessions have theirs

} // namespace

Session::Session(Door &door, std::unique_ptr<net::Socket> socket, std::uint32_t number)
    : door_(door), socket_(std::move(socket)), number_(number) {
  inAll_ = door_.all_.insert(door_.all_.end(), this);
  socket_->onHangUp(&gone_);
}

Session::~Session() {
  idle(false);
  leavePlace();
  door_.all_.erase(inAll_);
  door_.ended_.notify();
}

void Session::idle(bool is) {
  if (is == isIdle_) return;
  isIdle_ = is;
  if (is)
    inIdle_ = door_.idle_.insert(door_.idle_.end(), this);
  else
    door_.idle_.erase(inIdle_);
}

net::Task<bool> Session::say(std::string_view bytes) {
  const net::Until until{door_.sched_.now() + kReadWithin, &gone_};
  co_return co_await socket_->write(bytes, until) == Cause::none;
}

net::Task<bool> Session::complain(const pg::Complaint &complaint, bool ready) {
  std::string out;
  pg::addError(out, complaint);
  if (ready) pg::addReady(out);
  co_return co_await say(out);
}

void Session::stopIdling() {
  idle(false); // it is not asked twice
  enough_.request();
}

// Guards what was said last: closed with bytes unread, a connection is reset, and the client may not see it.
net::Task<> Session::partWith() {
  const net::Until until{door_.sched_.now() + kPartWithin, nullptr};
  socket_->endWriting();
  for (auto cause = Cause::none; cause == Cause::none;) {
    buffer_.consume(buffer_.view().size());
    cause = co_await socket_->read(buffer_, until);
  }
}

net::Task<> Session::run(bool stays) {
  const bool started = co_await startUp(stays ? kStartWithin : kPartWithin);
  if (!started) co_return;
  if (!stays) {
    co_await complain({"FATAL", "53300", "too many connections; trying again is harmless"}, false);
    co_await partWith();
    co_return;
  }
  pg::Message message;
  for (unsigned n = 1; co_await nextMessage(message); ++n) {
    if (n % kTurn == 0) co_await door_.sched_.sleep(0);
    const auto size = message.size;
    if (!co_await answer(message)) break;
    buffer_.consume(size);
    buffer_.shrink(kSmall);
    leavePlace();
  }
}

net::Task<bool> Session::startUp(Ns within) {
  const net::Until until{door_.sched_.now() + within, &enough_};
  for (;;) {
    pg::Startup startup;
    const auto parsed = pg::parseStartup(buffer_.view(), startup);
    if (parsed == pg::Parsed::more) {
      auto cause = co_await socket_->read(buffer_, until);
      if (cause == Cause::stopped) cause = socket_->readNow(buffer_);
      if (cause != Cause::none) co_return false;
      continue;
    }
    if (parsed == pg::Parsed::bad || startup.kind == pg::Opening::unknown) {
      door_.log_.warning("a client's startup message can't be read");
      co_await complain({"FATAL", "08P01", "the startup message is not protocol 3"}, false);
      co_await partWith();
      co_return false;
    }
    if (startup.kind == pg::Opening::cancel) co_return false; // there is nothing to cancel by its key
    buffer_.consume(startup.size);
    if (startup.kind == pg::Opening::encryption) {
      if (!co_await say("N")) co_return false;
      continue;
    }
    std::string out;
    if (startup.minor > 0) pg::addOldestMinor(out);
    pg::addWelcome(out, number_, number_ * 2654435761u);
    pg::addReady(out);
    co_return co_await say(out);
  }
}

// The next message, at the front of the buffer. Between messages the connection may be taken back.
net::Task<bool> Session::nextMessage(pg::Message &out) {
  for (Ns begun = 0;;) {
    const auto parsed = pg::parseMessage(buffer_.view(), out);
    if (parsed == pg::Parsed::whole) co_return true;
    if (parsed == pg::Parsed::bad) {
      door_.log_.warning("a client's message has an impossible length");
      co_await complain({"FATAL", "08P01", "a message with an impossible length"}, false);
      co_await partWith();
      co_return false;
    }
    const bool between = buffer_.empty();
    if (!between && begun == 0) begun = door_.sched_.now();
    if (!between && !co_await takePlace(begun + kReadWithin)) co_return false;
    idle(between);
    const net::Until until = between ? net::Until{sched::kNever, &enough_}
                                     : net::Until{begun + kReadWithin, nullptr};
    auto cause = co_await socket_->read(buffer_, until);
    idle(false);
    // Guards the req that has crossed our wish to close.
    if (cause == Cause::stopped) cause = socket_->readNow(buffer_);
    if (cause != Cause::none) co_return false;
  }
}

// Guards the memory against many large messages at once: each has its place before it is read on. Could harm
// where a client sends slowly: it is cut off in time.
net::Task<bool> Session::takePlace(Ns latest) {
  const auto size = pg::announcedSize(buffer_.view());
  if (size <= kSmall || place_ > 0) co_return true;
  const net::Until until{latest, &gone_};
  while (door_.places_ < size)
    if (co_await door_.sched_.wait(door_.placeLeft_, until) != sched::Woken::signalled) co_return false;
  door_.places_ -= size;
  place_ = size;
  buffer_.room(size + kSmall - buffer_.view().size()); // once, for all that comes
  co_return true;
}

void Session::leavePlace() {
  if (place_ == 0) return;
  door_.places_ += std::exchange(place_, 0);
  door_.placeLeft_.notify();
}

net::Task<bool> Session::answer(pg::Message message) {
  constexpr std::string_view kExtended = "PBDECHF";
  if (skipping_ && message.type != 'S' && message.type != 'X') co_return true;
  if (kExtended.find(message.type) != std::string_view::npos) {
    skipping_ = message.type != 'F'; // a function call is answered at once
    co_return co_await complain({"ERROR", "0A000", "only simple queries are served here"}, !skipping_);
  }
  switch (message.type) {
  case 'Q': {
    std::string_view body = message.body, sql;
    if (pg::takeText(body, sql) && body.empty()) co_return co_await query(sql);
    door_.log_.warning("a client's query does not end as it should");
    co_await complain({"FATAL", "08P01", "a query without its closing zero"}, false);
    co_await partWith();
    co_return false;
  }
  case 'S': {
    skipping_ = false;
    std::string out;
    pg::addReady(out);
    co_return co_await say(out);
  }
  case 'd':
  case 'c':
  case 'f':
    co_return true; // the rest of a copy that was refused
  case 'X':
    co_return false;
  }
  door_.log_.warning("a client sent a message of unknown type ", static_cast<int>(message.type));
  co_await complain({"FATAL", "08P01", "a message of unknown type"}, false);
  co_await partWith();
  co_return false;
}

net::Task<bool> Session::query(std::string_view sql) {
  auto statement = pg::parseStatement(sql);
  std::string out;
  switch (statement.kind) {
  case pg::Statement::req: {
    const auto &routes = door_.routes_;
    const auto at = std::find(routes.begin(), routes.end(), statement.route);
    if (at != routes.end()) co_return co_await serve(statement, static_cast<int>(at - routes.begin()));
    statement.complaint = "the comment names an unknown route";
    [[fallthrough]];
  }
  case pg::Statement::malformed:
    door_.log_.warning("a statement was not passed on: ", statement.complaint);
    co_return co_await complain({"ERROR", statement.code, statement.complaint});
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
  co_return co_await say(out);
}

net::Task<bool> Session::serve(const pg::Statement &statement, int route) {
  auto &marshal = door_.marshal_;
  const Ns patience = std::min(statement.patienceMs * kMs,
                               door_.routeTimeouts_[static_cast<std::size_t>(route)]);
  const Ns taken = door_.sched_.now();
  Call call(route, statement.key, patience, statement.repeat, taken);
  auto choice = co_await marshal.pick(call, gone_);
  std::string out;
  while (choice.what == Choice::send) {
    const net::Until until{choice.until, &gone_};
    auto *target = choice.target;
    auto tried = co_await door_.pool_.attempt(*target, statement, until,
                                              [&] { return marshal.stillMeant(call); });
    door_.log_.debug("try at ", target->name, ": ", word(tried.outcome), ", load fields ",
                     tried.loads.size());
    if (!tried.loads.empty()) marshal.load(*target, tried.loads);
    if (gone_.requested()) marshal.left(call);
    choice = marshal.report(call, tried.outcome);
    if (tried.outcome == Outcome::completed) out = std::move(tried.answer);
  }
  if (gone_.requested()) {
    marshal.left(call);
    co_return false;
  }
  if (choice.what != Choice::nothing)
    door_.log_.debug(choice.what == Choice::shed ? "shed" : "errored", " a req of route ", route, " after ",
                     (door_.sched_.now() - taken) / kMs, " ms");
  if (choice.what == Choice::shed) {
    const auto pause = choice.retryAfter > 0 ? std::to_string(choice.retryAfter / kMs) : "";
    pg::addError(out, {"ERROR", "53300", "too busy; trying again is harmless", pause});
  } else if (choice.what == Choice::fail) {
    pg::addError(out, {"ERROR", "XX000", "no answer could be had; it may have run"});
  }
  pg::addReady(out);
  co_return co_await say(out);
}

} // namespace myrtlehead::clients
