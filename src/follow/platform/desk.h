// Calls on the platform: votes, on a standing connection, and the bulletin.
#pragma once

#include "base/calls/exchange.h"
#include "base/calls/line.h"
#include "follow/platform/words.h"
#include "marshal/marshal.h"

#include <map>

namespace myrtlehead::platform {

class Desk {
public:
  Desk(net::Scheduler &sched, net::Descriptors &budget, Marshal &marshal, log::Log &log, net::Address at,
       std::vector<std::string> routes, Ns callWithin)
      : sched_(sched), budget_(budget), marshal_(marshal), log_(log), at_(at), routes_(std::move(routes)),
        line_(sched, budget, at), callWithin_(callWithin) {}

  net::Task<> sendVotes();
  net::Task<> readBulletin();
  net::Task<> keepOpen() { return line_.keepOpen(); }
  net::Task<Answer> call(std::string form);
  void moveTo(net::Address at); // news and votes come and go there at once

private:
  net::Task<> follow(std::uint64_t turn, std::shared_ptr<sched::Stop> stop);
  void replaces(std::uint64_t turn);
  bool event(const http::Event &event); // false: it can't be read
  net::Scheduler &sched_;
  net::Descriptors &budget_;
  Marshal &marshal_;
  log::Log &log_;
  net::Address at_;
  std::vector<std::string> routes_;
  calls::Line line_;
  Ns callWithin_;
  std::uint64_t turn_ = 0;
  std::map<std::uint64_t, std::shared_ptr<sched::Stop>> open_; // bulletins, by their turns
  sched::Signal wanted_;                                       // a bulletin
};

} // namespace myrtlehead::platform
