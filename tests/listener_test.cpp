// The clients' side: whom the door keeps, closes or turns away, and what it does not read.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "raw_client.h"

using namespace myrtlehead;

// With two descriptors for clients, a third and a fourth take the places of those that have been idle the
// longest, if that has lasted for two seconds.
TEST_CASE("idle clients make room") {
  House house(StandIn::row("value"), 0, 5);
  auto body = [&]() -> sched::Task<> {
    std::vector<std::unique_ptr<net::Socket>> clients;
    std::vector<net::Buffer> buffers(4);
    const auto start = opening();
    const auto used = start + query("SELECT 1");
    for (std::size_t i = 0; i < 4; ++i) {
      if (i == 2) co_await house.loop.sched.sleep(2010 * kMillisecond);
      clients.push_back(co_await house.connect());
      co_await clients[i]->write(used, {});
      const auto messages = co_await types(*clients[i], buffers[i], 2);
      REQUIRE(messages == "RZTDCZ");
    }
    const auto result = co_await clients[0]->read(buffers[0], {});
    REQUIRE(result == net::ErrorCode::closedByPeer);
    const auto ask = query(kSql);
    co_await clients[3]->write(ask, {});
    const auto messages2 = co_await types(*clients[3], buffers[3], 1);
    REQUIRE(messages2 == "TDCZ");
  };
  house.loop.run(body());
}

// Whoever says nothing, or half of something, is told or closed within three seconds of connecting.
TEST_CASE("the silent are closed soon") {
  House house;
  auto body = [&]() -> sched::Task<> {
    const std::string half("\0\0\0\60", 4), command("Q\0\0\0\60SELECT", 11);
    int over = 0, told = 0;
    auto client = [&](std::string bytes) -> sched::Task<> {
      auto socket = co_await house.connect();
      co_await socket->write(bytes, {});
      net::Buffer b;
      std::string code;
      co_await types(*socket, b, 99, &code);
      told += code == "08P01";
      ++over;
    };
    const auto begun = house.loop.sched.now();
    const std::vector<std::string> all{"", half, opening(), opening() + command};
    for (const auto &bytes : all) house.loop.sched.spawn(client(bytes));
    while (over < 4) co_await house.loop.sched.sleep(10 * kMillisecond);
    REQUIRE(house.loop.sched.now() - begun < 3 * kSecond);
    REQUIRE(told == 1);
  };
  house.loop.run(body());
}

// Connections that say nothing, or have nothing to ask just now, go for those that ask rather than these are
// refused; the silent ones, as they may only be slow, not at once.
TEST_CASE("who asks is not kept out") {
  for (const auto &first : {std::string(), opening() + query("SELECT 1")}) {
    House house(StandIn::row("value"), 0, 40);
    auto body = [&]() -> sched::Task<> {
      std::vector<std::unique_ptr<net::Socket>> others;
      for (int i = 0; i < 28; ++i) {
        others.push_back(co_await house.connect());
        co_await others.back()->write(first, {});
      }
      co_await house.loop.sched.sleep(300 * kMillisecond);
      for (int i = 0; i < 20; ++i) {
        auto client = co_await house.connect();
        const auto bytes = opening() + query(kSql);
        co_await client->write(bytes, {});
        net::Buffer b;
        const auto messages = co_await types(*client, b, 2);
        REQUIRE(messages == "RZTDCZ");
      }
    };
    house.loop.run(body());
  }
}

// A thousand that say nothing, half a startup message, an id that is open, or the head of a large message: a
// client that is served goes on being served, sending a request once more where its connection was closed
// between requests or it was refused; and who comes new is told within its time.
TEST_CASE("a flood keeps nobody from being served") {
  House house(StandIn::row("value"), 5 * kMillisecond, 120);
  auto body = [&]() -> sched::Task<> {
    const auto start = opening();
    auto served = co_await house.connect();
    co_await served->write(start, {});
    net::Buffer b;
    const auto messages = co_await types(*served, b, 1);
    REQUIRE(messages == "RZ");
    int anew = 0;
    const std::string large("Q\0\3\0\0SELECT", 11);
    const std::vector<std::string> kinds{"", start.substr(0, 9), start + ask(0), start + large};
    std::vector<std::unique_ptr<Raw>> flood;
    int id = 0, told = 0;
    for (int i = 0; i < 1000; ++i) {
      flood.push_back(std::make_unique<Raw>(house.door.address()));
      flood.back()->write(kinds[static_cast<std::size_t>(i) % kinds.size()]);
      if (i % 25 != 0) continue;
      const auto sql = ask(++id);
      co_await served->write(sql, {});
      auto answer = co_await types(*served, b, 1);
      while (answer != "TDCZ" && ++anew < 10) {
        co_await house.loop.sched.sleep(20 * kMillisecond); // refused is tried again, after a pause
        served = co_await house.connect();
        b = net::Buffer();
        const auto again = start + ask(++id);
        co_await served->write(again, {});
        answer = co_await types(*served, b, 2);
        answer.erase(0, std::min<std::size_t>(answer.size(), 2));
      }
      REQUIRE(answer == "TDCZ");
      if (i % 250 != 0) continue;
      const auto begun = house.loop.sched.now();
      auto late = co_await house.connect();
      const auto bytes = start + ask(++id);
      co_await late->write(bytes, {});
      net::Buffer c;
      std::string code;
      const auto got = co_await types(*late, c, 2, &code);
      told += got == "RZTDCZ" || code == "53300";
      REQUIRE(house.loop.sched.now() - begun < 2 * kSecond); // as long as it waits
    }
    REQUIRE(told == 4);
    REQUIRE(anew < 10);
  };
  house.loop.run(body());
}

