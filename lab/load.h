// An open-loop load generator: requests are due at their own times, whether or not earlier requests have been
// answered, and latency is measured from the due time. It records the outcome of each request.
#pragma once

#include "base/net/socket.h"
#include "lab/node.h"

#include <deque>
#include <functional>
#include <random>
#include <vector>

namespace myrtlehead::lab {

struct LoadSettings {
  double requestsPerSecond = 200;
  Nanoseconds duration = 10 * kSecond;
  int connections = 64;                           // maximum number of concurrent connections
  Nanoseconds clientTimeout = 500 * kMillisecond; // sent with each request, from when it is sent
  double writeShare = 0;                          // share of the requests that are idempotent with a key
  double onceShare = 0;                           // share of the requests that are not idempotent
};

// lost: no answer arrived, because the connection broke or the time limit passed.
enum class RequestOutcome { pending, succeeded, shed, failed, lost };
constexpr std::size_t kRequestOutcomes = 5;

struct RequestRecord {
  Nanoseconds dueAt = 0;
  Nanoseconds latency = 0; // from dueAt
  RequestOutcome outcome = RequestOutcome::pending;
  int finalAnswers = 0;
  int build = -1; // build of the node that answered; -1: unknown
};

class LoadTool {
public:
  // Calls `serverAddress` for each connection, because an instance may restart at another address. Request
  // ids begin with `idPrefix`.
  LoadTool(net::Scheduler &sched, net::DescriptorBudget &budget, std::function<net::Address()> serverAddress,
           const LoadSettings &load, std::uint64_t seed, std::string idPrefix);
  net::Task<> run(); // returns when the last request is due
  // Waits for outstanding requests for twice the client timeout plus one second. Requests without an outcome
  // are then recorded as lost.
  net::Task<> finish();
  const std::deque<RequestRecord> &requests() const { return requests_; }
  bool hasStrayAnswers() const { return hasStrayAnswers_; } // answers that arrived without a pending request

private:
  net::Task<> worker();
  // Returns false if the server is not ready before the deadline.
  net::Task<bool> handshake(net::Socket &socket, net::Buffer &buffer, net::Deadline deadline);
  // Sends one request and records its outcome. Returns false if the connection can't be used further.
  net::Task<bool> sendRequest(net::Socket &socket, net::Buffer &buffer, std::size_t number);
  std::string makeStatement(std::size_t number);

  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  std::function<net::Address()> serverAddress_;
  LoadSettings load_;
  std::knuth_b random_;
  std::string idPrefix_;
  std::deque<RequestRecord> requests_;
  std::deque<std::size_t> due_; // indices of due requests that no worker has sent yet
  sched::Event requestDue_;
  int workers_ = 0;
  int idleWorkers_ = 0;
  std::size_t pending_ = 0;
  bool hasStrayAnswers_ = false;
};

} // namespace myrtlehead::lab
