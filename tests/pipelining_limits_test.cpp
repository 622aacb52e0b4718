// PipeliningLimits: which messages a connection may start on, and which requests are admitted when capacity
// is short.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy/pipelining_limits.h"

#include <memory>
#include <random>
#include <vector>

using namespace myrtlehead::pipelining_limits;

TEST_CASE("a connection with nothing in flight may start a message, unless its client reads nothing") {
  PipeliningLimits limits(1);
  std::vector<AdmissionTicket> waiting(10);
  for (auto &ticket : waiting) limits.enter(ticket, RequestPosition::behindOthers);
  CHECK(limits.waitingCount() == 9);
  CHECK(limits.mayStartMessage({0, 0}));
  CHECK(!limits.mayStartMessage({1, 0})); // many wait already
  CHECK(!limits.mayStartMessage({0, 1 << 20}));
}

TEST_CASE("a connection may have many requests in flight, but a bounded number") {
  const PipeliningLimits limits(100);
  CHECK(limits.mayStartMessage({16, 0}));
  std::size_t most = 0;
  while (limits.mayStartMessage({most, 0})) ++most;
  CHECK(most >= 64);
  CHECK(most <= 256);
  CHECK(!limits.mayStartMessage({16, 256 * 1024}));
}

TEST_CASE("a request waits for admission for half of its client's timeout at most") {
  CHECK(admissionDeadline(1000, 500) == 1250);
  CHECK(admissionDeadline(1000, 0) == 1000);
}

TEST_CASE("the first request of each connection is admitted at once, those behind it in their order") {
  PipeliningLimits limits(2);
  std::vector<int> order;
  std::vector<AdmissionTicket> tickets(6);
  for (int i = 0; i < 6; ++i)
    tickets[static_cast<std::size_t>(i)].onAdmitted = [&order, i] { order.push_back(i); };
  limits.enter(tickets[0], RequestPosition::first);
  limits.enter(tickets[1], RequestPosition::behindOthers);
  limits.enter(tickets[2], RequestPosition::behindOthers);
  limits.enter(tickets[3],
               RequestPosition::first); // beyond the capacity: connections are bounded by themselves
  limits.enter(tickets[4], RequestPosition::behindOthers);
  CHECK(tickets[1].state == AdmissionTicket::admitted);
  CHECK(tickets[2].state == AdmissionTicket::waiting);
  CHECK(tickets[3].state == AdmissionTicket::admitted);
  CHECK(limits.admittedCount() == 3);
  limits.leave(tickets[0]);
  CHECK(order.empty()); // two are still attempted
  limits.leave(tickets[1]);
  CHECK(order == std::vector<int>{2});
  limits.onBecameFirst(tickets[4]);
  CHECK(order == std::vector<int>{2, 4});
  CHECK(limits.admittedCount() == 3);
  limits.leave(tickets[3]);
  limits.leave(tickets[2]);
  limits.leave(tickets[4]);
  CHECK(limits.admittedCount() == 0);
  CHECK(limits.waitingCount() == 0);
}

TEST_CASE("a request that gives up waiting uses no capacity, and none overtakes those that wait") {
  PipeliningLimits limits(1);
  std::vector<AdmissionTicket> tickets(4);
  for (auto &ticket : tickets) limits.enter(ticket, RequestPosition::behindOthers);
  limits.leave(tickets[1]); // refused while it waited
  CHECK(limits.waitingCount() == 2);
  CHECK(limits.admittedCount() == 1);
  limits.leave(tickets[0]);
  CHECK(tickets[2].state == AdmissionTicket::admitted);
  CHECK(tickets[3].state == AdmissionTicket::waiting);
}

TEST_CASE("in any history capacity bounds all but first requests, and none waits while capacity is free") {
  std::mt19937 chance(11);
  for (int history = 0; history < 200; ++history) {
    constexpr int kCapacity = 5;
    PipeliningLimits limits(kCapacity);
    std::vector<std::unique_ptr<AdmissionTicket>> all;
    std::vector<bool> first;
    for (int step = 0; step < 300; ++step) {
      if (all.empty() || chance() % 2 == 0) {
        all.push_back(std::make_unique<AdmissionTicket>());
        first.push_back(chance() % 4 == 0);
        limits.enter(*all.back(), first.back() ? RequestPosition::first : RequestPosition::behindOthers);
      } else {
        const auto at = chance() % all.size();
        if (chance() % 3 == 0) {
          limits.onBecameFirst(*all[at]);
          first[at] = true;
        } else {
          limits.leave(*all[at]);
          all.erase(all.begin() + static_cast<std::ptrdiff_t>(at));
          first.erase(first.begin() + static_cast<std::ptrdiff_t>(at));
        }
      }
      int behind = 0, waiting = 0, attempted = 0;
      for (std::size_t i = 0; i < all.size(); ++i) {
        attempted += all[i]->state == AdmissionTicket::admitted;
        behind += all[i]->state == AdmissionTicket::admitted && !first[i];
        waiting += all[i]->state == AdmissionTicket::waiting;
      }
      REQUIRE(attempted == limits.admittedCount());
      REQUIRE(waiting == static_cast<int>(limits.waitingCount()));
      REQUIRE(behind <= kCapacity);
      REQUIRE((waiting == 0 || attempted >= kCapacity));
    }
  }
}
