#include "control/discovery/endpoint_watch.h"

#include "format/http/event_stream.h"

#include <algorithm>

namespace myrtlehead::discovery {

using discovery_subscription::Ended;
using discovery_subscription::kOver;
using discovery_subscription::Others;

bool EndpointWatch::start(const json::Value &known) {
  std::string error;
  const auto list = readList(known, zones_, unixAtZero_, error);
  if (!list) return false;
  index_ = list->index;
  router_.onEndpointUpdates(list->entries, true);
  return true;
}

net::Task<> EndpointWatch::run() {
  for (;;) {
    co_await router_.nextListRequest();
    if (!open_.empty()) log_.info("asks discovery anew while an earlier watch stands", {{"index", index_}});
    open();
  }
}

void EndpointWatch::moveTo(net::Address at) {
  if (at == at_) return;
  at_ = at;
  ++place_;
  router_.onDiscoveryMoved();
}

// Guards against a gap in the list: an older watch, which may give no answer or be about to end, is followed
// until a newer one has told something.
void EndpointWatch::open() {
  open_[++turn_] = std::make_shared<Open>(at_, place_);
  sched_.spawn(follow(turn_, open_[turn_]));
}

void EndpointWatch::replaces(std::uint64_t turn) {
  while (!open_.empty() && open_.begin()->first < turn) {
    open_.begin()->second->replaced.cancel();
    open_.erase(open_.begin());
  }
}

discovery_subscription::Others EndpointWatch::others() const {
  auto out = discovery_subscription::Others::none;
  for (const auto &[turn, open] : open_)
    if (open->place == place_) out = std::max(out, open->told ? Others::stands : Others::asked);
  return out;
}

net::Task<> EndpointWatch::follow(std::uint64_t turn, std::shared_ptr<Open> self) {
  auto *stop = &self->replaced;
  http_client::Exchange call(sched_, budget_);
  const auto target = "/catalog/members?stream=1&index=" + std::to_string(index_);
  auto request = http::writeRequest("GET", target, "discovery");
  const net::Deadline first{sched_.now() + kOver, stop};
  const auto asked = co_await call.ask(self->at, std::move(request), first);
  auto cause = asked.cause;
  std::string line;
  if (cause == net::ErrorCode::none && call.head().status != 200) cause = net::ErrorCode::refused;
  while (cause == net::ErrorCode::none) {
    while (cause == net::ErrorCode::none && !stop->isCancelled() && http::takeLine(call.body, line)) {
      if (!line.empty() && !this->line(line)) {
        cause = net::ErrorCode::unreadable;
      } else {
        self->told = true;
        router_.onListMessage(self->place == place_);
        replaces(turn);
      }
    }
    if (cause != net::ErrorCode::none) break;
    const net::Deadline next{sched_.now() + kOver, stop};
    cause = co_await call.more(next);
  }
  open_.erase(turn);
  if (stop->isCancelled()) co_return; // replaced: a newer one tells
  log_.info("watch on discovery ended", {{"cause", net::word(cause)}, {"status", call.head().status}});
  const bool itsEnd = cause == net::ErrorCode::closedByPeer || cause == net::ErrorCode::connectionLost;
  auto how = Ended::refused;
  if (asked.progress == net::SendProgress::notConnected)
    how = asked.cause == net::ErrorCode::refused ? Ended::down : Ended::unreachable;
  else if (self->told && itsEnd)
    how = Ended::cut;
  router_.onListClosed(how, others(), open_.empty());
}

bool EndpointWatch::line(const std::string &text) {
  std::string error;
  const auto value = json::parse(text, &error);
  const auto list = value ? readList(*value, zones_, unixAtZero_, error) : std::nullopt;
  if (!list) {
    log_.warning("discovery sent a line that is no list", {{"why", error}});
    return false;
  }
  index_ = list->index;
  router_.onEndpointUpdates(list->entries, list->whole);
  return true;
}

} // namespace myrtlehead::discovery
