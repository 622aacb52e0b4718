// Follows discovery: one watch at a time, opened when the marshal wants one.
#pragma once

#include "base/calls/exchange.h"
#include "follow/catalog/listing.h"

#include <map>

namespace myrtlehead::catalog {

class Watch {
public:
  Watch(net::Scheduler &sched, net::Descriptors &budget, Marshal &marshal, log::Log &log, net::Address at,
        std::vector<std::string> zones, Ns unixAtZero)
      : sched_(sched), budget_(budget), marshal_(marshal), log_(log), at_(at), zones_(std::move(zones)),
        unixAtZero_(unixAtZero) {}

  bool start(const json::Value &known); // the list as this marshal last had it; false: it is no list
  net::Task<> run();
  void moveTo(net::Address at); // asks there at once

private:
  // A call for the list and the watch that comes of it.
  struct Open {
    Open(net::Address to, std::uint64_t itsPlace) : at(to), place(itsPlace) {}
    sched::Stop replaced; // a newer one has told something
    net::Address at;
    std::uint64_t place;
    bool told = false;
  };
  void open();
  net::Task<> follow(std::uint64_t turn, std::shared_ptr<Open> self);
  subscription::Others others() const;
  void replaces(std::uint64_t turn);
  bool line(const std::string &text);
  net::Scheduler &sched_;
  net::Descriptors &budget_;
  Marshal &marshal_;
  log::Log &log_;
  net::Address at_;
  std::vector<std::string> zones_;
  Ns unixAtZero_;
  std::uint64_t index_ = 0, turn_ = 0;
  std::uint64_t place_ = 0;                             // counts moves
  std::map<std::uint64_t, std::shared_ptr<Open>> open_; // by their turns
};

} // namespace myrtlehead::catalog
