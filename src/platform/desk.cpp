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
    log_.debug("vote ", word(vote.verdict), " on build ", vote.build, " stage ", vote.stage, ": ",
               word(answer.reply));
    if (answer.news) marshal_.news(*answer.news);
    marshal_.voteAnswered(answer.reply);
  }
}

net::Task<Answer> Desk::call(std::string form) {
  const net::Until until{sched_.now() + callWithin_, nullptr};
  auto request = http::writeRequest("POST", "/", "platform", form);
  auto answered = co_await line_.call(std::move(request), until);
  if (answered) co_return readAnswer(answered->status, answered->body);
  const auto &failure = answered.failure();
  log_.debug("call on the platform failed: ", net::word(failure.cause), ", reach ",
             static_cast<int>(failure.reach));
  const bool never = failure.reach == net::Reach::unconnected || failure.reach == net::Reach::partlyWritten;
  co_return Answer{never ? Reply::error : Reply::timedOut, {}};
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
