// The connections to the platform, which runs the rollout of builds: votes are cast on a persistent
// connection, and the rollout event stream tells the state of the newest build and wrong answers.
#pragma once

#include "base/http_client/exchange.h"
#include "base/http_client/persistent_connection.h"
#include "control/rollout/codec.h"
#include "router/router.h"

#include <map>

namespace myrtlehead::rollout {

class RolloutClient {
public:
  // `routes`: the names of the routes. `callTimeout`: for a vote to be answered.
  RolloutClient(net::Scheduler &sched, net::DescriptorBudget &budget, Router &router, log::Log &log,
                net::Address at, std::vector<std::string> routes, Nanoseconds callTimeout)
      : sched_(sched), budget_(budget), router_(router), log_(log), at_(at), routes_(std::move(routes)),
        connection_(sched, budget, at), callTimeout_(callTimeout) {}

  // These run for as long as the instance.
  net::Task<> sendVotes();
  net::Task<> followEventStream();
  net::Task<> keepConnectionOpen() { return connection_.keepOpen(); }

  // Casts one vote. VoteReply::timedOut: it may have counted; VoteReply::error: it did not.
  net::Task<VoteAnswer> castVote(std::string form);
  // Votes and the event stream go to the new address at once.
  void moveTo(net::Address at);

private:
  using StreamNumber = std::uint64_t;
  enum class EventResult { handled, unreadable };

  net::Task<> readStream(StreamNumber number, std::shared_ptr<sched::CancellationToken> superseded);
  net::ErrorCode handleEvents(StreamNumber number, const sched::CancellationToken &superseded,
                              std::string &received);
  EventResult handleEvent(const http::Event &event);
  EventResult handleRolloutState(const http::Fields &fields);
  EventResult handleWrongAnswer(const http::Fields &fields);
  void cancelOlderStreams(StreamNumber number);

  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  Router &router_;
  log::Log &log_;
  net::Address at_;
  std::vector<std::string> routes_;
  http_client::PersistentConnection connection_;
  Nanoseconds callTimeout_;
  StreamNumber lastStream_ = 0;
  std::map<StreamNumber, std::shared_ptr<sched::CancellationToken>> streams_; // open ones
  sched::Event streamWanted_;
};

} // namespace myrtlehead::rollout
