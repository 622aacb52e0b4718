// The end of an instance and of its clients' connections, in the orders that are rare: each is made to happen
// every time, by holding the scheduler's round back until the other side has come to the point.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "raw_client.h"

#include <ctime>

using namespace myrtlehead;

namespace {

constexpr Nanoseconds kTaken = 500 * kMillisecond; // from the wish to end: so long all is taken as before

// A house whose door is asked to end at once, and whose scheduler halts as soon as it has ended, as the
// program's.
struct Ending : House {
  using House::House;
  void run() {
    begun = loop.sched.now();
    loop.run(door.close());
    took = loop.sched.now() - begun;
  }
  // Runs `act` that long after the wish to end, before whatever else is due then.
  void at(Nanoseconds time, std::function<void()> act) { loop.sched.spawn(later(time, std::move(act))); }
  // Holds all else back from one time to another: what comes meanwhile is met in one round.
  void holdBack(Nanoseconds from, Nanoseconds to) {
    at(from, [this, until = loop.sched.now() + to] {
      timespec t{};
      do clock_gettime(CLOCK_MONOTONIC, &t);
      while (t.tv_sec * kSecond + t.tv_nsec < until);
    });
  }
  Nanoseconds begun = 0, took = 0;

private:
  sched::Task<> later(Nanoseconds time, std::function<void()> act) {
    co_await loop.sched.sleep(time);
    act();
  }
};

} // namespace

// Accepted in the round in which the door closes: its session has not run yet.
TEST_CASE("a session that has not begun is ended in order") {
  Ending house;
  std::unique_ptr<Raw> client;
  house.at(kTaken - 150 * kMillisecond, [&] {
    client = std::make_unique<Raw>(house.door.address());
    client->write(opening() + ask(1));
  });
  house.holdBack(kTaken - 150 * kMillisecond, kTaken + 20 * kMillisecond);
  house.run();
  REQUIRE(client->all() == "RZTDCZ");
}

// Written and accepted by the machine, and not by this instance, when the door closes.
TEST_CASE("the backlog is answered") {
  Ending house;
  std::vector<std::unique_ptr<Raw>> clients;
  house.holdBack(kTaken - 150 * kMillisecond, kTaken + 20 * kMillisecond);
  house.at(kTaken - 5 * kMillisecond, [&] { // in that round, right before the door
    for (int i = 0; i < 50; ++i) {
      clients.push_back(std::make_unique<Raw>(house.door.address()));
      clients.back()->write(opening() + ask(i));
    }
  });
  house.run();
  for (const auto &client : clients) REQUIRE(client->all() == "RZTDCZ");
}

// All descriptors are with requests in hand, so nobody accepts; who waits in the backlog is told in time.
TEST_CASE("the backlog is told where descriptors are short") {
  Ending house(StandIn::row("value"), 300 * kMillisecond, 24);
  std::vector<std::unique_ptr<Raw>> clients;
  house.at(kTaken - 200 * kMillisecond, [&] {
    for (int i = 0; i < 40; ++i) {
      clients.push_back(std::make_unique<Raw>(house.door.address()));
      clients.back()->write(opening() + ask(i));
    }
  });
  for (Nanoseconds t = kTaken; t < kTaken + 200 * kMillisecond; t += 2 * kMillisecond)
    house.at(t, [&] {
      for (const auto &client : clients) client->follow();
    });
  house.run();
  int served = 0;
  for (const auto &client : clients) {
    std::string codes;
    const auto got = client->all(&codes);
    served += got == "RZTDCZ";
    REQUIRE((got == "RZTDCZ" || codes == "53300 "));
  }
  REQUIRE(served > 0); // how many is the overload's matter: one endpoint, and each request takes 300 ms
}

// A connection that came last has its startup message still on the way.
TEST_CASE("a new connection may still say") {
  Ending house;
  std::unique_ptr<Raw> said, asked, silent;
  house.at(kTaken - 80 * kMillisecond, [&] {
    said = std::make_unique<Raw>(house.door.address());
    asked = std::make_unique<Raw>(house.door.address());
    silent = std::make_unique<Raw>(house.door.address());
    asked->write(opening());
  });
  house.at(kTaken + 20 * kMillisecond, [&] {
    said->write(opening() + ask(1));
    asked->write(ask(2));
  });
  house.run();
  REQUIRE(said->all() == "RZTDCZ");
  REQUIRE(asked->all() == "RZTDCZ");
  REQUIRE(silent->all().empty());
}

