// Listener: which connections it keeps, closes or rejects, and what it does not read.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "raw_client.h"

using namespace myrtlehead;

// With two descriptors for clients, a third and a fourth connection replace those that have been idle the
// longest, if that has lasted for two seconds.
TEST_CASE("idle connections are closed for new ones") {
  FixedAnswerProxy proxy(StandIn::row("value"), 0, 5);
  auto body = [&]() -> sched::Task<> {
    std::vector<std::unique_ptr<net::Socket>> clients;
    std::vector<net::Buffer> buffers(4);
    const auto start = startupMessage();
    const auto used = start + queryMessage("SELECT 1");
    for (std::size_t i = 0; i < 4; ++i) {
      if (i == 2) co_await proxy.loop.sched.sleep(2010 * kMillisecond);
      clients.push_back(co_await proxy.connect());
      co_await clients[i]->write(used, {});
      const auto messages = co_await readMessageTypes(*clients[i], buffers[i], 2);
      REQUIRE(messages == "RZTDCZ");
    }
    const auto result = co_await clients[0]->read(buffers[0], {});
    REQUIRE(result == net::ErrorCode::closedByPeer);
    const auto ask = queryMessage(kStatement);
    co_await clients[3]->write(ask, {});
    const auto messages2 = co_await readMessageTypes(*clients[3], buffers[3], 1);
    REQUIRE(messages2 == "TDCZ");
  };
  proxy.loop.run(body());
}

// A client that sends nothing, or half a message, gets an error or is closed within three seconds of
// connecting.
TEST_CASE("silent connections are closed soon") {
  FixedAnswerProxy proxy;
  auto body = [&]() -> sched::Task<> {
    const std::string half("\0\0\0\60", 4), command("Q\0\0\0\60SELECT", 11);
    int over = 0, told = 0;
    auto client = [&](std::string bytes) -> sched::Task<> {
      auto socket = co_await proxy.connect();
      co_await socket->write(bytes, {});
      net::Buffer b;
      std::string code;
      co_await readMessageTypes(*socket, b, 99, &code);
      told += code == "08P01";
      ++over;
    };
    const auto begun = proxy.loop.sched.now();
    const std::vector<std::string> all{"", half, startupMessage(), startupMessage() + command};
    for (const auto &bytes : all) proxy.loop.sched.spawn(client(bytes));
    while (over < 4) co_await proxy.loop.sched.sleep(10 * kMillisecond);
    REQUIRE(proxy.loop.sched.now() - begun < 3 * kSecond);
    REQUIRE(told == 1);
  };
  proxy.loop.run(body());
}

// Silent or idle connections are closed before those that send requests are rejected; the silent ones, as
// they may only be slow, not at once.
TEST_CASE("a client with a request is not rejected for silent ones") {
  for (const auto &first : {std::string(), startupMessage() + queryMessage("SELECT 1")}) {
    FixedAnswerProxy proxy(StandIn::row("value"), 0, 40);
    auto body = [&]() -> sched::Task<> {
      std::vector<std::unique_ptr<net::Socket>> others;
      for (int i = 0; i < 28; ++i) {
        others.push_back(co_await proxy.connect());
        co_await others.back()->write(first, {});
      }
      co_await proxy.loop.sched.sleep(300 * kMillisecond);
      for (int i = 0; i < 20; ++i) {
        auto client = co_await proxy.connect();
        const auto bytes = startupMessage() + queryMessage(kStatement);
        co_await client->write(bytes, {});
        net::Buffer b;
        const auto messages = co_await readMessageTypes(*client, b, 2);
        REQUIRE(messages == "RZTDCZ");
      }
    };
    proxy.loop.run(body());
  }
}

