// Listener: which connections it keeps, closes or rejects, and which messages it does not read.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "raw_client.h"

using namespace myrtlehead;

// With descriptors for two clients, further connections replace those that have been idle longest, once these
// have been idle for two seconds.
TEST_CASE("idle connections are closed for new ones") {
  FixedAnswerProxy proxy(ScriptedServer::rowAnswer("value"), 0, 5);
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
    const auto request = queryMessage(kStatement);
    co_await clients[3]->write(request, {});
    const auto messages2 = co_await readMessageTypes(*clients[3], buffers[3], 1);
    REQUIRE(messages2 == "TDCZ");
  };
  proxy.loop.run(body());
}

// A client that sends nothing or half a message is sent an error or closed within three seconds of
// connecting.
TEST_CASE("connections without a complete message are closed within three seconds") {
  FixedAnswerProxy proxy;
  auto body = [&]() -> sched::Task<> {
    const std::string half("\0\0\0\60", 4), command("Q\0\0\0\60SELECT", 11);
    int closed = 0, errors = 0;
    auto client = [&](std::string bytes) -> sched::Task<> {
      auto socket = co_await proxy.connect();
      co_await socket->write(bytes, {});
      net::Buffer b;
      std::string code;
      co_await readMessageTypes(*socket, b, 99, &code);
      errors += code == "08P01";
      ++closed;
    };
    const auto begun = proxy.loop.sched.now();
    const std::vector<std::string> inputs{"", half, startupMessage(), startupMessage() + command};
    for (const auto &bytes : inputs) proxy.loop.sched.spawn(client(bytes));
    while (closed < 4) co_await proxy.loop.sched.sleep(10 * kMillisecond);
    REQUIRE(proxy.loop.sched.now() - begun < 3 * kSecond);
    REQUIRE(errors == 1);
  };
  proxy.loop.run(body());
}

