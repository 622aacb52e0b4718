// ClientSession: the answers to a client's messages, and how its connection ends.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "raw_client.h"

using namespace myrtlehead;

namespace {

// Connects, writes as many requests as the kernel takes, and reads the answer to the startup message alone.
sched::Task<std::unique_ptr<RawClient>> writeManyRequests(FixedAnswerProxy &proxy) {
  auto client = std::make_unique<RawClient>(proxy.listener.address());
  client->write(startupMessage());
  while (client->answers() != "RZ") {
    co_await proxy.loop.sched.sleep(kMillisecond);
    client->readAvailable();
  }
  std::string requests;
  for (int id = 0; id < 20'000; ++id) requests += requestMessage(id);
  client->writeSome(requests);
  co_return client;
}

constexpr Nanoseconds kMaxAfterClose = 150 * kMillisecond; // the operators' 0.1 s, and 50 ms on sockets

} // namespace

// Guards against requests that are sent to endpoints although their client has closed its connection, where
// the end of its stream waits behind bytes that are left unread.
TEST_CASE("nothing is sent for a client that has closed its connection behind many unread requests") {
  constexpr std::size_t kMaxInFlight = 128; // on one connection
  FixedAnswerProxy proxy(ScriptedServer::rowAnswer("value"), 800 * kMillisecond);
  auto body = [&]() -> sched::Task<> {
    const auto client = co_await writeManyRequests(proxy);
    while (proxy.received.size() < kMaxInFlight) co_await proxy.loop.sched.sleep(kMillisecond);
    client->leave();
    co_await proxy.loop.sched.sleep(kMaxAfterClose);
    CHECK(proxy.received.size() == kMaxInFlight);
    co_await proxy.loop.sched.sleep(kSecond);
    CHECK(proxy.received.size() == kMaxInFlight);
  };
  proxy.loop.run(body());
}

// Guards against the same while the requests of the client are still being read.
TEST_CASE("nothing is sent for a client that has closed its connection as soon as it has written") {
  FixedAnswerProxy proxy(ScriptedServer::rowAnswer("value"), 300 * kMillisecond);
  auto body = [&]() -> sched::Task<> {
    const auto client = co_await writeManyRequests(proxy);
    client->leave();
    co_await proxy.loop.sched.sleep(kMaxAfterClose);
    const auto sent = proxy.received.size();
    co_await proxy.loop.sched.sleep(kSecond);
    CHECK(proxy.received.size() == sent);
  };
  proxy.loop.run(body());
}

TEST_CASE("a query is served") {
  FixedAnswerProxy single;
  REQUIRE(replyTo(single, startupMessage() + queryMessage(kStatement), 2) == "RZTDCZ");
  REQUIRE(single.received.size() == 1);
  FixedAnswerProxy several;
  REQUIRE(replyTo(several,
                  startupMessage() + queryMessage(kStatement) + queryMessage("") + queryMessage(kStatement),
                  4) == "RZTDCZIZTDCZ");
  FixedAnswerProxy session;
  REQUIRE(replyTo(session, startupMessage() + queryMessage("SET a = 1") + queryMessage("SELECT 1"), 3) ==
          "RZCZTDCZ");
  REQUIRE(session.received.empty());
}

TEST_CASE("a query that arrives byte by byte is served") {
  FixedAnswerProxy proxy;
  auto body = [&]() -> sched::Task<> {
    auto client = co_await proxy.connect();
    const auto bytes = startupMessage() + queryMessage(kStatement);
    for (std::size_t i = 0; i < bytes.size(); ++i) {
      co_await client->write(std::string_view(bytes).substr(i, 1), {});
      co_await proxy.loop.sched.sleep(0);
    }
    net::Buffer b;
    std::string value;
    const auto messages = co_await readMessageTypes(*client, b, 2, nullptr, &value);
    REQUIRE(messages == "RZTDCZ");
    REQUIRE(value == "value");
  };
  proxy.loop.run(body());
}

TEST_CASE("encryption is declined") {
  FixedAnswerProxy proxy;
  auto body = [&]() -> sched::Task<> {
    auto client = co_await proxy.connect();
    const std::string encryptionRequest("\0\0\0\10\4\xd2\x16\x2f", 8);
    co_await client->write(encryptionRequest, {});
    net::Buffer b;
    const auto cause = co_await client->read(b, {});
    REQUIRE(cause == net::ErrorCode::none);
    REQUIRE(b.view() == "N");
    b.consume(1);
    const auto rest = startupMessage();
    co_await client->write(rest, {});
    const auto messages = co_await readMessageTypes(*client, b, 1);
    REQUIRE(messages == "RZ");
  };
  proxy.loop.run(body());
}

TEST_CASE("invalid messages are not forwarded") {
  std::string code;
  FixedAnswerProxy multiple;
  REQUIRE(replyTo(multiple, startupMessage() + queryMessage("SELECT 1; SELECT 2") + queryMessage(kStatement),
                  3, &code) == "RZEZTDCZ");
  REQUIRE(code == "42601");
  REQUIRE(multiple.received.size() == 1);
  FixedAnswerProxy unknownRoute;
  REQUIRE(
      replyTo(unknownRoute,
              startupMessage() + queryMessage("SELECT v FROM records WHERE k = '7f' /* id=1,c=odd,d=480 */"),
              2, &code) == "RZEZ");
  REQUIRE(unknownRoute.received.empty());
  // One error for Parse, Bind and Sync; then queries are served again.
  FixedAnswerProxy extended;
  const std::string parse("P\0\0\0\10\0\0\0\0", 9), bind("B\0\0\0\4", 5), sync("S\0\0\0\4", 5);
  REQUIRE(replyTo(extended, startupMessage() + parse + bind + sync + queryMessage(kStatement), 3, &code) ==
          "RZEZTDCZ");
  REQUIRE(code == "0A000");
  for (const auto &invalid :
       {std::string("Q\xff\xff\xff\xff", 5), std::string("?\0\0\0\4", 5), std::string("Q\0\0\0\6ab", 7)}) {
    FixedAnswerProxy proxy;
    REQUIRE(replyTo(proxy, startupMessage() + invalid, 2, &code) == "RZE!");
    REQUIRE(code == "08P01");
    REQUIRE(proxy.received.empty());
  }
  FixedAnswerProxy oldProtocol;
  REQUIRE(replyTo(oldProtocol, std::string("\0\0\0\10\0\2\0\0", 8), 1, &code) == "E!");
  REQUIRE(code == "08P01");
}

TEST_CASE("rejected and failed requests are answered with different error codes") {
  std::string code, error;
  pg::addError(error, {"ERROR", "53300", "full"});
  pg::addReadyForQuery(error);
  FixedAnswerProxy full(error);
  REQUIRE(replyTo(full, startupMessage() + queryMessage(kStatement), 2, &code) == "RZEZ");
  REQUIRE(code == "53300");
  REQUIRE(full.received.size() > 1); // a rejected request was not executed, so it was retried
  FixedAnswerProxy once(ScriptedServer::rowAnswer("late"), 300 * kMillisecond);
  const auto sql = "SELECT v FROM records WHERE k = '7f' /* id=1,c=once,d=100 */";
  REQUIRE(replyTo(once, startupMessage() + queryMessage(sql), 2, &code) == "RZEZ");
  REQUIRE(code == "XX000");
  REQUIRE(once.received.size() == 1);
}

TEST_CASE("a client that disconnects cancels its attempt") {
  FixedAnswerProxy proxy(ScriptedServer::rowAnswer("late"), 5 * kSecond);
  auto body = [&]() -> sched::Task<> {
    auto client = co_await proxy.connect();
    const auto bytes = startupMessage() + queryMessage(kStatement);
    co_await client->write(bytes, {});
    while (proxy.received.empty()) co_await proxy.loop.sched.sleep(kMillisecond);
    client.reset();
    co_await proxy.loop.sched.sleep(20 * kMillisecond);
    auto other = co_await proxy.connect(); // the proxy still serves other clients
    co_await other->write(bytes, {});
    while (proxy.received.size() < 2) co_await proxy.loop.sched.sleep(kMillisecond);
    REQUIRE(proxy.endpoint.acceptedConnections == 2); // the first attempt's connection was closed
  };
  proxy.loop.run(body());
}

// Guards against forwarding a request whose client closed its connection before the request was read. An idle
// upstream connection exists, so the request would be sent without any wait.
TEST_CASE("a request whose client has disconnected is not forwarded") {
  FixedAnswerProxy proxy;
  auto body = [&]() -> sched::Task<> {
    auto first = co_await proxy.connect();
    const auto bytes = startupMessage() + queryMessage(kStatement);
    co_await first->write(bytes, {});
    net::Buffer b;
    const auto messages = co_await readMessageTypes(*first, b, 2);
    REQUIRE(messages == "RZTDCZ");
    co_await proxy.loop.sched.sleep(10 * kMillisecond); // the endpoint's connection becomes idle
    for (int i = 2; i < 12; ++i) {
      RawClient gone(proxy.listener.address());
      gone.write(startupMessage() + requestMessage(i) + requestMessage(100 + i));
    }
    co_await proxy.loop.sched.sleep(50 * kMillisecond);
    REQUIRE(proxy.received.size() == 1);
  };
  proxy.loop.run(body());
}

// Guards against a request id that stays open after its client has disconnected. The client disconnects, with
// two requests in flight, while the upstream connection is being opened.
TEST_CASE("a client that disconnects during the upstream connect frees its request ids") {
  EventLoop *loop = nullptr;
  FixedAnswerProxy proxy;
  ScriptedServer slow(proxy.loop, [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await loop->sched.sleep(40 * kMillisecond);
    if (!co_await ScriptedServer::acceptStartup(s, b)) co_return;
    for (;;) {
      const auto sql = co_await ScriptedServer::readQuery(s, b);
      if (sql.empty()) co_return;
      proxy.received.push_back(sql);
      const auto row = ScriptedServer::rowAnswer("value");
      co_await s.write(row, {});
    }
  });
  loop = &proxy.loop;
  proxy.router.onEndpointUpdates({{"s-2", slow.address(), {.build = 1}}}, true);
  auto body = [&]() -> sched::Task<> {
    auto client = co_await proxy.connect();
    const auto bytes = startupMessage() + requestMessage(1) + requestMessage(2);
    co_await client->write(bytes, {});
    while (slow.acceptedConnections == 0) co_await proxy.loop.sched.sleep(kMillisecond);
    client.reset();
    auto second = co_await proxy.connect();
    const auto sameId = startupMessage() + requestMessage(1);
    co_await second->write(sameId, {});
    net::Buffer b;
    const auto messages = co_await readMessageTypes(*second, b, 2);
    REQUIRE(messages == "RZTDCZ");
    REQUIRE(proxy.received.size() == 1);
  };
  proxy.loop.run(body());
}

// During a shutdown, requests in flight are answered, new connections are accepted for a while, and then idle
// connections are closed.
TEST_CASE("a shutdown with requests in flight answers them") {
  FixedAnswerProxy proxy(ScriptedServer::rowAnswer("value"), 700 * kMillisecond);
  auto body = [&]() -> sched::Task<> {
    auto idle = co_await proxy.connect(), busy = co_await proxy.connect();
    const auto start = startupMessage(),
               request = queryMessage("SELECT v FROM records WHERE k = '7f' /* id=1,c=read,d=2000 */");
    net::Buffer a, b, c;
    co_await idle->write(start, {});
    const auto messages = co_await readMessageTypes(*idle, a, 1);
    REQUIRE(messages == "RZ");
    co_await busy->write(start, {});
    const auto messages2 = co_await readMessageTypes(*busy, b, 1);
    REQUIRE(messages2 == "RZ");
    auto shutDown = [&]() -> sched::Task<> {
      co_await proxy.listener.shutDown();
      proxy.received.push_back("closed");
    };
    proxy.loop.sched.spawn(shutDown());
    co_await proxy.loop.sched.sleep(100 * kMillisecond);
    co_await busy->write(request, {});
    auto late = co_await proxy.connect(); // still accepted
    co_await late->write(start, {});
    const auto messages3 = co_await readMessageTypes(*late, c, 1);
    REQUIRE(messages3 == "RZ");
    const auto cause = co_await idle->read(a, {});
    REQUIRE(cause == net::ErrorCode::closedByPeer);
    const auto messages4 = co_await readMessageTypes(*busy, b, 1);
    REQUIRE(messages4 == "TDCZ"); // answered after the listening socket was closed
    const auto cause2 = co_await busy->read(b, {});
    REQUIRE(cause2 == net::ErrorCode::closedByPeer);
    const auto result = co_await net::connect(proxy.loop.sched, proxy.loop.budget,
                                              *net::parseAddress("127.0.0.1:1"), {});
    REQUIRE(!result);
    // Clients close their end when they see the end of the connection.
    idle.reset(), busy.reset(), late.reset();
    co_await proxy.loop.sched.sleep(10 * kMillisecond);
    REQUIRE(proxy.received.back() == "closed");
  };
  proxy.loop.run(body());
}

// Guards against requests that are read and left unanswered because their client has ended its sending behind
// them. No attempt is made for it any more, but it is told the outcome.
TEST_CASE("a client that has ended its sending is told the outcome of its requests") {
  FixedAnswerProxy proxy(ScriptedServer::rowAnswer("value"), 200 * kMillisecond);
  auto body = [&]() -> sched::Task<> {
    RawClient early(proxy.listener.address());
    early.write(startupMessage() + requestMessage(1) + requestMessage(2));
    early.endSending(); // before its requests are read
    co_await proxy.loop.sched.sleep(50 * kMillisecond);
    std::string codes;
    REQUIRE(early.readToEnd(&codes) == "RZEZEZ");
    REQUIRE(codes == "53300 53300 ");
    REQUIRE(proxy.received.empty());

    RawClient late(proxy.listener.address());
    late.write(startupMessage() + requestMessage(3) + requestMessage(4, "once"));
    while (proxy.received.size() < 2) co_await proxy.loop.sched.sleep(kMillisecond);
    late.endSending();
    co_await proxy.loop.sched.sleep(50 * kMillisecond);
    codes.clear();
    REQUIRE(late.readToEnd(&codes) == "RZEZEZ");
    REQUIRE(codes == "XX000 XX000 "); // they may have been executed
    REQUIRE(proxy.received.size() == 2);
  };
  proxy.loop.run(body());
}
