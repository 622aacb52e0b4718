#include "control/discovery/endpoint_watch.h"

#include "format/http/event_stream.h"

#include <algorithm>

namespace myrtlehead::discovery {

namespace {

// Classifies the end of a call. `poll`: the result of sending the request. `cause`: why the call ended.
// `isAnswered`: the watch was opened.
CallEnd classifyEnd(const net::Failure &poll, net::ErrorCode cause, bool isAnswered,
                    bool hasReceivedMessage) {
  if (poll.progress == net::SendProgress::notConnected)
    return poll.cause == net::ErrorCode::refused ? CallEnd::connectionRefused : CallEnd::unreachable;
  const bool isClosed = cause == net::ErrorCode::closedByPeer || cause == net::ErrorCode::connectionLost;
  if (isAnswered && cause == net::ErrorCode::timedOut) return CallEnd::watchSilent;
  return hasReceivedMessage && isClosed ? CallEnd::watchClosed : CallEnd::rejected;
}

} // namespace

bool EndpointWatch::applyInitialList(const json::Value &initialList) {
  const auto decoded = decodeEndpointList(initialList, zones_, unixAtZero_);
  const auto *list = std::get_if<EndpointListMessage>(&decoded);
  if (list == nullptr) return false;
  listIndex_ = list->index;
  router_.onEndpointUpdates(list->endpoints, true);
  return true;
}

net::Task<> EndpointWatch::run() {
  for (;;) {
    co_await router_.awaitListPollDue();
    if (!calls_.empty())
      log_.info("polling discovery again while an earlier watch is still open", {{"index", listIndex_}});
    startCall();
  }
}

void EndpointWatch::moveTo(net::Address address) {
  if (address == address_) return;
  address_ = address;
  ++addressVersion_;
  router_.onDiscoveryAddressChanged();
}

// Earlier calls stay open until a newer one has received a message, so that there is no gap in the updates:
// the new call may get no answer, and any of the earlier ones may be about to end.
void EndpointWatch::startCall() {
  const auto call = std::make_shared<Call>(address_, addressVersion_);
  calls_[++lastCallNumber_] = call;
  sched_.spawn(runCall(lastCallNumber_, call));
}

void EndpointWatch::cancelOlderCalls(CallNumber number) {
  while (!calls_.empty() && calls_.begin()->first < number) {
    calls_.begin()->second->superseded.cancel();
    calls_.erase(calls_.begin());
  }
}

// Returns which calls are still open at discovery's current address.
OtherCalls EndpointWatch::otherCalls() const {
  auto out = OtherCalls::none;
  for (const auto &[number, call] : calls_)
    if (isAtCurrentAddress(*call))
      out = std::max(out, call->hasReceivedMessage ? OtherCalls::watching : OtherCalls::unanswered);
  return out;
}

net::Task<> EndpointWatch::runCall(CallNumber number, std::shared_ptr<Call> call) {
  auto *superseded = &call->superseded;
  http_client::Exchange exchange(sched_, budget_);
  call->requestedIndex = listIndex_;
  const auto target = "/catalog/members?stream=1&index=" + std::to_string(call->requestedIndex);
  auto request = http::writeRequest("GET", target, "discovery");
  const net::Deadline pollDeadline{sched_.now() + kPollTimeout, superseded};
  const auto poll = co_await exchange.sendRequest(call->address, std::move(request), pollDeadline);
  auto cause = poll.cause;
  if (cause == net::ErrorCode::none && exchange.head().status != 200) cause = net::ErrorCode::refused;
  const bool isAnswered = cause == net::ErrorCode::none;
  Nanoseconds lastReadAt = sched_.now();
  while (cause == net::ErrorCode::none) {
    cause = handleMessages(number, *call, exchange.body);
    if (cause != net::ErrorCode::none) break;
    const net::Deadline messageDeadline{sched_.now() + kMaxWatchSilence, superseded};
    cause = co_await exchange.readMore(messageDeadline);
    if (cause == net::ErrorCode::none) lastReadAt = sched_.now();
  }
  calls_.erase(number);
  if (superseded->isCancelled()) co_return;
  log_.info("watch on discovery ended",
            {{"cause", net::errorName(cause)}, {"status", exchange.head().status}});
  const auto end = classifyEnd(poll, cause, isAnswered, call->hasReceivedMessage);
  const Nanoseconds silence = isAnswered ? sched_.now() - lastReadAt : 0;
  router_.onListCallEnded({end, silence}, otherCalls(), calls_.empty());
}

// Handles and removes the complete lines at the start of `received`. An empty line is a keep-alive.
net::ErrorCode EndpointWatch::handleMessages(CallNumber number, Call &call, std::string &received) {
  std::string message;
  while (!call.superseded.isCancelled() && http::takeLine(received, message)) {
    if (!message.empty()) {
      const auto error = applyListUpdate(call, message);
      if (error != net::ErrorCode::none) return error;
    }
    call.hasReceivedMessage = true;
    router_.onWatchMessage(isAtCurrentAddress(call) ? MessageSource::currentAddress
                                                    : MessageSource::previousAddress);
    cancelOlderCalls(number);
  }
  return net::ErrorCode::none;
}

// A newer version may have arrived on another watch while this message was on its way. An index below the one
// that the poll named is not outdated: discovery has lost its state and counts anew.
bool EndpointWatch::isOutdated(const Call &call, const EndpointListMessage &list) const {
  return list.index < listIndex_ && list.index >= call.requestedIndex;
}

net::ErrorCode EndpointWatch::applyListUpdate(const Call &call, const std::string &message) {
  std::string problem;
  if (const auto value = json::parse(message, &problem)) {
    const auto decoded = decodeEndpointList(*value, zones_, unixAtZero_);
    if (const auto *list = std::get_if<EndpointListMessage>(&decoded)) {
      if (isOutdated(call, *list)) return net::ErrorCode::none;
      listIndex_ = list->index;
      router_.onEndpointUpdates(list->endpoints, list->isSnapshot);
      return net::ErrorCode::none;
    }
    problem = describe(std::get<ListError>(decoded));
  }
  log_.warning("discovery sent a line that is not a valid endpoint list; closing the watch",
               {{"why", problem}});
  return net::ErrorCode::unreadable;
}

} // namespace myrtlehead::discovery