// A thousand connections that send nothing, half a startup message, an open id, or the head of a large
// message: a client that is served stays served, retrying where its connection was closed between requests or
// it was rejected; and a new client is answered within its timeout.
TEST_CASE("a flood of connections does not stop others from being served") {
  FixedAnswerProxy proxy(StandIn::row("value"), 5 * kMillisecond, 120);
  auto body = [&]() -> sched::Task<> {
    const auto start = startupMessage();
    auto served = co_await proxy.connect();
    co_await served->write(start, {});
    net::Buffer b;
    const auto messages = co_await readMessageTypes(*served, b, 1);
    REQUIRE(messages == "RZ");
    int anew = 0;
    const std::string large("Q\0\3\0\0SELECT", 11);
    const std::vector<std::string> kinds{"", start.substr(0, 9), start + requestMessage(0), start + large};
    std::vector<std::unique_ptr<RawClient>> flood;
    int id = 0, told = 0;
    for (int i = 0; i < 1000; ++i) {
      flood.push_back(std::make_unique<RawClient>(proxy.listener.address()));
      flood.back()->write(kinds[static_cast<std::size_t>(i) % kinds.size()]);
      if (i % 25 != 0) continue;
      const auto sql = requestMessage(++id);
      co_await served->write(sql, {});
      auto answer = co_await readMessageTypes(*served, b, 1);
      while (answer != "TDCZ" && ++anew < 10) {
        co_await proxy.loop.sched.sleep(20 * kMillisecond); // a rejected request is retried, after a backoff
        served = co_await proxy.connect();
        b = net::Buffer();
        const auto again = start + requestMessage(++id);
        co_await served->write(again, {});
        answer = co_await readMessageTypes(*served, b, 2);
        answer.erase(0, std::min<std::size_t>(answer.size(), 2));
      }
      REQUIRE(answer == "TDCZ");
      if (i % 250 != 0) continue;
      const auto begun = proxy.loop.sched.now();
      auto late = co_await proxy.connect();
      const auto bytes = start + requestMessage(++id);
      co_await late->write(bytes, {});
      net::Buffer c;
      std::string code;
      const auto got = co_await readMessageTypes(*late, c, 2, &code);
      told += got == "RZTDCZ" || code == "53300";
      REQUIRE(proxy.loop.sched.now() - begun < 2 * kSecond); // its timeout
    }
    REQUIRE(told == 4);
    REQUIRE(anew < 10);
  };
  proxy.loop.run(body());
}

TEST_CASE("an open id is rejected on another connection") {
  FixedAnswerProxy proxy(StandIn::row("value"), 50 * kMillisecond);
  auto body = [&]() -> sched::Task<> {
    auto first = co_await proxy.connect(), second = co_await proxy.connect();
    const auto bytes = startupMessage() + queryMessage(kStatement);
    net::Buffer a, b;
    std::string code;
    co_await first->write(bytes, {});
    while (proxy.received.empty()) co_await proxy.loop.sched.sleep(kMillisecond);
    co_await second->write(bytes, {});
    const auto messages = co_await readMessageTypes(*second, b, 2, &code);
    REQUIRE(messages == "RZEZ");
    REQUIRE(code == "42710");
    REQUIRE(proxy.received.size() == 1);
    const auto messages2 = co_await readMessageTypes(*first, a, 2);
    REQUIRE(messages2 == "RZTDCZ");
    const auto again = queryMessage(kStatement); // it is free again
    co_await second->write(again, {});
    const auto messages3 = co_await readMessageTypes(*second, b, 1);
    REQUIRE(messages3 == "TDCZ");
  };
  proxy.loop.run(body());
}

// Hundreds of unusable commands are answered in their order, with a line or two in the log, and others are
// served meanwhile.
TEST_CASE("hundreds of unusable commands cost little") {
  FixedAnswerProxy proxy;
  std::string many = startupMessage(), answers = "RZ";
  for (int i = 0; i < 600; ++i) {
    many += queryMessage("SELECT v FROM records WHERE k = '7f' /* id=1,c=odd,d=5 */");
    answers += "EZ";
  }
  many += queryMessage(kStatement);
  REQUIRE(replyTo(proxy, many, 602) == answers + "TDCZ");
  const auto lines = proxy.loop.lines.str();
  std::size_t said = 0;
  for (auto at = lines.find("warning"); at != lines.npos; at = lines.find("warning", at + 1)) ++said;
  REQUIRE(said >= 1);
  REQUIRE(said <= 2);
}

