#include "control/rollout/rollout_client.h"

#include "policy/log_text.h"

#include <algorithm>

namespace myrtlehead::rollout {

namespace {
// A sign of life comes each second unless the platform is silent; then a new connection tells which it is.
constexpr Nanoseconds kSilence = 4 * kSecond, kAgain = kSecond / 4;
} // namespace

net::Task<> RolloutClient::sendVotes() {
  for (;;) {
    const auto vote = co_await router_.nextVote();
    const auto answer = co_await call(voteForm(vote));
    log_.debug("vote", {{"verdict", nameOf(vote.verdict)},
                        {"build", vote.build},
                        {"stage", vote.stage},
                        {"reply", nameOf(answer.reply)}});
    if (answer.news) router_.onRolloutState(*answer.news);
    router_.onVoteReply(answer.reply);
  }
}

net::Task<Answer> RolloutClient::call(std::string form) {
  const net::Deadline until{sched_.now() + callWithin_, nullptr};
  auto request = http::writeRequest("POST", "/", "platform", form);
  auto answered = co_await line_.call(std::move(request), until);
  if (answered) {
    const auto answer = readAnswer(answered->status, answered->body);
    if (!answer) line_.giveUp(); // what stands behind it could be anything
    co_return answer.value_or(Answer{});
  }
  const auto &failure = answered.failure();
  log_.debug("call on the platform failed",
             {{"cause", net::word(failure.cause)}, {"reach", static_cast<int>(failure.progress)}});
  const bool never = failure.progress == net::SendProgress::notConnected ||
                     failure.progress == net::SendProgress::partlyWritten;
  co_return Answer{never ? VoteReply::error : VoteReply::timedOut, {}};
}

// The first bulletin, and one more whenever the latest has ended or the platform has moved.
net::Task<> RolloutClient::readBulletin() {
  for (;;) {
    open_[++turn_] = std::make_shared<sched::CancellationToken>();
    sched_.spawn(follow(turn_, open_[turn_]));
    co_await sched_.wait(wanted_);
  }
}

void RolloutClient::moveTo(net::Address at) {
  if (at == at_) return;
  at_ = at;
  line_.moveTo(at);
  wanted_.notify();
}

void RolloutClient::replaces(std::uint64_t turn) {
  while (!open_.empty() && open_.begin()->first < turn) {
    open_.begin()->second->cancel();
    open_.erase(open_.begin());
  }
}

// Guards against a gap in the news: an older bulletin is read until a newer one has told the state, which it
// does at once. Nothing of one is believed from the first byte on that can't be read.
net::Task<> RolloutClient::follow(std::uint64_t turn, std::shared_ptr<sched::CancellationToken> stop) {
  http_client::Exchange exchange(sched_, budget_);
  auto request = http::writeRequest("GET", "/bulletin", "platform");
  const net::Deadline first{sched_.now() + kSilence, stop.get()};
  const auto asked = co_await exchange.ask(at_, std::move(request), first);
  auto cause = asked.cause;
  if (cause == net::ErrorCode::none && exchange.head().status != 200) cause = net::ErrorCode::refused;
  while (cause == net::ErrorCode::none) {
    http::Event event;
    auto taken = http::Taken::none;
    while (!stop->isCancelled() && (taken = http::takeEvent(exchange.body, event)) == http::Taken::event) {
      if (!this->event(event)) taken = http::Taken::unreadable;
      if (taken != http::Taken::event) break;
      replaces(turn);
    }
    if (taken == http::Taken::unreadable) {
      cause = net::ErrorCode::unreadable;
      break;
    }
    const net::Deadline next{sched_.now() + kSilence, stop.get()};
    cause = co_await exchange.more(next);
  }
  open_.erase(turn);
  if (turn != turn_) co_return; // replaced meanwhile
  log_.info("bulletin of the platform ended", {{"cause", net::word(cause)}});
  co_await sched_.sleep(kAgain);
  if (turn == turn_) wanted_.notify();
}

bool RolloutClient::event(const http::Event &event) {
  http::Fields fields;
  const bool form = http::parseForm(event.data, fields);
  if (event.name == "stage" && form) {
    const auto news = readRolloutState(fields);
    if (news) router_.onRolloutState(*news);
    return news.has_value();
  }
  if (event.name == "flag" && form) {
    const auto flag = readFlag(fields);
    const auto at = flag ? std::find(routes_.begin(), routes_.end(), flag->route) : routes_.end();
    if (at != routes_.end()) router_.onWrongAnswerReport(flag->server, flag->age);
    return at != routes_.end();
  }
  return event.name == "tally" && form; // other deployments' counts, which this protocol does not carry
}

} // namespace myrtlehead::rollout
