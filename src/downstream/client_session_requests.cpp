// Requests in flight on a client connection: attempted concurrently and answered in the order of their
// commands.
#include "downstream/client_session.h"

#include "policy/log_text.h"

#include <algorithm>
#include <utility>

namespace myrtlehead::downstream {

using net::ErrorCode;
using pipelining_limits::AdmissionTicket;
using pipelining_limits::RequestPosition;

namespace {

constexpr Nanoseconds kWriteTimeout = 5 * kSecond; // for the client to read a batch of answers
constexpr std::string_view kClientClosedMessage =
    "the client has closed its end of the connection; the request "
    "can be retried safely";

} // namespace

pipelining_limits::ConnectionUsage ClientSession::usage() const {
  const auto writing = beingWritten_ != nullptr ? beingWritten_->text.size() : 0;
  return {requests_.size(), replies_.byteCount() + writing, requestBytes_};
}

void ClientSession::startRequest(const pg::Statement &parsed, int route) {
  // Two open requests must not share an id, because their answers could not be told apart.
  const auto [id, isFree] = listener_.openRequestIds_.emplace(parsed.id);
  if (!isFree) return replyWithError("42710", "another request with the same id is in progress");
  OpenRequestId openId(listener_.openRequestIds_, id);
  Requests started; // joins the requests in flight once its memory is allocated
  auto &request = started.emplace_back();
  request.text = parsed.text;
  request.statement = pg::rebindStatement(parsed, request.text);
  request.route = route;
  request.arrivedAt = lastReadAt_;
  request.ticket.onAdmitted = [&request] { request.admitted.notify(); };
  request.task.emplace(serveRequest(started.begin()));
  request.reply = &replies_.addReply();
  request.reply->id = std::move(openId);
  phase_ = Phase::used;
  requestBytes_ += request.text.size();
  request.memory = std::move(memory_);
  request.memory.shrink(request.text.size());
  requests_.splice(requests_.end(), started);
  const auto position = requests_.size() == 1 ? RequestPosition::first : RequestPosition::behindOthers;
  listener_.pipeliningLimits_.requestAdmission(request.ticket, position);
  request.task->start(); // runs the coroutine up to its first wait
}

net::Task<> ClientSession::serveRequest(Requests::iterator self) {
  auto &request = *self;
  try {
    const auto admission = co_await awaitAdmission(request);
    if (admission == AdmissionResult::admitted) co_await attemptRequest(request);
  } catch (const std::exception &error) {
    reportException(error);
    failRequest(request);
  }
  finishRequest(self);
  co_await flush();
  request.isFinished = true;
}

// Waits until the request may be attempted, or rejects it at its admission deadline.
net::Task<ClientSession::AdmissionResult> ClientSession::awaitAdmission(Request &request) {
  const auto latest = pipelining_limits::admissionDeadline(request.arrivedAt, clientTimeout(request));
  const net::Deadline deadline{latest, &clientGone_};
  while (request.ticket.state == AdmissionTicket::waiting) {
    const auto woken = co_await listener_.sched_.wait(request.admitted, deadline);
    if (woken != sched::WakeReason::notified) break;
  }
  if (clientGone_.isCancelled()) {
    rejectRequest(request, kClientClosedMessage);
    co_return AdmissionResult::rejected;
  }
  if (!listener_.shutdown_.mayStartRequest(listener_.sched_.now())) {
    rejectRequest(request, "the gateway is shutting down; the request can be retried safely");
    co_return AdmissionResult::rejected;
  }
  if (request.ticket.state != AdmissionTicket::admitted) {
    rejectRequest(request, "too many concurrent requests; the request can be retried safely");
    co_return AdmissionResult::rejected;
  }
  co_return AdmissionResult::admitted;
}

Nanoseconds ClientSession::clientTimeout(const Request &request) const {
  const auto routeTimeout = listener_.routeTimeouts_[static_cast<std::size_t>(request.route)];
  return std::min(request.statement.timeoutMs * kMillisecond, routeTimeout);
}

// An answer is the first if it can be written as soon as it is complete.
RequestPosition ClientSession::positionOfAnswer(const Request &request) const {
  const bool isFirst = beingWritten_ == nullptr && replies_.isFirst(*request.reply);
  return isFirst ? RequestPosition::first : RequestPosition::behindOthers;
}

net::Task<> ClientSession::attemptRequest(Request &request) {
  auto &router = listener_.router_;
  const auto &statement = request.statement;
  auto &reply = *request.reply;
  RequestContext context(request.route, statement.rowKeyNumber, clientTimeout(request), statement.isRetry,
                         request.arrivedAt);
  auto decision = co_await router.nextAttempt(context, clientGone_);
  while (decision.action == AttemptDecision::forward) {
    auto *endpoint = decision.endpoint;
    auto result = co_await attemptOnce(request, context, decision);
    listener_.log_.debug("attempt finished", {{"endpoint", endpoint->name},
                                              {"outcome", nameOf(result.outcome)},
                                              {"load_fields", result.loadValues.size()}});
    if (!result.loadValues.empty()) router.onLoadReport(context, result.loadValues);
    if (clientGone_.isCancelled()) router.onClientDisconnected(context);
    decision = router.onAttemptFinished(context, result.outcome);
    if (result.outcome != Outcome::succeeded) continue;
    reply.text = std::move(result.answer);
    reply.memory = std::move(result.memory);
  }
  if (clientGone_.isCancelled()) {
    router.onClientDisconnected(context);
    const bool isAnswered = !reply.text.empty();
    if (!isAnswered && context.mayHaveBeenExecuted())
      failRequest(request);
    else if (!isAnswered)
      rejectRequest(request, kClientClosedMessage);
    co_return;
  }
  const bool isShed = decision.action == AttemptDecision::shed;
  if (decision.action != AttemptDecision::none) {
    const auto elapsed = listener_.sched_.now() - request.arrivedAt;
    listener_.log_.debug(isShed ? "request shed" : "request failed",
                         {{"route", request.route}, {"after_ms", elapsed / kMillisecond}});
  }
  if (isShed)
    rejectRequest(request, "overloaded or no usable endpoint; the request can be retried safely",
                  decision.retryAfter);
  else if (decision.action == AttemptDecision::fail)
    failRequest(request);
}

// Makes one attempt. An exception, as when memory can't be allocated, counts as a lost connection: the
// request may have been executed.
net::Task<upstream::AttemptResult> ClientSession::attemptOnce(Request &request, const RequestContext &context,
                                                              const AttemptDecision &decision) {
  const net::Deadline deadline{decision.deadline, &clientGone_};
  const auto isStillCurrent = [&] { return listener_.router_.isStillCurrent(context); };
  const auto memoryToLeave = [&](std::size_t capacity) {
    return pipelining_limits::answerMemoryToLeave(positionOfAnswer(request), capacity);
  };
  try {
    co_return co_await listener_.pool_.attempt(*decision.endpoint, request.statement, deadline,
                                               decision.sendBy, isStillCurrent, memoryToLeave);
  } catch (const std::exception &error) {
    reportException(error);
  }
  upstream::AttemptResult lost;
  lost.outcome = Outcome::reset;
  co_return lost;
}

void ClientSession::reportException(const std::exception &error) const {
  if (listener_.sched_.onUncaughtException) listener_.sched_.onUncaughtException(error.what());
}

void ClientSession::failRequest(Request &request) {
  request.reply->text.clear(); // a part of another answer, if it could not be completed
  pg::addError(request.reply->text,
               {"ERROR", "XX000", "no endpoint answered successfully; the request may have been executed"});
}

void ClientSession::rejectRequest(Request &request, std::string_view message, Nanoseconds retryAfter) {
  const auto retryAfterMs = retryAfter > 0 ? std::to_string(retryAfter / kMillisecond) : "";
  pg::addError(request.reply->text, {"ERROR", kRetriableSqlState, message, retryAfterMs});
}

// Completes the request's answer and makes the request behind it the first in flight. The coroutine of the
// finished request is still running, so that only the requests that have finished before are erased.
void ClientSession::finishRequest(Requests::iterator self) {
  eraseFinishedRequests();
  finishedRequests_.splice(finishedRequests_.end(), requests_, self);
  pg::addReadyForQuery(self->reply->text);
  self->reply->isComplete = true;
  self->memory.release();
  requestBytes_ -= self->text.size();
  self->statement = {};
  std::string().swap(self->text); // the client may send nothing more for a long time
  listener_.pipeliningLimits_.release(self->ticket);
  if (!requests_.empty()) listener_.pipeliningLimits_.onBecameFirst(requests_.front().ticket);
}

void ClientSession::eraseFinishedRequests() {
  finishedRequests_.remove_if([](const Request &request) { return request.isFinished; });
}

Nanoseconds ClientSession::answerMemoryReclaimableAt() const {
  if (beingWritten_ == nullptr || isAborted_) return sched::kNever;
  if (!holdsMemory(beingWritten_->replies) && !replies_.holdsMemory()) return sched::kNever;
  const auto stalledSince = std::max(batchStartedAt_, socket_->lastWriteAt());
  return message_memory::answerReclaimableAt(stalledSince, listener_.routeTimeouts_);
}

void ClientSession::abortConnection() {
  isAborted_ = true;
  clientGone_.cancel();
  socket_->shutdown(); // a pending read returns the end of the connection
}

// Only one coroutine writes at a time. Answers that are completed meanwhile are written in its next batch.
net::Task<ClientState> ClientSession::flush() {
  if (isWriting_) co_return isAborted_ ? ClientState::gone : ClientState::connected;
  isWriting_ = true;
  while (replies_.hasBytesToWrite()) {
    const auto batch = replies_.takeComplete();
    if (isAborted_) continue;
    beingWritten_ = &batch;
    batchStartedAt_ = listener_.sched_.now();
    const net::Deadline deadline{listener_.sched_.now() + kWriteTimeout, nullptr};
    const auto error = co_await socket_->write(batch.text, deadline);
    beingWritten_ = nullptr;
    if (error != ErrorCode::none) abortConnection();
    answerProgress_.notify();
    listener_.pool_.recheckAnswerMemory(); // another answer may be the first now
  }
  isWriting_ = false;
  onAllWritten();
  answerProgress_.notify();
  co_return isAborted_ ? ClientState::gone : ClientState::connected;
}

net::Task<ClientState> ClientSession::drain() {
  auto client = co_await flush();
  while (isWriting_ || !requests_.empty()) {
    co_await listener_.sched_.wait(answerProgress_);
    client = co_await flush();
  }
  co_return client;
}

// Lists the connection as one that may be closed, or closes it if that was requested, once nothing is in
// flight.
void ClientSession::onAllWritten() {
  if (!requests_.empty()) return;
  if (closeRequest_ != CloseRequest::none) requestCloseNow();
  if (readState_ != ReadState::notReading) moveToGroup(groupWhileReading());
}

} // namespace myrtlehead::downstream
