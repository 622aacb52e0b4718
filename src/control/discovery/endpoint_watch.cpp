#include "control/discovery/endpoint_watch.h"

#include "format/http/event_stream.h"

#include <algorithm>

namespace myrtlehead::discovery {

namespace {

// What the end of a call tells of discovery. `poll`: the outcome of the request; `cause`: why the call ended.
CallEnd classifyEnd(const net::Failure &poll, net::ErrorCode cause, bool hasMessage) {
  if (poll.progress == net::SendProgress::notConnected)
    return poll.cause == net::ErrorCode::refused ? CallEnd::connectionRefused : CallEnd::unreachable;
  const bool isClosed = cause == net::ErrorCode::closedByPeer || cause == net::ErrorCode::connectionLost;
  return hasMessage && isClosed ? CallEnd::watchClosed : CallEnd::rejected;
}

} // namespace

bool EndpointWatch::applyInitialList(const json::Value &known) {
  const auto reading = decodeEndpointList(known, zones_, unixAtZero_);
  const auto *list = std::get_if<EndpointListMessage>(&reading);
  if (list == nullptr) return false;
  listIndex_ = list->index;
  router_.onEndpointUpdates(list->endpoints, true);
  return true;
}

net::Task<> EndpointWatch::run() {
  for (;;) {
    co_await router_.awaitListPollDue();
    if (!calls_.empty())
      log_.info("polls discovery again while an earlier watch is open", {{"index", listIndex_}});
    startCall();
  }
}

void EndpointWatch::moveTo(net::Address at) {
  if (at == at_) return;
  at_ = at;
  ++addressVersion_;
  router_.onDiscoveryAddressChanged();
}

// Guards against a gap in the updates: a new call may get no answer, and an older one may be about to end, so
// older ones are followed until a newer one has received a message.
void EndpointWatch::startCall() {
  const auto call = std::make_shared<Call>(at_, addressVersion_);
  calls_[++lastCall_] = call;
  sched_.spawn(runCall(lastCall_, call));
}

void EndpointWatch::cancelOlderCalls(CallNumber number) {
  while (!calls_.empty() && calls_.begin()->first < number) {
    calls_.begin()->second->superseded.cancel();
    calls_.erase(calls_.begin());
  }
}

// What is still open at discovery's current address.
OtherCalls EndpointWatch::otherCalls() const {
  auto out = OtherCalls::none;
  for (const auto &[number, call] : calls_)
    if (isAtCurrentAddress(*call))
      out = std::max(out, call->hasMessage ? OtherCalls::watching : OtherCalls::unanswered);
  return out;
}

net::Task<> EndpointWatch::runCall(CallNumber number, std::shared_ptr<Call> call) {
  auto *superseded = &call->superseded;
  http_client::Exchange exchange(sched_, budget_);
  const auto target = "/catalog/members?stream=1&index=" + std::to_string(listIndex_);
  auto request = http::writeRequest("GET", target, "discovery");
  const net::Deadline pollDeadline{sched_.now() + kMaxWatchSilence, superseded};
  const auto poll = co_await exchange.sendRequest(call->at, std::move(request), pollDeadline);
  auto cause = poll.cause;
  if (cause == net::ErrorCode::none && exchange.head().status != 200) cause = net::ErrorCode::refused;
  while (cause == net::ErrorCode::none) {
    cause = handleMessages(number, *call, exchange.body);
    if (cause != net::ErrorCode::none) break;
    const net::Deadline messageDeadline{sched_.now() + kMaxWatchSilence, superseded};
    cause = co_await exchange.readMore(messageDeadline);
  }
  calls_.erase(number);
  if (superseded->isCancelled()) co_return;
  log_.info("watch on discovery ended", {{"cause", net::word(cause)}, {"status", exchange.head().status}});
  router_.onListCallEnded(classifyEnd(poll, cause, call->hasMessage), otherCalls(), calls_.empty());
}

// Takes the whole lines off `received`. An empty line is a keep-alive.
net::ErrorCode EndpointWatch::handleMessages(CallNumber number, Call &call, std::string &received) {
  std::string message;
  while (!call.superseded.isCancelled() && http::takeLine(received, message)) {
    if (!message.empty()) {
      const auto error = applyListUpdate(message);
      if (error != net::ErrorCode::none) return error;
    }
    call.hasMessage = true;
    router_.onWatchMessage(isAtCurrentAddress(call) ? MessageSource::currentAddress
                                                    : MessageSource::previousAddress);
    cancelOlderCalls(number);
  }
  return net::ErrorCode::none;
}

net::ErrorCode EndpointWatch::applyListUpdate(const std::string &message) {
  std::string why;
  if (const auto value = json::parse(message, &why)) {
    const auto reading = decodeEndpointList(*value, zones_, unixAtZero_);
    if (const auto *list = std::get_if<EndpointListMessage>(&reading)) {
      listIndex_ = list->index;
      router_.onEndpointUpdates(list->endpoints, list->isSnapshot);
      return net::ErrorCode::none;
    }
    why = describe(std::get<ListError>(reading));
  }
  log_.warning("discovery sent a line that is not an endpoint list", {{"why", why}});
  return net::ErrorCode::unreadable;
}

} // namespace myrtlehead::discovery
