// Follows discovery: one watch at a time, opened when the marshal wants one.
#pragma once

#include "calls/exchange.h"
#include "catalog/listing.h"

namespace myrtlehead::catalog {

class Watch {
public:
  Watch(net::Scheduler &sched, net::Descriptors &budget, Marshal &marshal, log::Log &log, net::Address at,
        std::vector<std::string> zones, Ns unixAtZero)
      : sched_(sched), budget_(budget), marshal_(marshal), log_(log), at_(at), zones_(std::move(zones)),
        unixAtZero_(unixAtZero) {}

  bool start(const json::Value &known); // the list as this marshal last had it; false: it is no list
  net::Task<> run();

private:
  net::Task<> follow(std::uint64_t turn, std::shared_ptr<sched::Stop> stop);
  bool line(const std::string &text);
  net::Scheduler &sched_;
  net::Descriptors &budget_;
  Marshal &marshal_;
  log::Log &log_;
  net::Address at_;
  std::vector<std::string> zones_;
  Ns unixAtZero_;
  std::uint64_t index_ = 0, turn_ = 0;
};

} // namespace myrtlehead::catalog
