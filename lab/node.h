// An emulated node: cores, work of some distribution, a queue, a cold start, and troubles that can be put on
// it. It speaks PostgreSQL's protocol as nodes do, and books each request that reaches it.
#pragma once

#include "base/net/socket.h"
#include "format/pg/statement.h"

#include <deque>
#include <random>
#include <string>
#include <unordered_map>

namespace myrtlehead::lab {

using net::Nanoseconds;
constexpr Nanoseconds kMillisecond = 1'000'000, kSecond = 1'000'000'000;

// How a node works when it is well.
struct Work {
  int cores = 64;
  Nanoseconds mean = 20 * kMillisecond;
  double spread = 0; // sigma of a log-normal distribution; 0: each request takes the mean
  int queue = 256;   // requests that wait at most; more are turned away
  Nanoseconds warmupTime = 0;
  double warmupStartFraction = 1; // part of its work that a cold one can do
  double coldBudgetMultiple = 4;
  Nanoseconds fallAfter =
      2 * kSecond; // sent more than that multiple of what it can do for so long, it falls over
};

struct Trouble {
  bool hangs = false, crashed = false;
  double slow = 1;               // times the work
  double errors = 0, resets = 0; // parts of the requests
};

// What happened to requests at nodes; shared by all nodes of a fleet.
struct Ledger {
  struct Effect {
    int runs = 0; // that were not repeats inside the dedupe window
    Nanoseconds last = 0;
  };
  std::unordered_map<std::string, Effect> effects; // by id, of routes that are not retriable
  std::unordered_map<std::string, int> runsOf; // by the row asked for, of requests that ran; where it is kept
  bool keepsRuns = false;
  Nanoseconds idempotencyWindow = kSecond;
  std::uint64_t sends = 0, lateToDrained = 0, trialSends = 0;
  Nanoseconds worstAfterDrain = 0;
  std::vector<Nanoseconds>
      afterDrain; // of each drain: from its telling to the last send; filled when it is over
  int fallen = 0;
};

class EmulatedNode {
public:
  EmulatedNode(net::Scheduler &sched, net::DescriptorBudget &budget, const net::Address &at, std::string name,
               int build, const Work &work, std::uint64_t seed, Ledger &ledger, bool cold);
  ~EmulatedNode();
  EmulatedNode(const EmulatedNode &) = delete;
  EmulatedNode &operator=(const EmulatedNode &) = delete;

  const std::string &name() const { return name_; }
  net::Address address() const { return at_; }
  int build() const { return build_; }
  void crash();   // listener and connections are gone
  void recover(); // well, and cold if nodes start cold
  void drained(Nanoseconds now) { drainedAt_ = now, lastAfter_ = 0; }
  void undrained();
  Trouble trouble;
  bool onTrial = false; // its build is, by the platform
  std::uint64_t taken = 0;

private:
  net::Task<> accept(std::shared_ptr<sched::CancellationToken> stop);
  net::Task<> session(std::unique_ptr<net::Socket> socket, std::shared_ptr<sched::CancellationToken> stop);
  net::Task<bool> run(const pg::Statement &statement, std::string &out);
  void book(const pg::Statement &statement);
  bool again(const pg::Statement &statement);
  double warmth() const;
  void tip();

  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  net::Address at_;
  std::string name_;
  int build_;
  Work work_;
  Ledger &ledger_;
  std::knuth_b chance_;
  std::unique_ptr<net::Socket> listener_;
  std::shared_ptr<sched::CancellationToken> stop_;
  Nanoseconds started_ = 0; // 0: long ago
  Nanoseconds drainedAt_ = 0, lastAfter_ = 0;
  std::uint64_t next_ = 0, finished_ = 0; // requests in their order, and how many are done
  sched::Event done_;
  std::deque<Nanoseconds> lately_; // sends while cold
  Nanoseconds tooMuchSince_ = 0;
};

} // namespace myrtlehead::lab
