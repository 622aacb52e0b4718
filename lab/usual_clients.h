// Clients that ask at an even pace and behave: what they see of an instance beside a crowd.
#pragma once

#include "base/net/socket.h"
#include "lab/node.h"

#include <atomic>
#include <string>
#include <vector>

namespace myrtlehead::lab {

// What the clients have seen in one part of a play.
struct UsualTally {
  std::vector<Nanoseconds> latencies; // of answered requests
  int asked = 0;
  int rows = 0;
  int lost = 0;           // without a final answer half a second after the client's time
  std::string latestLoss; // how the latest lost request went
  Nanoseconds percentile99() const;
};

class UsualClients {
public:
  // Requests that begin before `quietUntil` are tallied apart. The clients stop when `isOver` is set.
  UsualClients(const net::Address &address, Nanoseconds quietUntil, const std::atomic<bool> &isOver)
      : address_(address), quietUntil_(quietUntil), isOver_(isOver) {}

  // Runs in a thread of its own, so that the times measured are the instance's and not the laboratory's.
  void run();
  bool hasEnded() const { return hasEnded_; }
  const UsualTally &quiet() const { return quiet_; }     // valid once run() has returned
  const UsualTally &crowded() const { return crowded_; } // the same

private:
  // How a request ended at the client, for the report.
  struct Answer {
    bool isComplete = false;
    bool hasRow = false;
    const char *failure = "";
  };
  net::Task<> client(int number);
  net::Task<Answer> ask(std::unique_ptr<net::Socket> &socket, net::Buffer &buffer, const std::string &query,
                        Nanoseconds until);
  net::Task<Answer> exchange(net::Socket &socket, net::Buffer &buffer, const std::string &message,
                             int readyCount, Nanoseconds until);

  net::Address address_;
  Nanoseconds quietUntil_;
  const std::atomic<bool> &isOver_;
  std::atomic<bool> hasEnded_ = false;
  net::Scheduler sched_;
  net::DescriptorBudget budget_{1000};
  UsualTally quiet_, crowded_;
  int running_ = 0;
  int lastId_ = 0;
};

} // namespace myrtlehead::lab
