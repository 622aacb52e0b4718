// A load tool, open loop: requests fall due by their own clock, whether or not earlier ones have been
// answered, and their time counts from when they were due. Books for each the final answers that it got.
#pragma once

#include "base/net/socket.h"
#include "lab/node.h"

#include <deque>
#include <functional>
#include <random>
#include <vector>

namespace myrtlehead::lab {

struct Load {
  double perSecond = 200;
  Nanoseconds lasts = 10 * kSecond;
  int connections = 64;
  Nanoseconds patience = 500 * kMillisecond;
  double writes = 0, once = 0; // parts of the requests on the deduped and the non-retriable route
};

enum class Ended { open, completed, shed, errored, lost };

struct Booked {
  Nanoseconds due = 0, took = 0; // the latter from its due time
  Ended ended = Ended::open;
  int answers = 0; // final ones
  int build = -1;  // that answered
};

class LoadTool {
public:
  // `to`: asked for at each connection, as instances may come back at another address. Ids begin with
  // `prefix`.
  LoadTool(net::Scheduler &sched, net::DescriptorBudget &budget, std::function<net::Address()> to,
           const Load &load, std::uint64_t seed, std::string prefix);
  net::Task<> run();    // until the last request is due
  net::Task<> finish(); // until each has ended, or two patiences have passed: then it is lost
  const std::deque<Booked> &reqs() const { return reqs_; }
  bool strayAnswers() const { return stray_; } // something came that no request was waiting for

private:
  net::Task<> worker();
  net::Task<bool> ask(net::Socket &socket, net::Buffer &buffer, std::size_t number);
  std::string statement(std::size_t number);

  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  std::function<net::Address()> to_;
  Load load_;
  std::knuth_b chance_;
  std::string prefix_;
  std::deque<Booked> reqs_;
  std::deque<std::size_t> due_;
  sched::Event more_;
  int workers_ = 0, idle_ = 0;
  std::size_t open_ = 0;
  bool stray_ = false;
};

} // namespace myrtlehead::lab
