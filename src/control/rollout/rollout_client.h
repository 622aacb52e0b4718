// The connections to the platform, which runs the rollout of builds. Votes are cast on a persistent
// connection. The rollout event stream, a connection of its own, delivers the rollout state of the newest
// build and reports of wrong answers.
#pragma once

#include "base/http_client/exchange.h"
#include "base/http_client/persistent_connection.h"
#include "control/rollout/codec.h"
#include "format/http/event_stream.h"
#include "router/router.h"

#include <map>

namespace myrtlehead::rollout {

class RolloutClient {
public:
  // `routes`: the names of the routes. `callTimeout`: the time limit for the answer to a vote.
  RolloutClient(net::Scheduler &sched, net::DescriptorBudget &budget, Router &router, log::Log &log,
                net::Address address, std::vector<std::string> routes, Nanoseconds callTimeout);

  // These coroutines run for the lifetime of the instance.
  net::Task<> sendVotes();
  net::Task<> followEventStream();
  net::Task<> keepConnectionOpen() { return connection_.keepOpen(); }

  // Casts one vote. VoteReply::timedOut: the vote may have been counted; VoteReply::error: it has not been.
  net::Task<VoteAnswer> castVote(Vote vote);
  // The platform has a new address, which votes and the event stream use from now on.
  void moveTo(net::Address address);

private:
  using StreamNumber = std::uint64_t;
  enum class EventResult { handled, unreadable };

  void handleLateResponse(const http_client::Response &response);
  net::Task<> readStream(StreamNumber number, std::shared_ptr<sched::CancellationToken> cancellation);
  net::Task<net::ErrorCode> readEvents(StreamNumber number, sched::CancellationToken &cancellation);
  net::ErrorCode handleEvents(StreamNumber number, const sched::CancellationToken &cancellation,
                              std::string &received);
  void handleLastStates(http_client::Exchange &exchange);
  EventResult handleEvent(const http::Event &event);
  EventResult handleRolloutState(const http::Fields &fields);
  EventResult handleWrongAnswer(const http::Fields &fields);
  void cancelOlderStreams(StreamNumber number);

  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  Router &router_;
  log::Log &log_;
  net::Address address_;
  std::vector<std::string> routes_;
  http_client::PersistentConnection connection_;
  Nanoseconds callTimeout_;
  StreamNumber latestStream_ = 0;
  std::map<StreamNumber, std::shared_ptr<sched::CancellationToken>> openStreams_;
  sched::Event streamRequested_; // notified if another stream is to be opened
};

} // namespace myrtlehead::rollout