// Silent and idle connections are closed before a client with a request is rejected. Silent connections are
// not closed at once, because their clients may only be slow. Guards also against clients that have been
// served once and then stop inside a message: they kept their descriptors for two seconds, and others were
// rejected.
TEST_CASE("a client with a request is not rejected in favour of silent, idle or stopped ones") {
  const auto used = startupMessage() + queryMessage("SELECT 1");
  for (const auto &first : {std::string(), used, used + requestMessage(1).substr(0, 30)}) {
    FixedAnswerProxy proxy(ScriptedServer::rowAnswer("value"), 0, 40);
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

// Guards against a flood of connections that send nothing, half a startup message, a request with an id that
// is already open, or the start of a large message. An earlier client is still served, with retries after its
// connection was closed or rejected. A new client is answered or rejected within its timeout.
TEST_CASE("a flood of connections does not stop other clients from being served") {
  FixedAnswerProxy proxy(ScriptedServer::rowAnswer("value"), 5 * kMillisecond, 120);
  auto body = [&]() -> sched::Task<> {
    const auto start = startupMessage();
    auto served = co_await proxy.connect();
    co_await served->write(start, {});
    net::Buffer b;
    const auto messages = co_await readMessageTypes(*served, b, 1);
    REQUIRE(messages == "RZ");
    int reconnects = 0;
    const std::string large("Q\0\3\0\0SELECT", 11);
    const std::vector<std::string> kinds{"", start.substr(0, 9), start + requestMessage(0), start + large};
    std::vector<std::unique_ptr<RawClient>> flood;
    int id = 0, answered = 0;
    for (int i = 0; i < 1000; ++i) {
      flood.push_back(std::make_unique<RawClient>(proxy.listener.address()));
      flood.back()->write(kinds[static_cast<std::size_t>(i) % kinds.size()]);
      if (i % 25 != 0) continue;
      const auto sql = requestMessage(++id);
      co_await served->write(sql, {});
      auto answer = co_await readMessageTypes(*served, b, 1);
      while (answer != "TDCZ" && ++reconnects < 10) {
        co_await proxy.loop.sched.sleep(20 * kMillisecond); // a rejected request is retried, after a backoff
        served = co_await proxy.connect();
        b = net::Buffer();
        const auto retry = start + requestMessage(++id);
        co_await served->write(retry, {});
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
      answered += got == "RZTDCZ" || code == "53300";
      REQUIRE(proxy.loop.sched.now() - begun < 2 * kSecond); // the timeout of the client
    }
    REQUIRE(answered == 4);
    REQUIRE(reconnects < 10);
  };
  proxy.loop.run(body());
}

TEST_CASE("a request with an id that is open on another connection is rejected") {
  FixedAnswerProxy proxy(ScriptedServer::rowAnswer("value"), 50 * kMillisecond);
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
    const auto retry = queryMessage(kStatement); // the id is free again
    co_await second->write(retry, {});
    const auto messages3 = co_await readMessageTypes(*second, b, 1);
    REQUIRE(messages3 == "TDCZ");
  };
  proxy.loop.run(body());
}

// Hundreds of invalid commands are answered in order, with at most two lines in the log.
TEST_CASE("hundreds of invalid commands are answered with few log lines") {
  FixedAnswerProxy proxy;
  std::string commands = startupMessage(), answers = "RZ";
  for (int i = 0; i < 600; ++i) {
    commands += queryMessage("SELECT v FROM records WHERE k = '7f' /* id=1,c=odd,d=5 */");
    answers += "EZ";
  }
  commands += queryMessage(kStatement);
  REQUIRE(replyTo(proxy, commands, 602) == answers + "TDCZ");
  const auto lines = proxy.loop.logOutput.str();
  std::size_t warnings = 0;
  for (auto at = lines.find("warning"); at != lines.npos; at = lines.find("warning", at + 1)) ++warnings;
  REQUIRE(warnings >= 1);
  REQUIRE(warnings <= 2);
}

// A client that announces a message of 60 MB and sends it at full speed is sent an error. The rest is not
// read.
TEST_CASE("a message above the size limit is not read") {
  FixedAnswerProxy proxy;
  auto body = [&]() -> sched::Task<> {
    auto client = co_await proxy.connect();
    auto flood = [&]() -> sched::Task<> {
      const auto bytes = startupMessage() + std::string("Q\3\x93\x87\0", 5);
      co_await client->write(bytes, {});
      const std::string chunk(1 << 20, 'x');
      auto cause = net::ErrorCode::none;
      for (int i = 0; i < 60 && cause == net::ErrorCode::none; ++i) cause = co_await client->write(chunk, {});
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

// If every connection has a request in flight, a new connection is rejected at once instead of left in the
// backlog.
TEST_CASE("without a descriptor a new connection is rejected at once") {
  FixedAnswerProxy proxy(ScriptedServer::rowAnswer("value"), 100 * kMillisecond, 24);
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
    int served = 0, rejected = 0;
    for (std::size_t i = 0; i < buffers.size(); ++i) {
      std::string code;
      const auto got = co_await readMessageTypes(*clients[i], buffers[i], 2, &code);
      served += got == "RZTDCZ";
      rejected += got == "RZE!" && code == "53300";
    }
    REQUIRE(served + rejected == 20);
    REQUIRE(served >= 15);
    REQUIRE(rejected > 0);
  };
  proxy.loop.run(body());
}

// Guards against a connection that is closed for its descriptor, without a word, although a part of its first
// request has been read: the last byte may arrive before the client sees the end.
TEST_CASE("a connection that is closed for its descriptor inside a request is told an error") {
  FixedAnswerProxy proxy(ScriptedServer::rowAnswer("value"), 0, 12);
  auto body = [&]() -> sched::Task<> {
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int i = 0; i < 8; ++i) {
      clients.push_back(std::make_unique<RawClient>(proxy.listener.address()));
      clients.back()->write(startupMessage() + requestMessage(i).substr(0, 30));
      co_await proxy.loop.sched.sleep(300 * kMillisecond);
    }
    for (std::size_t i = 0; i < clients.size(); ++i) {
      clients[i]->readAvailable();
      clients[i]->write(requestMessage(static_cast<int>(i)).substr(30));
    }
    co_await proxy.loop.sched.sleep(1200 * kMillisecond);
    int refused = 0;
    for (auto &client : clients) {
      std::string codes;
      client->readAvailable();
      const auto answers = client->answers(&codes);
      const bool isRefused = answers == "RZE" && codes == "53300 ";
      REQUIRE((isRefused || answers == "RZTDCZ"));
      refused += isRefused;
    }
    REQUIRE(refused > 0);
  };
  proxy.loop.run(body());
}