// A client that announces 60 MB and sends at full speed gets an error, and the rest is not read.
TEST_CASE("an impossibly large message is not read") {
  FixedAnswerProxy proxy;
  auto body = [&]() -> sched::Task<> {
    auto client = co_await proxy.connect();
    auto flood = [&]() -> sched::Task<> {
      const auto bytes = startupMessage() + std::string("Q\3\x93\x87\0", 5);
      co_await client->write(bytes, {});
      const std::string more(1 << 20, 'x');
      auto cause = net::ErrorCode::none;
      for (int i = 0; i < 60 && cause == net::ErrorCode::none; ++i) cause = co_await client->write(more, {});
    };
    proxy.loop.sched.spawn(flood());
    net::Buffer b;
    std::string code;
    const auto messages = co_await readMessageTypes(*client, b, 2, &code);
    REQUIRE(messages == "RZE!");
    REQUIRE(code == "08P01");
    REQUIRE((client->bytesWritten() < 20u << 20));
    auto other = co_await proxy.connect();
    const auto bytes = startupMessage() + queryMessage(kStatement);
    co_await other->write(bytes, {});
    net::Buffer c;
    const auto messages2 = co_await readMessageTypes(*other, c, 2);
    REQUIRE(messages2 == "RZTDCZ");
  };
  proxy.loop.run(body());
}

// Large messages are read as far as memory can be reserved; the others wait for those to be answered.
TEST_CASE("large messages wait for memory") {
  FixedAnswerProxy proxy(StandIn::row("value"), 20 * kMillisecond);
  auto body = [&]() -> sched::Task<> {
    const auto large = [](std::size_t id) {
      return queryMessage("SELECT v FROM records WHERE k = '" + std::string(200'000, 'x') +
                          "' /* id=" + std::to_string(id) + ",c=read,d=900 */");
    };
    const auto start = startupMessage();
    std::vector<std::unique_ptr<net::Socket>> clients;
    std::vector<net::Buffer> buffers(8);
    for (auto &buffer : buffers) {
      clients.push_back(co_await proxy.connect());
      co_await clients.back()->write(start, {});
      const auto messages = co_await readMessageTypes(*clients.back(), buffer, 1);
      REQUIRE(messages == "RZ");
    }
    auto send = [&](std::size_t i) -> sched::Task<> {
      const auto bytes = large(i);
      co_await clients[i]->write(bytes, {});
    };
    for (std::size_t i = 0; i < clients.size(); ++i) proxy.loop.sched.spawn(send(i));
    co_await proxy.loop.sched.sleep(10 * kMillisecond);
    REQUIRE(proxy.received.size() <= 5); // of 200 KB each, where a megabyte can be reserved
    for (std::size_t i = 0; i < clients.size(); ++i) {
      const auto messages2 = co_await readMessageTypes(*clients[i], buffers[i], 1);
      REQUIRE(messages2 == "TDCZ");
    }
    REQUIRE(proxy.received.size() == 8);
  };
  proxy.loop.run(body());
}

// With every connection's request in flight, a new one is rejected at once rather than left in the backlog.
TEST_CASE("without a descriptor a new connection is rejected at once") {
  FixedAnswerProxy proxy(StandIn::row("value"), 100 * kMillisecond, 24);
  auto body = [&]() -> sched::Task<> {
    std::vector<std::unique_ptr<net::Socket>> clients;
    std::vector<net::Buffer> buffers(20);
    for (std::size_t i = 0; i < buffers.size(); ++i) {
      auto sql = kStatement;
      const auto bytes = startupMessage() +
                         queryMessage(sql.replace(sql.find("id=1"), 4, "id=" + std::to_string(i)));
      clients.push_back(co_await proxy.connect());
      co_await clients[i]->write(bytes, {});
      co_await proxy.loop.sched.sleep(kMillisecond);
    }
    int served = 0, refused = 0;
    for (std::size_t i = 0; i < buffers.size(); ++i) {
      std::string code;
      const auto seen = co_await readMessageTypes(*clients[i], buffers[i], 2, &code);
      served += seen == "RZTDCZ";
      refused += seen == "RZE!" && code == "53300";
    }
    REQUIRE(served + refused == 20);
    REQUIRE(served >= 15);
    REQUIRE(refused > 0);
  };
  proxy.loop.run(body());
}
