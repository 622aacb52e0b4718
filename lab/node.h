// An emulated node: cores, a service time distribution, a bounded queue, a cold start, and faults that can be
// injected. It speaks PostgreSQL's protocol as the real nodes do and counts each request that reaches it.
#pragma once

#include "base/net/socket.h"
#include "format/pg/statement.h"

#include <deque>
#include <random>
#include <string>
#include <unordered_map>

namespace myrtlehead::lab {

using net::Nanoseconds;
constexpr Nanoseconds kMillisecond = 1'000'000;
constexpr Nanoseconds kSecond = 1'000'000'000;

// The performance of a node without faults.
struct ServiceModel {
  int cores = 64;
  Nanoseconds meanServiceTime = 20 * kMillisecond; // per request, on one core
  // Sigma of a log-normal service time distribution. 0: each request takes exactly the mean.
  double serviceTimeSigma = 0;
  int maxQueueLength = 256; // waiting requests; further requests are rejected
  Nanoseconds warmupTime = 0;
  double warmupStartFraction = 1; // fraction of its full capacity that a cold node has
  // Cold budget, as a multiple of the current capacity of a warming-up node. A node whose attempt rate
  // exceeds the budget for longer than `overloadTolerance` crashes.
  double coldBudgetMultiple = 4;
  Nanoseconds overloadTolerance = 2 * kSecond;
};

// The faults that are currently injected into a node.
struct Faults {
  bool isHanging = false;
  bool isCrashed = false;
  double slowdown = 1;   // factor on each request's service time
  double errorShare = 0; // share of the requests that are answered with an error
  double resetShare = 0; // share of the requests whose connection is closed without an answer
};

// The effects of requests at the nodes. All nodes of a fleet share one ledger.
struct EffectLedger {
  struct Effect {
    int runs = 0;                  // executions, without repeats within the idempotency window
    Nanoseconds lastAttemptAt = 0; // of an attempt with this request id, including repeats
  };
  // When an attempt last arrived, by request id, on the route whose requests may run once only.
  std::unordered_map<std::string, Nanoseconds> arrivals;
  std::unordered_map<std::string, Effect> effects; // by request id, on routes that are not idempotent
  std::unordered_map<std::string, int> runsByRow;  // by the requested row; counted if countsRunsByRow is set
  bool countsRunsByRow = false;
  Nanoseconds idempotencyWindow = kSecond;
  std::uint64_t attempts = 0;
  std::uint64_t candidateAttempts = 0; // at nodes that run the candidate build
  // Attempts at a draining node later than the time that instances have to react to a drain.
  std::uint64_t lateAttemptsToDraining = 0;
  Nanoseconds longestAfterDrain = 0; // longest time from the start of a drain to an attempt
  // For each drain that has ended: time from its start to the last attempt.
  std::vector<Nanoseconds> lastAttemptAfterDrain;
  int overloadedColdNodes = 0; // nodes that crashed because they exceeded their cold budget
};

class EmulatedNode {
public:
  EmulatedNode(net::Scheduler &sched, net::DescriptorBudget &budget, const net::Address &address,
               std::string name, int build, const ServiceModel &work, std::uint64_t seed,
               EffectLedger &ledger, bool isCold);
  ~EmulatedNode();
  EmulatedNode(const EmulatedNode &) = delete;
  EmulatedNode &operator=(const EmulatedNode &) = delete;

  const std::string &name() const { return name_; }
  net::Address address() const { return address_; }
  int build() const { return build_; }
  void crash(); // closes the listener and all connections
  // Clears all faults. After a crash the node restarts, and it is cold if the model has a warm-up time.
  void recover();
  // The start and the end of a drain, as discovery lists them.
  void onDraining(Nanoseconds now) {
    drainingSince_ = now;
    lastAttemptAfter_ = 0;
  }
  void onDrainEnded();
  Faults faults;
  bool runsCandidateBuild = false;

private:
  net::Task<> accept(std::shared_ptr<sched::CancellationToken> stop);
  net::Task<> session(std::unique_ptr<net::Socket> socket, std::shared_ptr<sched::CancellationToken> stop);
  // Runs one request on a core after the requests before it. Returns false if the connection is to be closed
  // without an answer.
  net::Task<bool> run(const pg::Statement &statement, std::string &out);
  void countAttempt();
  // Records the attempt in the ledger. Returns true for a repeat within the idempotency window, which is
  // answered without another effect.
  bool recordEffect(const pg::Statement &statement);
  double warmupFraction() const; // current fraction of the full capacity
  void crashIfOverloaded();

  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  net::Address address_;
  std::string name_;
  int build_;
  ServiceModel work_;
  EffectLedger &ledger_;
  std::knuth_b random_;
  std::unique_ptr<net::Socket> listener_;
  std::shared_ptr<sched::CancellationToken> stop_;
  Nanoseconds startedAt_ = 0;        // 0: long ago, so the node is warm
  Nanoseconds drainingSince_ = 0;    // 0: the node is not draining
  Nanoseconds lastAttemptAfter_ = 0; // time from the start of the current drain to the last attempt
  std::uint64_t admitted_ = 0;       // requests since the node was created
  std::uint64_t finished_ = 0;
  sched::Event requestFinished_;
  std::deque<Nanoseconds> recentAttempts_; // times of attempts, recorded during warm-up only
  Nanoseconds overloadedSince_ = 0;        // 0: the node is not overloaded
};

} // namespace myrtlehead::lab