// Behind one in hand: all are attempted beside it, and answered in order before the end.
TEST_CASE("what is pipelined is answered in order") {
  Ending house(StandIn::row("value"), 300 * kMillisecond);
  Raw client(house.door.address());
  client.write(opening());
  house.at(kTaken - 50 * kMillisecond, [&] { client.write(ask(1) + ask(2, "once") + ask(3)); });
  house.run();
  std::string codes;
  REQUIRE(client.all(&codes) == "RZTDCZTDCZTDCZ");
  REQUIRE(codes.empty());
  REQUIRE(house.seen.size() == 3);
  REQUIRE(house.took < 2 * kSecond + kTaken);
}

// Twelve descriptors leave four places: what gets none in time is told, in its turn, that trying again is
// harmless, and is never sent; none is passed over.
TEST_CASE("what is pipelined is told in order") {
  Ending house(StandIn::row("value"), 300 * kMillisecond, 12);
  Raw client(house.door.address());
  client.write(opening());
  house.at(kTaken - 50 * kMillisecond,
           [&] { client.write(ask(1) + ask(2, "once") + ask(3) + ask(4) + ask(5, "once") + ask(6)); });
  house.run();
  std::string codes;
  REQUIRE(client.all(&codes) == "RZTDCZTDCZTDCZTDCZEZEZ");
  REQUIRE(codes == "53300 53300 ");
  REQUIRE(house.seen.size() == 4);
  REQUIRE(house.took < 2 * kSecond + kTaken);
}

// A client that always has a further request can't keep the instance from its end; what was read is answered.
TEST_CASE("a client that goes on is ended") {
  Ending house;
  Raw client(house.door.address());
  client.write(opening());
  int id = 0;
  for (Nanoseconds t = kMillisecond; t < 2 * kSecond; t += kMillisecond)
    house.at(t, [&] { client.write(ask(++id)); });
  house.run();
  REQUIRE(house.took < kTaken + 1500 * kMillisecond);
  auto got = client.all();
  REQUIRE(got.substr(0, 2) == "RZ");
  if (got.back() == '!') got.pop_back(); // what crossed our end is unread, long after it
  for (got = got.substr(2); !got.empty(); got = got.substr(4)) REQUIRE(got.substr(0, 4) == "TDCZ");
}

// The rest of a message that has begun is waited for, a while.
TEST_CASE("half a message is waited for a while") {
  Ending house;
  Raw whole(house.door.address()), half(house.door.address());
  whole.write(opening()), half.write(opening());
  const auto bytes = ask(1);
  house.at(kTaken - 100 * kMillisecond,
           [&] { whole.write(bytes.substr(0, 9)), half.write(bytes.substr(0, 9)); });
  house.at(kTaken + 20 * kMillisecond, [&] { whole.write(bytes.substr(9)); });
  house.run();
  REQUIRE(whole.all() == "RZTDCZ");
  REQUIRE(half.all() == "RZ");
  REQUIRE(house.took < kTaken + 1500 * kMillisecond);
}

// What crosses our end is not read, and resets nothing before the client has seen what was said last.
TEST_CASE("what crosses the end resets nothing") {
  Ending house;
  Raw client(house.door.address());
  client.write(opening() + ask(1));
  bool ended = false;
  std::string got;
  house.at(kTaken + 200 * kMillisecond,
           [&] { client.write(ask(2)); }); // into our end, which it has not read yet
  house.at(kTaken + 300 * kMillisecond, [&] { got = client.all(), ended = true; });
  house.run();
  REQUIRE(ended);
  REQUIRE(got == "RZTDCZ");
  REQUIRE(house.seen.size() == 1);
  REQUIRE(house.took < kTaken + 900 * kMillisecond); // it ends as the client does, not a second after
}

// One that is taken back for want of descriptors frees its own at once, whatever its client does, and has had
// its answer.
TEST_CASE("a connection taken back goes at once") {
  House house(StandIn::row("value"), 0, 12);
  auto body = [&]() -> sched::Task<> {
    Raw first(house.door.address());
    first.write(opening() + ask(1));
    co_await house.loop.sched.sleep(2100 * kMillisecond);
    std::vector<std::unique_ptr<Raw>> others;
    for (int i = 0; i < 5; ++i) others.push_back(std::make_unique<Raw>(house.door.address()));
    for (int i = 0; i < 50 && house.budget.available() != 12 - 1 - 5; ++i)
      co_await house.loop.sched.sleep(10 * kMillisecond);
    REQUIRE(house.budget.available() == 12 - 1 - 5); // the listener's and the others'
    const auto got = first.all();
    REQUIRE(got == "RZTDCZ");
  };
  house.loop.run(body());
}