TEST_CASE("an open id is not taken twice") {
  House house(StandIn::row("value"), 50 * kMillisecond);
  auto body = [&]() -> sched::Task<> {
    auto first = co_await house.connect(), second = co_await house.connect();
    const auto bytes = opening() + query(kSql);
    net::Buffer a, b;
    std::string code;
    co_await first->write(bytes, {});
    while (house.seen.empty()) co_await house.loop.sched.sleep(kMillisecond);
    co_await second->write(bytes, {});
    const auto messages = co_await types(*second, b, 2, &code);
    REQUIRE(messages == "RZEZ");
    REQUIRE(code == "42710");
    REQUIRE(house.seen.size() == 1);
    const auto messages2 = co_await types(*first, a, 2);
    REQUIRE(messages2 == "RZTDCZ");
    const auto again = query(kSql); // it is free again
    co_await second->write(again, {});
    const auto messages3 = co_await types(*second, b, 1);
    REQUIRE(messages3 == "TDCZ");
  };
  house.loop.run(body());
}

// Hundreds of commands that can't be used are answered in their order, with a line or two in the log, and
// others are served meanwhile.
TEST_CASE("the wrong by the hundreds cost little") {
  House house;
  std::string many = opening(), answers = "RZ";
  for (int i = 0; i < 600; ++i) {
    many += query("SELECT v FROM records WHERE k = '7f' /* id=1,c=odd,d=5 */");
    answers += "EZ";
  }
  many += query(kSql);
  REQUIRE(reply(house, many, 602) == answers + "TDCZ");
  const auto lines = house.loop.lines.str();
  std::size_t said = 0;
  for (auto at = lines.find("warning"); at != lines.npos; at = lines.find("warning", at + 1)) ++said;
  REQUIRE(said >= 1);
  REQUIRE(said <= 2);
}

// A client that announces 60 MB and sends at full speed is told so, and the rest is not read.
TEST_CASE("the huge is not read") {
  House house;
  auto body = [&]() -> sched::Task<> {
    auto client = co_await house.connect();
    auto flood = [&]() -> sched::Task<> {
      const auto bytes = opening() + std::string("Q\3\x93\x87\0", 5);
      co_await client->write(bytes, {});
      const std::string more(1 << 20, 'x');
      auto cause = net::ErrorCode::none;
      for (int i = 0; i < 60 && cause == net::ErrorCode::none; ++i) cause = co_await client->write(more, {});
    };
    house.loop.sched.spawn(flood());
    net::Buffer b;
    std::string code;
    const auto messages = co_await types(*client, b, 2, &code);
    REQUIRE(messages == "RZE!");
    REQUIRE(code == "08P01");
    REQUIRE((client->bytesWritten() < 20u << 20));
    auto other = co_await house.connect();
    const auto bytes = opening() + query(kSql);
    co_await other->write(bytes, {});
    net::Buffer c;
    const auto messages2 = co_await types(*other, c, 2);
    REQUIRE(messages2 == "RZTDCZ");
  };
  house.loop.run(body());
}

// Large messages are read as far as there are places for them; the others wait for those to be answered.
TEST_CASE("large messages wait for a place") {
  House house(StandIn::row("value"), 20 * kMillisecond);
  auto body = [&]() -> sched::Task<> {
    const auto large = [](std::size_t id) {
      return query("SELECT v FROM records WHERE k = '" + std::string(200'000, 'x') +
                   "' /* id=" + std::to_string(id) + ",c=read,d=900 */");
    };
    const auto start = opening();
    std::vector<std::unique_ptr<net::Socket>> clients;
    std::vector<net::Buffer> buffers(8);
    for (auto &buffer : buffers) {
      clients.push_back(co_await house.connect());
      co_await clients.back()->write(start, {});
      const auto messages = co_await types(*clients.back(), buffer, 1);
      REQUIRE(messages == "RZ");
    }
    auto send = [&](std::size_t i) -> sched::Task<> {
      const auto bytes = large(i);
      co_await clients[i]->write(bytes, {});
    };
    for (std::size_t i = 0; i < clients.size(); ++i) house.loop.sched.spawn(send(i));
    co_await house.loop.sched.sleep(10 * kMillisecond);
    REQUIRE(house.seen.size() <= 5); // of 200 KB each, where there is place for a megabyte
    for (std::size_t i = 0; i < clients.size(); ++i) {
      const auto messages2 = co_await types(*clients[i], buffers[i], 1);
      REQUIRE(messages2 == "TDCZ");
    }
    REQUIRE(house.seen.size() == 8);
  };
  house.loop.run(body());
}

// With every client's request in hand, a new connection is refused at once rather than left in the backlog.
TEST_CASE("no room is said at once") {
  House house(StandIn::row("value"), 100 * kMillisecond, 24);
  auto body = [&]() -> sched::Task<> {
    std::vector<std::unique_ptr<net::Socket>> clients;
    std::vector<net::Buffer> buffers(20);
    for (std::size_t i = 0; i < buffers.size(); ++i) {
      auto sql = kSql;
      const auto bytes = opening() + query(sql.replace(sql.find("id=1"), 4, "id=" + std::to_string(i)));
      clients.push_back(co_await house.connect());
      co_await clients[i]->write(bytes, {});
      co_await house.loop.sched.sleep(kMillisecond);
    }
    int served = 0, refused = 0;
    for (std::size_t i = 0; i < buffers.size(); ++i) {
      std::string code;
      const auto seen = co_await types(*clients[i], buffers[i], 2, &code);
      served += seen == "RZTDCZ";
      refused += seen == "RZE!" && code == "53300";
    }
    REQUIRE(served + refused == 20);
    REQUIRE(served >= 15);
    REQUIRE(refused > 0);
  };
  house.loop.run(body());
}
