#include "platform/desk.h"

#include "guard/log.h"

#include <algorithm>

namespace myrtlehead::platform {

namespace {
// A sign of life comes each second unless the platform is silent; then a new connection tells which it is.
constexpr Ns kSilence = 4 * kSec, kAgain = kSec / 4;
} // namespace

net::Task<> Desk::sendVotes() {
  for (;;) {
    const auto vote = co_await marshal_.nextVote();
    const auto answer = co_await call(voteForm(vote));
    log_.debug("vote ", word(vote.verdict), " on build ", vote.build, " stage ", vote.stage, ": ", word(answer.reply));
    if (answer.news) marshal_.news(*answer.news);
    marshal_.voteAnswered(answer.reply);
  }
}

// A connection for each call: a late answer can't be taken for the next call's.
net::Task<Answer> Desk::call(std::string form) {
  calls::Exchange exchange(sched_, budget_);
  const net::Until until{sched_.now() + callWithin_, nullptr};
  auto request = http::writeRequest("POST", "/", "platform", form);
  const auto asked = co_await exchange.ask(at_, std::move(request), until);
  if (asked.cause != net::Cause::none) {
    log_.debug("call on the platform failed: ", net::word(asked.cause), ", reach ", static_cast<int>(asked.reach));
    const bool never = asked.reach == net::Reach::unconnected || asked.reach == net::Reach::partlyWritten;
    co_return Answer{never ? Reply::error : Reply::timedOut, {}};
  }
  auto cause = net::Cause::none;
  while (cause == net::Cause::none) cause = co_await exchange.more(until);
  if (cause != net::Cause::ended) co_return Answer{};
  co_return readAnswer(exchange.head().status, exchange.body);
}

net::Task<> Desk::readBulletin() {
  for (;;) {
    const auto cause = co_await follow();
    log_.info("bulletin of the platform ended: ", net::word(cause));
    co_await sched_.sleep(kAgain);
  }
}

net::Task<net::Cause> Desk::follow() {
  calls::Exchange exchange(sched_, budget_);
  auto request = http::writeRequest("GET", "/bulletin", "platform");
  const net::Until first{sched_.now() + kSilence, nullptr};
  const auto asked = co_await exchange.ask(at_, std::move(request), first);
  auto cause = asked.cause;
  if (cause == net::Cause::none && exchange.head().status != 200) cause = net::Cause::refused;
  while (cause == net::Cause::none) {
    http::Event event;
    while (http::takeEvent(exchange.body, event)) this->event(event);
    const net::Until next{sched_.now() + kSilence, nullptr};
    cause = co_await exchange.more(next);
  }
  co_return cause;
}

void Desk::event(const http::Event &event) {
  http::Fields fields;
  const bool form = http::parseForm(event.data, fields);
  if (event.name == "stage" && form) {
    if (const auto news = readNews(fields)) return marshal_.news(*news);
  } else if (event.name == "flag" && form) {
    if (const auto flag = readFlag(fields)) {
      const auto at = std::find(routes_.begin(), routes_.end(), flag->route);
      if (at != routes_.end())
        return marshal_.flagged(flag->server, static_cast<int>(at - routes_.begin()), flag->age);
    }
  }
  log_.warning("the bulletin held an event that can't be read: ", event.name);
}

} // namespace myrtlehead::platform
