// Requests in hand of a client connection: attempted side by side, answered in the order of their commands.
#include "downstream/client_session.h"

#include "policy/log_text.h"

#include <algorithm>
#include <utility>

namespace myrtlehead::downstream {

using net::ErrorCode;

namespace {
constexpr Nanoseconds kWriteWithin = 5 * kSecond; // for a client to read an answer
} // namespace

pipelining_limits::ConnectionUsage ClientSession::held() const {
  const auto writing = beingWritten_ != nullptr ? beingWritten_->text.size() : 0;
  return {requests_.size(), replies_.bytes() + writing};
}

void ClientSession::begin(const pg::Statement &parsed, int route) {
  // Guards the client that uses the id rightly: two answers to one id could be told apart by nobody.
  const auto [at, unused] = listener_.openIds_.emplace(parsed.id);
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
  request.reply->id = OpenId(listener_.openIds_, at);
  request.ticket.onAdmitted = [&request] { request.admitted.notify(); };
  listener_.admission_.enter(request.ticket, requests_.size() == 1);
  request.task.emplace(serve(self));
  request.task->start(); // at once: up to its first wait
}

net::Task<> ClientSession::serve(Requests::iterator self) {
  auto &request = *self;
  try {
    const bool admitted = co_await admission(request);
    if (admitted) co_await attempt(request);
  } catch (const std::exception &error) {
    if (listener_.sched_.onThrow) listener_.sched_.onThrow(error.what());
    abandon(); // it has no answer, so nothing behind it can be answered
  }
  finish(self);
  co_await flush();
  request.over = true;
}

// False: it has been refused, or nobody waits for it any more.
net::Task<bool> ClientSession::admission(Request &request) {
  const net::Deadline until{pipelining_limits::waitsUntil(request.arrived, patience(request)), &gone_};
  while (request.ticket.state == pipelining_limits::Ticket::waiting) {
    const auto woken = co_await listener_.sched_.wait(request.admitted, until);
    if (woken != sched::WakeReason::notified) break;
  }
  if (gone_.isCancelled()) co_return false;
  const bool admitted = request.ticket.state == pipelining_limits::Ticket::admitted;
  const bool closing = !listener_.shutdown_.mayBegin(listener_.sched_.now());
  if (closing) refuse(request, "this marshal ends; trying again is harmless");
  if (!closing && !admitted) refuse(request, "too many requests at once; trying again is harmless");
  co_return admitted && !closing;
}

Nanoseconds ClientSession::patience(const Request &request) const {
  const auto routeTimeout = listener_.routeTimeouts_[static_cast<std::size_t>(request.route)];
  return std::min(request.statement.patienceMs * kMillisecond, routeTimeout);
}

net::Task<> ClientSession::attempt(Request &request) {
  auto &router = listener_.router_;
  const auto &statement = request.statement;
  auto &reply = *request.reply;
  RequestContext call(request.route, statement.key, patience(request), statement.repeat, request.arrived);
  auto decision = co_await router.nextAttempt(call, gone_);
  while (decision.action == AttemptDecision::forward) {
    const net::Deadline until{decision.deadline, &gone_};
    auto *target = decision.endpoint;
    auto tried = co_await listener_.pool_.attempt(*target, statement, until, decision.sendBy,
                                                  [&] { return router.isStillCurrent(call); });
    listener_.log_.debug("attempt", {{"endpoint", target->name},
                                     {"outcome", nameOf(tried.outcome)},
                                     {"load_fields", tried.loads.size()}});
    if (!tried.loads.empty()) router.onLoadReport(call, tried.loads);
    if (gone_.isCancelled()) router.onClientDisconnected(call);
    decision = router.onAttemptFinished(call, tried.outcome);
    if (tried.outcome != Outcome::succeeded) continue;
    reply.text = std::move(tried.answer);
    reply.place = std::move(tried.place);
  }
  if (gone_.isCancelled()) {
    router.onClientDisconnected(call);
    co_return;
  }
  if (decision.action != AttemptDecision::none)
    listener_.log_.debug(
        decision.action == AttemptDecision::shed ? "shed a request" : "errored a request",
        {{"route", request.route}, {"after_ms", (listener_.sched_.now() - request.arrived) / kMillisecond}});
  if (decision.action == AttemptDecision::shed)
    refuse(request, "too busy; trying again is harmless", decision.retryAfter);
  else if (decision.action == AttemptDecision::fail)
    pg::addError(reply.text, {"ERROR", "XX000", "no answer could be had; it may have run"});
}

void ClientSession::refuse(Request &request, std::string_view message, Nanoseconds retryAfter) {
  const auto pause = retryAfter > 0 ? std::to_string(retryAfter / kMillisecond) : "";
  pg::addError(request.reply->text, {"ERROR", "53300", message, pause});
}

// Its answer is complete; the request behind it is the first now. Its coroutine still runs.
void ClientSession::finish(Requests::iterator self) {
  finished_.splice(finished_.end(), requests_, self);
  pg::addReady(self->reply->text);
  self->reply->complete = true;
  self->place.leave();
  listener_.admission_.leave(self->ticket);
  if (!requests_.empty()) listener_.admission_.becameFirst(requests_.front().ticket);
}

void ClientSession::forgetFinished() {
  finished_.remove_if([](const Request &request) { return request.over; });
}

void ClientSession::abandon() {
  gone_.cancel();
  socket_->shutDown(); // whoever reads sees the end
}

// One coroutine writes at a time; what becomes complete meanwhile goes with its next batch.
net::Task<bool> ClientSession::flush() {
  if (writing_) co_return !gone_.isCancelled();
  writing_ = true;
  while (replies_.mayWrite()) {
    const auto batch = replies_.take();
    if (gone_.isCancelled()) continue;
    beingWritten_ = &batch;
    const net::Deadline until{listener_.sched_.now() + kWriteWithin, &gone_};
    const auto cause = co_await socket_->write(batch.text, until);
    beingWritten_ = nullptr;
    if (cause != ErrorCode::none) abandon();
    changed_.notify();
  }
  writing_ = false;
  settle();
  changed_.notify();
  co_return !gone_.isCancelled();
}

net::Task<bool> ClientSession::drain() {
  bool reads = co_await flush();
  while (writing_ || !requests_.empty()) {
    co_await listener_.sched_.wait(changed_);
    reads = co_await flush();
  }
  co_return reads;
}

// With nothing in hand the connection is idle, and may be taken back.
void ClientSession::settle() {
  if (!requests_.empty()) return;
  if (wanted_) enough_.cancel();
  if (between_) stand(idle);
}

} // namespace myrtlehead::downstream
