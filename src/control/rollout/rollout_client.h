// Calls on the platform: votes, on a standing connection, and the bulletin.
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
  RolloutClient(net::Scheduler &sched, net::DescriptorBudget &budget, Router &router, log::Log &log,
                net::Address at, std::vector<std::string> routes, Nanoseconds callWithin)
      : sched_(sched), budget_(budget), router_(router), log_(log), at_(at), routes_(std::move(routes)),
        line_(sched, budget, at), callWithin_(callWithin) {}

  net::Task<> sendVotes();
  net::Task<> readBulletin();
  net::Task<> keepOpen() { return line_.keepOpen(); }
  net::Task<Answer> call(std::string form);
  void moveTo(net::Address at); // news and votes come and go there at once

private:
  net::Task<> follow(std::uint64_t turn, std::shared_ptr<sched::CancellationToken> stop);
  void replaces(std::uint64_t turn);
  bool event(const http::Event &event); // false: it can't be read
  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  Router &router_;
  log::Log &log_;
  net::Address at_;
  std::vector<std::string> routes_;
  http_client::PersistentConnection line_;
  Nanoseconds callWithin_;
  std::uint64_t turn_ = 0;
  std::map<std::uint64_t, std::shared_ptr<sched::CancellationToken>> open_; // bulletins, by their turns
  sched::Event wanted_;                                                     // a bulletin
};

} // namespace myrtlehead::rollout
