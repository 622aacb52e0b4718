// Requests in flight of a client connection: attempted side by side, answered in the order of their commands.
#include "downstream/client_session.h"

#include "policy/log_text.h"

#include <algorithm>
#include <utility>

namespace myrtlehead::downstream {

using net::ErrorCode;
using pipelining_limits::AdmissionTicket;
using pipelining_limits::RequestPosition;

namespace {

constexpr Nanoseconds kWriteTimeout = 5 * kSecond; // for a client to read an answer

} // namespace

pipelining_limits::ConnectionUsage ClientSession::usage() const {
  const auto writing = beingWritten_ != nullptr ? beingWritten_->text.size() : 0;
  return {requests_.size(), replies_.bytes() + writing};
}

void ClientSession::startRequest(const pg::Statement &parsed, int route) {
  // Guards the client that uses the id rightly: two answers to one id could be told apart by nobody.
  const auto [id, isFree] = listener_.openIds_.emplace(parsed.id);
  if (!isFree) return replyWithError("42710", "another request with this id is open");
  phase_ = Phase::used;
  auto &request = requests_.emplace_back();
  const auto self = std::prev(requests_.end());
  request.text = parsed.text;
  request.statement = pg::movedTo(parsed, request.text);
  request.route = route;
  request.arrivedAt = lastReadAt_;
  request.memory = std::move(memory_);
  request.reply = &replies_.add();
  request.reply->id = OpenId(listener_.openIds_, id);
  request.ticket.onAdmitted = [&request] { request.admitted.notify(); };
  const auto position = requests_.size() == 1 ? RequestPosition::first : RequestPosition::behindOthers;
  listener_.pipeliningLimits_.enter(request.ticket, position);
  request.task.emplace(serveRequest(self));
  request.task->start(); // at once: up to its first wait
}

net::Task<> ClientSession::serveRequest(Requests::iterator self) {
  auto &request = *self;
  try {
    const auto admission = co_await awaitAdmission(request);
    if (admission == AdmissionResult::admitted) co_await attemptRequest(request);
  } catch (const std::exception &error) {
    if (listener_.sched_.onUncaughtException) listener_.sched_.onUncaughtException(error.what());
    abortConnection(); // it has no answer, so nothing behind it can be answered
  }
  finishRequest(self);
  co_await flush();
  request.isFinished = true;
}

// Waits until the request may be attempted, or rejects it.
net::Task<ClientSession::AdmissionResult> ClientSession::awaitAdmission(Request &request) {
  const auto latest = pipelining_limits::admissionDeadline(request.arrivedAt, clientTimeout(request));
  const net::Deadline deadline{latest, &clientGone_};
  while (request.ticket.state == AdmissionTicket::waiting) {
    const auto woken = co_await listener_.sched_.wait(request.admitted, deadline);
    if (woken != sched::WakeReason::notified) break;
  }
  if (clientGone_.isCancelled()) co_return AdmissionResult::clientGone;
  if (!listener_.shutdown_.mayStartRequest(listener_.sched_.now())) {
    rejectRequest(request, "this marshal ends; trying again is harmless");
    co_return AdmissionResult::rejected;
  }
  if (request.ticket.state != AdmissionTicket::admitted) {
    rejectRequest(request, "too many requests at once; trying again is harmless");
    co_return AdmissionResult::rejected;
  }
  co_return AdmissionResult::admitted;
}

Nanoseconds ClientSession::clientTimeout(const Request &request) const {
  const auto routeTimeout = listener_.routeTimeouts_[static_cast<std::size_t>(request.route)];
  return std::min(request.statement.patienceMs * kMillisecond, routeTimeout);
}

net::Task<> ClientSession::attemptRequest(Request &request) {
  auto &router = listener_.router_;
  const auto &statement = request.statement;
  auto &reply = *request.reply;
  RequestContext call(request.route, statement.key, clientTimeout(request), statement.repeat,
                      request.arrivedAt);
  auto decision = co_await router.nextAttempt(call, clientGone_);
  while (decision.action == AttemptDecision::forward) {
    const net::Deadline deadline{decision.deadline, &clientGone_};
    auto *endpoint = decision.endpoint;
    auto result = co_await listener_.pool_.attempt(*endpoint, statement, deadline, decision.sendBy,
                                                   [&] { return router.isStillCurrent(call); });
    listener_.log_.debug("attempt", {{"endpoint", endpoint->name},
                                     {"outcome", nameOf(result.outcome)},
                                     {"load_fields", result.loadValues.size()}});
    if (!result.loadValues.empty()) router.onLoadReport(call, result.loadValues);
    if (clientGone_.isCancelled()) router.onClientDisconnected(call);
    decision = router.onAttemptFinished(call, result.outcome);
    if (result.outcome != Outcome::succeeded) continue;
    reply.text = std::move(result.answer);
    reply.memory = std::move(result.memory);
  }
  if (clientGone_.isCancelled()) {
    router.onClientDisconnected(call);
    co_return;
  }
  const bool isShed = decision.action == AttemptDecision::shed;
  if (decision.action != AttemptDecision::none) {
    const auto elapsed = listener_.sched_.now() - request.arrivedAt;
    listener_.log_.debug(isShed ? "shed a request" : "failed a request",
                         {{"route", request.route}, {"after_ms", elapsed / kMillisecond}});
  }
  if (isShed)
    rejectRequest(request, "too busy; trying again is harmless", decision.retryAfter);
  else if (decision.action == AttemptDecision::fail)
    pg::addError(reply.text, {"ERROR", "XX000", "no answer could be had; it may have run"});
}

void ClientSession::rejectRequest(Request &request, std::string_view message, Nanoseconds retryAfter) {
  const auto retryAfterMs = retryAfter > 0 ? std::to_string(retryAfter / kMillisecond) : "";
  pg::addError(request.reply->text, {"ERROR", "53300", message, retryAfterMs});
}

// Its answer is complete; the request behind it is the first now. Its coroutine is still running.
void ClientSession::finishRequest(Requests::iterator self) {
  finishedRequests_.splice(finishedRequests_.end(), requests_, self);
  pg::addReady(self->reply->text);
  self->reply->isComplete = true;
  self->memory.release();
  listener_.pipeliningLimits_.leave(self->ticket);
  if (!requests_.empty()) listener_.pipeliningLimits_.onBecameFirst(requests_.front().ticket);
}

void ClientSession::eraseFinishedRequests() {
  finishedRequests_.remove_if([](const Request &request) { return request.isFinished; });
}

void ClientSession::abortConnection() {
  clientGone_.cancel();
  socket_->shutdown(); // whoever reads sees the end
}

// One coroutine writes at a time; what becomes complete meanwhile goes with its next batch.
net::Task<ClientState> ClientSession::flush() {
  if (isWriting_) co_return clientGone_.isCancelled() ? ClientState::gone : ClientState::connected;
  isWriting_ = true;
  while (replies_.mayWrite()) {
    const auto batch = replies_.takeComplete();
    if (clientGone_.isCancelled()) continue;
    beingWritten_ = &batch;
    const net::Deadline deadline{listener_.sched_.now() + kWriteTimeout, &clientGone_};
    const auto error = co_await socket_->write(batch.text, deadline);
    beingWritten_ = nullptr;
    if (error != ErrorCode::none) abortConnection();
    progressed_.notify();
  }
  isWriting_ = false;
  onAllWritten();
  progressed_.notify();
  co_return clientGone_.isCancelled() ? ClientState::gone : ClientState::connected;
}

net::Task<ClientState> ClientSession::drain() {
  auto client = co_await flush();
  while (isWriting_ || !requests_.empty()) {
    co_await listener_.sched_.wait(progressed_);
    client = co_await flush();
  }
  co_return client;
}

// With nothing in flight the connection is idle, and may be closed.
void ClientSession::onAllWritten() {
  if (!requests_.empty()) return;
  if (closeRequest_ != CloseRequest::none) requestCloseNow();
  if (isAwaitingMessage_) moveToList(ReclaimList::idle);
}

} // namespace myrtlehead::downstream
