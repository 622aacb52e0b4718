#include "control/rollout/rollout_client.h"

#include "policy/log_text.h"

#include <algorithm>

namespace myrtlehead::rollout {

namespace {
// The platform sends a keep-alive every second. Without one, only a new connection can tell whether the
// platform is silent or the old connection is dead.
constexpr Nanoseconds kStreamIdleTimeout = 4 * kSecond;
constexpr Nanoseconds kReopenBackoff = kSecond / 4;

// Whether a call that failed at this point may have been executed.
bool mayHaveExecuted(net::SendProgress progress) {
  return progress != net::SendProgress::notConnected && progress != net::SendProgress::partlyWritten;
}
} // namespace

RolloutClient::RolloutClient(net::Scheduler &sched, net::DescriptorBudget &budget, Router &router,
                             log::Log &log, net::Address address, std::vector<std::string> routes,
                             Nanoseconds callTimeout)
    : sched_(sched), budget_(budget), router_(router), log_(log), address_(address),
      routes_(std::move(routes)), connection_(sched, budget, address), callTimeout_(callTimeout) {
  connection_.onLateResponse = [this](const http_client::Response &late) { handleLateResponse(late); };
}

net::Task<> RolloutClient::sendVotes() {
  for (;;) {
    const auto vote = co_await router_.nextVote();
    VoteAnswer answer{VoteReply::timedOut, {}};
    try {
      answer = co_await castVote(vote);
    } catch (const std::exception &error) {
      log_.error("a vote failed", {{"what", error.what()}});
    }
    log_.debug("vote", {{"verdict", nameOf(vote.verdict)},
                        {"build", vote.build},
                        {"stage", vote.stage},
                        {"reply", nameOf(answer.reply)}});
    if (answer.state) router_.onRolloutState(*answer.state);
    router_.onVoteReply(answer.reply);
  }
}

net::Task<VoteAnswer> RolloutClient::castVote(Vote vote) {
  const net::Deadline deadline{sched_.now() + callTimeout_, nullptr};
  auto request = http::writeRequest("POST", "/", "platform", writeVoteForm(vote));
  auto response = co_await connection_.call(std::move(request), deadline);
  if (response) {
    const auto answer = readVoteAnswer(response->status, response->body);
    if (!answer) connection_.discard(); // further bytes could be taken for the answer to a later call
    co_return answer.value_or(VoteAnswer{});
  }
  const auto &failure = response.failure();
  log_.debug("call to the platform failed",
             {{"cause", net::errorName(failure.cause)}, {"progress", static_cast<int>(failure.progress)}});
  const auto reply = mayHaveExecuted(failure.progress) ? VoteReply::timedOut : VoteReply::error;
  co_return VoteAnswer{reply, {}};
}

// The vote is over, but the rollout state in its answer has been told all the same.
void RolloutClient::handleLateResponse(const http_client::Response &response) {
  const auto answer = readVoteAnswer(response.status, response.body);
  if (answer && answer->state) router_.onRolloutState(*answer->state);
}

// Opens a stream, and a further one whenever the latest one has ended or the platform has a new address.
net::Task<> RolloutClient::followEventStream() {
  for (;;) {
    const auto cancellation = std::make_shared<sched::CancellationToken>();
    openStreams_[++latestStream_] = cancellation;
    sched_.spawn(readStream(latestStream_, cancellation));
    co_await sched_.wait(streamRequested_);
  }
}

void RolloutClient::moveTo(net::Address address) {
  if (address == address_) return;
  address_ = address;
  connection_.moveTo(address);
  streamRequested_.notify();
}

void RolloutClient::cancelOlderStreams(StreamNumber number) {
  while (!openStreams_.empty() && openStreams_.begin()->first < number) {
    openStreams_.begin()->second->cancel();
    openStreams_.erase(openStreams_.begin());
  }
}

// Guards against a gap in the events: an older stream is read until a newer one has delivered the rollout
// state, which the platform sends at once on each stream. A stream is closed after its first unreadable
// event.
net::Task<> RolloutClient::readStream(StreamNumber number,
                                      std::shared_ptr<sched::CancellationToken> cancellation) {
  auto cause = net::ErrorCode::connectionLost;
  try {
    cause = co_await readEvents(number, *cancellation);
  } catch (const std::exception &error) {
    log_.error("rollout event stream failed", {{"what", error.what()}});
  }
  openStreams_.erase(number);
  const bool isLatest = number == latestStream_;
  if (!isLatest) co_return;
  log_.info("rollout event stream ended", {{"cause", net::errorName(cause)}});
  co_await sched_.sleep(kReopenBackoff);
  if (number == latestStream_) streamRequested_.notify();
}

// Returns why the stream has ended.
net::Task<net::ErrorCode> RolloutClient::readEvents(StreamNumber number,
                                                    sched::CancellationToken &cancellation) {
  http_client::Exchange exchange(sched_, budget_);
  auto request = http::writeRequest("GET", "/bulletin", "platform");
  const net::Deadline openDeadline{sched_.now() + kStreamIdleTimeout, &cancellation};
  const auto opened = co_await exchange.sendRequest(address_, std::move(request), openDeadline);
  auto cause = opened.cause;
  if (cause == net::ErrorCode::none && exchange.head().status != 200) cause = net::ErrorCode::refused;
  while (cause == net::ErrorCode::none) {
    cause = handleEvents(number, cancellation, exchange.body);
    if (cause != net::ErrorCode::none) break;
    const net::Deadline eventDeadline{sched_.now() + kStreamIdleTimeout, &cancellation};
    cause = co_await exchange.readMore(eventDeadline);
  }
  if (cancellation.isCancelled()) handleLastStates(exchange);
  co_return cause;
}

// Handles the complete events in `received` and removes them from it.
net::ErrorCode RolloutClient::handleEvents(StreamNumber number, const sched::CancellationToken &cancellation,
                                           std::string &received) {
  http::Event event;
  while (!cancellation.isCancelled()) {
    const auto taken = http::takeEvent(received, event);
    if (taken == http::EventStatus::incomplete) return net::ErrorCode::none;
    if (taken == http::EventStatus::malformed) return net::ErrorCode::unreadable;
    if (handleEvent(event) == EventResult::unreadable) return net::ErrorCode::unreadable;
    cancelOlderStreams(number);
  }
  return net::ErrorCode::none;
}

// Handles the rollout states that had arrived on a stream when a newer stream took its place. They have been
// told, and may be newer than what the newer stream tells. Reports of wrong answers are left out, because the
// newer stream may deliver them, too.
void RolloutClient::handleLastStates(http_client::Exchange &exchange) {
  exchange.readAvailable();
  http::Event event;
  while (http::takeEvent(exchange.body, event) == http::EventStatus::event)
    if (event.name == "stage" && handleEvent(event) == EventResult::unreadable) return;
}

RolloutClient::EventResult RolloutClient::handleEvent(const http::Event &event) {
  http::Fields fields;
  if (!http::parseForm(event.data, fields)) return EventResult::unreadable;
  if (event.name == "stage") return handleRolloutState(fields);
  if (event.name == "flag") return handleWrongAnswer(fields);
  // A "tally" event holds counts for other kinds of deployment, so it is ignored.
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
