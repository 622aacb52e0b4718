// Follows discovery: one watch at a time, opened when the instance wants one.
#pragma once

#include "base/http_client/exchange.h"
#include "control/discovery/endpoint_list.h"

#include <map>

namespace myrtlehead::discovery {

class EndpointWatch {
public:
  EndpointWatch(net::Scheduler &sched, net::DescriptorBudget &budget, Router &router, log::Log &log,
                net::Address at, std::vector<std::string> zones, Nanoseconds unixAtZero)
      : sched_(sched), budget_(budget), router_(router), log_(log), at_(at), zones_(std::move(zones)),
        unixAtZero_(unixAtZero) {}

  bool start(const json::Value &known); // the list as this instance last had it; false: it is no list
  net::Task<> run();
  void moveTo(net::Address at); // asks there at once

private:
  // A call for the list and the watch that comes of it.
  struct Open {
    Open(net::Address to, std::uint64_t itsPlace) : at(to), place(itsPlace) {}
    sched::CancellationToken replaced; // a newer one has told something
    net::Address at;
    std::uint64_t place;
    bool told = false;
  };
  void open();
  net::Task<> follow(std::uint64_t turn, std::shared_ptr<Open> self);
  discovery_subscription::Others others() const;
  void replaces(std::uint64_t turn);
  bool line(const std::string &text);
  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  Router &router_;
  log::Log &log_;
  net::Address at_;
  std::vector<std::string> zones_;
  Nanoseconds unixAtZero_;
  std::uint64_t index_ = 0, turn_ = 0;
  std::uint64_t place_ = 0;                             // counts moves
  std::map<std::uint64_t, std::shared_ptr<Open>> open_; // by their turns
};

} // namespace myrtlehead::discovery
