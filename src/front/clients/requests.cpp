// Requests in hand of a client connection: attempted side by side, answered in the order of their commands.
#include "front/clients/session.h"

#include "guard/log.h"

#include <algorithm>
#include <utility>

namespace myrtlehead::clients {

using net::Cause;

namespace {
constexpr Ns kWriteWithin = 5 * kSec; // for a client to read an answer
} // namespace

pipeline::Held Session::held() const {
  const auto writing = beingWritten_ != nullptr ? beingWritten_->text.size() : 0;
  return {requests_.size(), replies_.bytes() + writing};
}

void Session::begin(const pg::Statement &parsed, int route) {
  // Guards the client that uses the id rightly: two answers to one id could be told apart by nobody.
  const auto [at, unused] = door_.openIds_.emplace(parsed.id);
  if (!unused) return complain("42710", "another request with this id is open");
  asked_ = true;
  auto &request = requests_.emplace_back();
  const auto self = std::prev(requests_.end());
  request.text = parsed.text;
  request.statement = pg::movedTo(parsed, request.text);
  request.route = route;
  request.arrived = lastReadAt_;
  request.place = std::move(place_);
  request.reply = &replies_.add();
  request.reply->id = OpenId(door_.openIds_, at);
  request.ticket.onAdmitted = [&request] { request.admitted.notify(); };
  door_.admission_.enter(request.ticket, requests_.size() == 1);
  request.task.emplace(serve(self));
  request.task->start(); // at once: up to its first wait
}

net::Task<> Session::serve(Requests::iterator self) {
  auto &request = *self;
  try {
    const bool admitted = co_await admission(request);
    if (admitted) co_await attempt(request);
  } catch (const std::exception &error) {
    if (door_.sched_.onThrow) door_.sched_.onThrow(error.what());
    abandon(); // it has no answer, so nothing behind it can be answered
  }
  finish(self);
  co_await flush();
  request.over = true;
}

// False: it has been refused, or nobody waits for it any more.
net::Task<bool> Session::admission(Request &request) {
  const net::Until until{pipeline::waitsUntil(request.arrived, patience(request)), &gone_};
  while (request.ticket.state == pipeline::Ticket::waiting) {
    const auto woken = co_await door_.sched_.wait(request.admitted, until);
    if (woken != sched::Woken::signalled) break;
  }
  if (gone_.requested()) co_return false;
  const bool admitted = request.ticket.state == pipeline::Ticket::admitted;
  const bool closing = !door_.closing_.mayBegin(door_.sched_.now());
  if (closing) refuse(request, "this marshal ends; trying again is harmless");
  if (!closing && !admitted) refuse(request, "too many requests at once; trying again is harmless");
  co_return admitted && !closing;
}

Ns Session::patience(const Request &request) const {
  const auto routeTimeout = door_.routeTimeouts_[static_cast<std::size_t>(request.route)];
  return std::min(request.statement.patienceMs * kMs, routeTimeout);
}

net::Task<> Session::attempt(Request &request) {
  auto &marshal = door_.marshal_;
  const auto &statement = request.statement;
  auto &reply = *request.reply;
  Call call(request.route, statement.key, patience(request), statement.repeat, request.arrived);
  auto choice = co_await marshal.pick(call, gone_);
  while (choice.what == Choice::send) {
    const net::Until until{choice.until, &gone_};
    auto *target = choice.target;
    auto tried = co_await door_.pool_.attempt(*target, statement, until, choice.sendBy,
                                              [&] { return marshal.stillMeant(call); });
    door_.log_.debug(
        "try",
        {{"node", target->name}, {"outcome", word(tried.outcome)}, {"load_fields", tried.loads.size()}});
    if (!tried.loads.empty()) marshal.load(call, tried.loads);
    if (gone_.requested()) marshal.left(call);
    choice = marshal.report(call, tried.outcome);
    if (tried.outcome != Outcome::completed) continue;
    reply.text = std::move(tried.answer);
    reply.place = std::move(tried.place);
  }
  if (gone_.requested()) {
    marshal.left(call);
    co_return;
  }
  if (choice.what != Choice::nothing)
    door_.log_.debug(choice.what == Choice::shed ? "shed a request" : "errored a request",
                     {{"route", request.route}, {"after_ms", (door_.sched_.now() - request.arrived) / kMs}});
  if (choice.what == Choice::shed)
    refuse(request, "too busy; trying again is harmless", choice.retryAfter);
  else if (choice.what == Choice::fail)
    pg::addError(reply.text, {"ERROR", "XX000", "no answer could be had; it may have run"});
}

void Session::refuse(Request &request, std::string_view message, Ns retryAfter) {
  const auto pause = retryAfter > 0 ? std::to_string(retryAfter / kMs) : "";
  pg::addError(request.reply->text, {"ERROR", "53300", message, pause});
}

// Its answer is complete; the request behind it is the first now. Its coroutine still runs.
void Session::finish(Requests::iterator self) {
  finished_.splice(finished_.end(), requests_, self);
  pg::addReady(self->reply->text);
  self->reply->complete = true;
  self->place.leave();
  door_.admission_.leave(self->ticket);
  if (!requests_.empty()) door_.admission_.becameFirst(requests_.front().ticket);
}

void Session::forgetFinished() {
  finished_.remove_if([](const Request &request) { return request.over; });
}

void Session::abandon() {
  gone_.request();
  socket_->shutDown(); // whoever reads sees the end
}

// One coroutine writes at a time; what becomes complete meanwhile goes with its next batch.
net::Task<bool> Session::flush() {
  if (writing_) co_return !gone_.requested();
  writing_ = true;
  while (replies_.mayWrite()) {
    const auto batch = replies_.take();
    if (gone_.requested()) continue;
    beingWritten_ = &batch;
    const net::Until until{door_.sched_.now() + kWriteWithin, &gone_};
    const auto cause = co_await socket_->write(batch.text, until);
    beingWritten_ = nullptr;
    if (cause != Cause::none) abandon();
    changed_.notify();
  }
  writing_ = false;
  settle();
  changed_.notify();
  co_return !gone_.requested();
}

net::Task<bool> Session::drain() {
  bool reads = co_await flush();
  while (writing_ || !requests_.empty()) {
    co_await door_.sched_.wait(changed_);
    reads = co_await flush();
  }
  co_return reads;
}

// With nothing in hand the connection is idle, and may be taken back.
void Session::settle() {
  if (!requests_.empty()) return;
  if (wanted_) enough_.request();
  if (between_) stand(idle);
}

} // namespace myrtlehead::clients
