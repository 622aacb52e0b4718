#include "control/rollout/rollout_client.h"

#include "policy/log_text.h"

#include <algorithm>

namespace myrtlehead::rollout {

namespace {
// The platform sends a keep-alive each second. Where none comes, only a new connection shows whether the
// platform is silent or the old connection is dead.
constexpr Nanoseconds kMaxStreamSilence = 4 * kSecond;
constexpr Nanoseconds kReopenBackoff = kSecond / 4;

// Whether a call that came so far may have been executed.
bool mayHaveExecuted(net::SendProgress progress) {
  return progress != net::SendProgress::notConnected && progress != net::SendProgress::partlyWritten;
}
} // namespace

net::Task<> RolloutClient::sendVotes() {
  for (;;) {
    const auto vote = co_await router_.nextVote();
    const auto answer = co_await castVote(writeVoteForm(vote));
    log_.debug("vote", {{"verdict", nameOf(vote.verdict)},
                        {"build", vote.build},
                        {"stage", vote.stage},
                        {"reply", nameOf(answer.reply)}});
    if (answer.state) router_.onRolloutState(*answer.state);
    router_.onVoteReply(answer.reply);
  }
}

net::Task<VoteAnswer> RolloutClient::castVote(std::string form) {
  const net::Deadline until{sched_.now() + callTimeout_, nullptr};
  auto request = http::writeRequest("POST", "/", "platform", form);
  auto response = co_await connection_.call(std::move(request), until);
  if (response) {
    const auto answer = readVoteAnswer(response->status, response->body);
    if (!answer) connection_.discard(); // whatever follows on it may belong to no call
    co_return answer.value_or(VoteAnswer{});
  }
  const auto &failure = response.failure();
  log_.debug("call to the platform failed",
             {{"cause", net::word(failure.cause)}, {"progress", static_cast<int>(failure.progress)}});
  const auto reply = mayHaveExecuted(failure.progress) ? VoteReply::timedOut : VoteReply::error;
  co_return VoteAnswer{reply, {}};
}

// Opens a stream, and another one whenever the latest has ended or the platform has moved.
net::Task<> RolloutClient::followEventStream() {
  for (;;) {
    const auto superseded = std::make_shared<sched::CancellationToken>();
    streams_[++lastStream_] = superseded;
    sched_.spawn(readStream(lastStream_, superseded));
    co_await sched_.wait(streamWanted_);
  }
}

void RolloutClient::moveTo(net::Address at) {
  if (at == at_) return;
  at_ = at;
  connection_.moveTo(at);
  streamWanted_.notify();
}

void RolloutClient::cancelOlderStreams(StreamNumber number) {
  while (!streams_.empty() && streams_.begin()->first < number) {
    streams_.begin()->second->cancel();
    streams_.erase(streams_.begin());
  }
}

// Guards against a gap in the events: an older stream is read until a newer one has sent the rollout state,
// which it does at once. After the first event that can't be read, nothing more of a stream is believed.
net::Task<> RolloutClient::readStream(StreamNumber number,
                                      std::shared_ptr<sched::CancellationToken> superseded) {
  http_client::Exchange exchange(sched_, budget_);
  auto request = http::writeRequest("GET", "/bulletin", "platform");
  const net::Deadline openDeadline{sched_.now() + kMaxStreamSilence, superseded.get()};
  const auto opened = co_await exchange.sendRequest(at_, std::move(request), openDeadline);
  auto cause = opened.cause;
  if (cause == net::ErrorCode::none && exchange.head().status != 200) cause = net::ErrorCode::refused;
  while (cause == net::ErrorCode::none) {
    cause = handleEvents(number, *superseded, exchange.body);
    if (cause != net::ErrorCode::none) break;
    const net::Deadline eventDeadline{sched_.now() + kMaxStreamSilence, superseded.get()};
    cause = co_await exchange.readMore(eventDeadline);
  }
  streams_.erase(number);
  const bool isLatest = number == lastStream_;
  if (!isLatest) co_return;
  log_.info("rollout event stream ended", {{"cause", net::word(cause)}});
  co_await sched_.sleep(kReopenBackoff);
  if (number == lastStream_) streamWanted_.notify();
}

// Takes the whole events off `received`.
net::ErrorCode RolloutClient::handleEvents(StreamNumber number, const sched::CancellationToken &superseded,
                                           std::string &received) {
  http::Event event;
  while (!superseded.isCancelled()) {
    const auto taken = http::takeEvent(received, event);
    if (taken == http::Taken::none) return net::ErrorCode::none;
    if (taken == http::Taken::unreadable) return net::ErrorCode::unreadable;
    if (handleEvent(event) == EventResult::unreadable) return net::ErrorCode::unreadable;
    cancelOlderStreams(number);
  }
  return net::ErrorCode::none;
}

RolloutClient::EventResult RolloutClient::handleEvent(const http::Event &event) {
  http::Fields fields;
  if (!http::parseForm(event.data, fields)) return EventResult::unreadable;
  if (event.name == "stage") return handleRolloutState(fields);
  if (event.name == "flag") return handleWrongAnswer(fields);
  // The counts of other deployments are of no use to this one.
  return event.name == "tally" ? EventResult::handled : EventResult::unreadable;
}

RolloutClient::EventResult RolloutClient::handleRolloutState(const http::Fields &fields) {
  const auto state = readRolloutState(fields);
  if (!state) return EventResult::unreadable;
  router_.onRolloutState(*state);
  return EventResult::handled;
}

RolloutClient::EventResult RolloutClient::handleWrongAnswer(const http::Fields &fields) {
  const auto report = readWrongAnswerReport(fields);
  if (!report) return EventResult::unreadable;
  const bool isKnownRoute = std::find(routes_.begin(), routes_.end(), report->route) != routes_.end();
  if (!isKnownRoute) return EventResult::unreadable;
  router_.onWrongAnswerReport(report->endpoint, report->age);
  return EventResult::handled;
}

} // namespace myrtlehead::rollout
