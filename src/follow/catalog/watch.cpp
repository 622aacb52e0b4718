#include "follow/catalog/watch.h"

#include <algorithm>

namespace myrtlehead::catalog {

using subscription::Ended;
using subscription::kOver;
using subscription::Others;

bool Watch::start(const json::Value &known) {
  std::string error;
  const auto list = readList(known, zones_, unixAtZero_, error);
  if (!list) return false;
  index_ = list->index;
  marshal_.listed(list->entries, true);
  return true;
}

net::Task<> Watch::run() {
  for (;;) {
    co_await marshal_.listWanted();
    if (!open_.empty()) log_.info("asks discovery anew while an earlier watch stands", {{"index", index_}});
    open();
  }
}

void Watch::moveTo(net::Address at) {
  if (at == at_) return;
  at_ = at;
  ++place_;
  marshal_.listMoved();
}

// Guards against a gap in the list: an older watch, which may give no answer or be about to end, is followed
// until a newer one has told something.
void Watch::open() {
  open_[++turn_] = std::make_shared<Open>(at_, place_);
  sched_.spawn(follow(turn_, open_[turn_]));
}

void Watch::replaces(std::uint64_t turn) {
  while (!open_.empty() && open_.begin()->first < turn) {
    open_.begin()->second->replaced.request();
    open_.erase(open_.begin());
  }
}

subscription::Others Watch::others() const {
  auto out = subscription::Others::none;
  for (const auto &[turn, open] : open_)
    if (open->place == place_) out = std::max(out, open->told ? Others::stands : Others::asked);
  return out;
}

net::Task<> Watch::follow(std::uint64_t turn, std::shared_ptr<Open> self) {
  auto *stop = &self->replaced;
  calls::Exchange call(sched_, budget_);
  const auto target = "/catalog/members?stream=1&index=" + std::to_string(index_);
  auto request = http::writeRequest("GET", target, "discovery");
  const net::Until first{sched_.now() + kOver, stop};
  const auto asked = co_await call.ask(self->at, std::move(request), first);
  auto cause = asked.cause;
  std::string line;
  if (cause == net::Cause::none && call.head().status != 200) cause = net::Cause::refused;
  while (cause == net::Cause::none) {
    while (cause == net::Cause::none && !stop->requested() && http::takeLine(call.body, line)) {
      if (!line.empty() && !this->line(line)) {
        cause = net::Cause::unreadable;
      } else {
        self->told = true;
        marshal_.listLine(self->place == place_);
        replaces(turn);
      }
    }
    if (cause != net::Cause::none) break;
    const net::Until next{sched_.now() + kOver, stop};
    cause = co_await call.more(next);
  }
  open_.erase(turn);
  if (stop->requested()) co_return; // replaced: a newer one tells
  log_.info("watch on discovery ended", {{"cause", net::word(cause)}, {"status", call.head().status}});
  const bool itsEnd = cause == net::Cause::ended || cause == net::Cause::broken;
  auto how = Ended::refused;
  if (asked.reach == net::Reach::unconnected)
    how = asked.cause == net::Cause::refused ? Ended::down : Ended::unreachable;
  else if (self->told && itsEnd)
    how = Ended::cut;
  marshal_.listEnded(how, others(), open_.empty());
}

bool Watch::line(const std::string &text) {
  std::string error;
  const auto value = json::parse(text, &error);
  const auto list = value ? readList(*value, zones_, unixAtZero_, error) : std::nullopt;
  if (!list) {
    log_.warning("discovery sent a line that is no list", {{"why", error}});
    return false;
  }
  index_ = list->index;
  marshal_.listed(list->entries, list->whole);
  return true;
}

} // namespace myrtlehead::catalog
