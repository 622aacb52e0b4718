// PipeliningLimits: when a connection may start another message, and which requests are admitted when
// capacity is short.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy/pipelining_limits.h"

#include <memory>
#include <random>
#include <vector>

using namespace myrtlehead::pipelining_limits;

TEST_CASE("a connection with nothing in flight may start a message unless too many answers are unwritten") {
  PipeliningLimits limits(1);
  std::vector<AdmissionTicket> waiting(10);
  for (auto &ticket : waiting) limits.requestAdmission(ticket, RequestPosition::behindOthers);
  CHECK(limits.waitingCount() == 9);
  CHECK(limits.mayStartMessage({0, 0}));
  CHECK(!limits.mayStartMessage({1, 0})); // too many requests wait for admission already
  CHECK(!limits.mayStartMessage({0, 1 << 20}));
}

TEST_CASE("the number of requests in flight on a connection is bounded") {
  const PipeliningLimits limits(100);
  CHECK(limits.mayStartMessage({16, 0}));
  std::size_t maxRequests = 0;
  while (limits.mayStartMessage({maxRequests, 0})) ++maxRequests;
  CHECK(maxRequests >= 64);
  CHECK(maxRequests <= 256);
  CHECK(!limits.mayStartMessage({16, 256 * 1024}));
  CHECK(!limits.mayStartMessage({2, 0, 256 * 1024}));
  CHECK(limits.mayStartMessage({0, 0, 256 * 1024}));
}

TEST_CASE("a request waits for admission for at most half of its client's timeout") {
  CHECK(admissionDeadline(1000, 500) == 1250);
  CHECK(admissionDeadline(1000, 0) == 1000);
}

TEST_CASE("the first request of a connection is admitted at once and those behind it in order of arrival") {
  PipeliningLimits limits(2);
  std::vector<int> admissionOrder;
  std::vector<AdmissionTicket> tickets(6);
  for (int i = 0; i < 6; ++i)
    tickets[static_cast<std::size_t>(i)].onAdmitted = [&admissionOrder, i] { admissionOrder.push_back(i); };
  limits.requestAdmission(tickets[0], RequestPosition::first);
  limits.requestAdmission(tickets[1], RequestPosition::behindOthers);
  limits.requestAdmission(tickets[2], RequestPosition::behindOthers);
  // The first request of a connection exceeds the capacity, as the number of connections is bounded
  // separately.
  limits.requestAdmission(tickets[3], RequestPosition::first);
  limits.requestAdmission(tickets[4], RequestPosition::behindOthers);
  CHECK(tickets[1].state == AdmissionTicket::admitted);
  CHECK(tickets[2].state == AdmissionTicket::waiting);
  CHECK(tickets[3].state == AdmissionTicket::admitted);
  CHECK(limits.admittedCount() == 3);
  limits.release(tickets[0]);
  CHECK(admissionOrder.empty()); // two requests are still attempted, which is the capacity
  limits.release(tickets[1]);
  CHECK(admissionOrder == std::vector<int>{2});
  limits.onBecameFirst(tickets[4]);
  CHECK(admissionOrder == std::vector<int>{2, 4});
  CHECK(limits.admittedCount() == 3);
  limits.release(tickets[3]);
  limits.release(tickets[2]);
  limits.release(tickets[4]);
  CHECK(limits.admittedCount() == 0);
  CHECK(limits.waitingCount() == 0);
}

TEST_CASE("a request that is rejected while it waits uses no capacity, and the queue keeps its order") {
  PipeliningLimits limits(1);
  std::vector<AdmissionTicket> tickets(4);
  for (auto &ticket : tickets) limits.requestAdmission(ticket, RequestPosition::behindOthers);
  limits.release(tickets[1]); // rejected while it waited
  CHECK(limits.waitingCount() == 2);
  CHECK(limits.admittedCount() == 1);
  limits.release(tickets[0]);
  CHECK(tickets[2].state == AdmissionTicket::admitted);
  CHECK(tickets[3].state == AdmissionTicket::waiting);
}

TEST_CASE("in random sequences capacity bounds all but first requests, and none waits while it is free") {
  std::mt19937 random(11);
  for (int sequence = 0; sequence < 200; ++sequence) {
    constexpr int kCapacity = 5;
    PipeliningLimits limits(kCapacity);
    std::vector<std::unique_ptr<AdmissionTicket>> tickets;
    std::vector<bool> isFirst;
    for (int step = 0; step < 300; ++step) {
      if (tickets.empty() || random() % 2 == 0) {
        tickets.push_back(std::make_unique<AdmissionTicket>());
        isFirst.push_back(random() % 4 == 0);
        limits.requestAdmission(*tickets.back(),
                                isFirst.back() ? RequestPosition::first : RequestPosition::behindOthers);
      } else {
        const auto index = random() % tickets.size();
        if (random() % 3 == 0) {
          limits.onBecameFirst(*tickets[index]);
          isFirst[index] = true;
        } else {
          limits.release(*tickets[index]);
          tickets.erase(tickets.begin() + static_cast<std::ptrdiff_t>(index));
          isFirst.erase(isFirst.begin() + static_cast<std::ptrdiff_t>(index));
        }
      }
      int admittedBehindOthers = 0, waiting = 0, admitted = 0;
      for (std::size_t i = 0; i < tickets.size(); ++i) {
        admitted += tickets[i]->state == AdmissionTicket::admitted;
        admittedBehindOthers += tickets[i]->state == AdmissionTicket::admitted && !isFirst[i];
        waiting += tickets[i]->state == AdmissionTicket::waiting;
      }
      REQUIRE(admitted == limits.admittedCount());
      REQUIRE(waiting == static_cast<int>(limits.waitingCount()));
      REQUIRE(admittedBehindOthers <= kCapacity);
      REQUIRE((waiting == 0 || admitted >= kCapacity));
    }
  }
}
