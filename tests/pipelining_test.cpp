// Pipelined requests on one connection: attempted concurrently, answered in order, and handled correctly if
// the client disconnects, the process shuts down or descriptors are short.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "raw_client.h"

#include <map>

using namespace myrtlehead;

namespace {

// A proxy whose endpoint answers each request with its id as the value, after the delay given for that id.
struct DelayedAnswerProxy : ProxyFixture {
  explicit DelayedAnswerProxy(int descriptors = 1000)
      : ProxyFixture(
            [this](net::Socket &s, net::Buffer &b) -> sched::Task<> {
              const bool isAdmitted = co_await ScriptedServer::acceptStartup(s, b);
              if (isAdmitted) co_await serve(s, b);
            },
            {.descriptors = descriptors, .routeTimeout = 5 * kSecond, .sweep = Sweep::off}) {}
  sched::Task<> serve(net::Socket &s, net::Buffer &b) {
    for (;;) {
      const auto sql = co_await ScriptedServer::readQuery(s, b);
      if (sql.empty()) co_return;
      const int id = std::stoi(sql.substr(sql.find("id=") + 3));
      receivedAt[id] = loop.sched.now();
      maxInFlight = std::max(maxInFlight, ++inFlight);
      if (delays.contains(id)) co_await loop.sched.sleep(delays[id]);
      --inFlight;
      const auto answer = ScriptedServer::rowAnswer(valueSizes.contains(id) ? std::string(valueSizes[id], 'x')
                                                                            : std::to_string(id));
      co_await s.write(answer, {});
    }
  }
  // The maps are keyed by request id.
  std::map<int, Nanoseconds> delays;
  std::map<int, Nanoseconds> receivedAt;
  std::map<int, std::size_t> valueSizes; // size of a large value that replaces the id as the answer
  int inFlight = 0;
  int maxInFlight = 0;
};

struct Answer {
  char type = 0;     // D (row), E (error) or I (empty query)
  std::string value; // the row's value or the error's SQLSTATE
  Nanoseconds receivedAt = 0;
};

// Reads answers up to the n-th ReadyForQuery; returns fewer if the connection ends before that.
sched::Task<std::vector<Answer>> readAnswers(DelayedAnswerProxy &proxy, net::Socket &s, net::Buffer &b,
                                             int n) {
  std::vector<Answer> out;
  Answer next;
  while (n > 0) {
    pg::Message m;
    if (pg::parseMessage(b.view(), m, pg::kMaxRowBytes) != pg::ParseStatus::complete) {
      const auto cause = co_await s.read(b, {});
      if (cause != net::ErrorCode::none) break;
      continue;
    }
    if (m.type == 'D') next = {'D', std::string(m.body.substr(6)), proxy.loop.sched.now()};
    if (m.type == 'E') next = {'E', std::string(pg::errorCode(m.body)), proxy.loop.sched.now()};
    if (m.type == 'I') next = {'I', "", proxy.loop.sched.now()};
    if (m.type == 'Z') out.push_back(std::exchange(next, {})), --n;
    b.consume(m.size);
  }
  co_return out;
}

std::string requestMessages(int from, int to, const char *route = "read") {
  std::string out;
  for (int id = from; id <= to; ++id) out += requestMessage(id, route);
  return out;
}

} // namespace

// The first request takes 300 ms. Those behind it are sent to the endpoint meanwhile and are answered
// directly after it, in order.
TEST_CASE("requests behind a slow one are attempted concurrently") {
  DelayedAnswerProxy proxy;
  proxy.delays[1] = 300 * kMillisecond;
  auto body = [&]() -> sched::Task<> {
    auto client = co_await proxy.connect();
    const auto bytes = startupMessage() + requestMessages(1, 8);
    const Nanoseconds startedAt = proxy.loop.sched.now();
    co_await client->write(bytes, {});
    net::Buffer b;
    const auto got = co_await readAnswers(proxy, *client, b, 9);
    REQUIRE(got.size() == 9);
    for (int id = 1; id <= 8; ++id) {
      const auto &answer = got[static_cast<std::size_t>(id)];
      REQUIRE(answer.type == 'D');
      REQUIRE(answer.value == std::to_string(id));
    }
    for (int id = 2; id <= 8; ++id) REQUIRE(proxy.receivedAt[id] < startedAt + 200 * kMillisecond);
    REQUIRE(got[8].receivedAt < startedAt + 450 * kMillisecond);
  };
  proxy.loop.run(body());
  REQUIRE(proxy.maxInFlight >= 2);
}

// The second request is written while the first is in flight.
TEST_CASE("a request that arrives later is started at once") {
  DelayedAnswerProxy proxy;
  proxy.delays[1] = 300 * kMillisecond;
  auto body = [&]() -> sched::Task<> {
    auto client = co_await proxy.connect();
    const auto first = startupMessage() + requestMessage(1), second = requestMessage(2);
    co_await client->write(first, {});
    while (!proxy.receivedAt.contains(1)) co_await proxy.loop.sched.sleep(kMillisecond);
    const Nanoseconds writtenAt = proxy.loop.sched.now();
    co_await client->write(second, {});
    net::Buffer b;
    const auto got = co_await readAnswers(proxy, *client, b, 3);
    REQUIRE(got.size() == 3);
    REQUIRE(got[1].value == "1");
    REQUIRE(got[2].value == "2");
    REQUIRE(proxy.receivedAt[2] < writtenAt + 200 * kMillisecond);
  };
  proxy.loop.run(body());
}

// Errors, empty queries and Sync after an error are answered without an endpoint, in the order of the
// commands.
TEST_CASE("messages that need no endpoint are answered in order") {
  DelayedAnswerProxy proxy;
  proxy.delays[1] = 50 * kMillisecond;
  auto body = [&]() -> sched::Task<> {
    auto client = co_await proxy.connect();
    const std::string parse("P\0\0\0\10\0\0\0\0", 9), sync("S\0\0\0\4", 5);
    const auto bytes = startupMessage() + requestMessage(1) + queryMessage("") +
                       queryMessage("SELECT 1; SELECT 2") + requestMessage(2) + parse + requestMessage(9) +
                       sync + requestMessage(3);
    co_await client->write(bytes, {});
    net::Buffer b;
    const auto got = co_await readAnswers(proxy, *client, b, 7);
    REQUIRE(got.size() == 7);
    REQUIRE(got[1].value == "1");
    REQUIRE(got[2].type == 'I');
    REQUIRE(got[3].value == "42601");
    REQUIRE(got[4].value == "2");
    REQUIRE(got[5].value == "0A000");
    REQUIRE(got[6].value == "3");
    REQUIRE(!proxy.receivedAt.contains(9));
  };
  proxy.loop.run(body());
}

// A request id is open until its answer has been written. A request with an open id is rejected on another
// connection and waits on the same connection.
TEST_CASE("a request id is open until its answer is written") {
  DelayedAnswerProxy proxy;
  proxy.delays[1] = 150 * kMillisecond;
  auto body = [&]() -> sched::Task<> {
    auto client = co_await proxy.connect(), other = co_await proxy.connect();
    const auto bytes = startupMessage() + requestMessage(1) + requestMessage(2) + requestMessage(2) +
                       requestMessage(3),
               sameId = startupMessage() + requestMessage(2);
    co_await client->write(bytes, {});
    while (!proxy.receivedAt.contains(2)) co_await proxy.loop.sched.sleep(kMillisecond);
    const Nanoseconds firstReceivedAt = proxy.receivedAt[2];
    // The endpoint has answered request 2 by then, but the answer is pending behind that of request 1.
    co_await proxy.loop.sched.sleep(20 * kMillisecond);
    co_await other->write(sameId, {});
    net::Buffer b, c;
    const auto rejected = co_await readAnswers(proxy, *other, c, 2);
    REQUIRE(rejected.size() == 2);
    REQUIRE(rejected[1].value == "42710");
    auto got = co_await readAnswers(proxy, *client, b, 5);
    REQUIRE(got.size() == 5);
    REQUIRE(got[1].value == "1");
    REQUIRE(got[2].value == "2");
    REQUIRE(got[3].value == "2");
    REQUIRE(got[4].value == "3");
    REQUIRE(proxy.receivedAt[2] > firstReceivedAt + 100 * kMillisecond);
    const auto retry = requestMessage(2);
    co_await other->write(retry, {});
    got = co_await readAnswers(proxy, *other, c, 1);
    REQUIRE(got.size() == 1);
    REQUIRE(got[0].value == "2");
  };
  proxy.loop.run(body());
}

// A failed request is answered with an error in order, and does not delay the requests behind it.
TEST_CASE("a failed request is answered in order") {
  DelayedAnswerProxy proxy;
  proxy.delays[2] = 2 * kSecond;
  auto body = [&]() -> sched::Task<> {
    auto client = co_await proxy.connect();
    const auto timesOut = queryMessage("SELECT v FROM records WHERE k = '7f' /* id=2,c=once,d=150 */");
    const auto bytes = startupMessage() + requestMessage(1) + timesOut + requestMessage(3);
    const Nanoseconds startedAt = proxy.loop.sched.now();
    co_await client->write(bytes, {});
    net::Buffer b;
    const auto got = co_await readAnswers(proxy, *client, b, 4);
    REQUIRE(got.size() == 4);
    REQUIRE(got[1].value == "1");
    REQUIRE(got[2].value == "XX000");
    REQUIRE(got[3].value == "3");
    REQUIRE(got[3].receivedAt < startedAt + 600 * kMillisecond);
  };
  proxy.loop.run(body());
}

// All requests in flight are cancelled and their ids are free again.
TEST_CASE("a client that disconnects cancels all its requests") {
  DelayedAnswerProxy proxy;
  for (int id = 1; id <= 5; ++id) proxy.delays[id] = 5 * kSecond;
  auto body = [&]() -> sched::Task<> {
    auto client = co_await proxy.connect();
    const auto bytes = startupMessage() + requestMessages(1, 5);
    co_await client->write(bytes, {});
    while (proxy.receivedAt.size() < 5) co_await proxy.loop.sched.sleep(kMillisecond);
    client.reset();
    co_await proxy.loop.sched.sleep(50 * kMillisecond);
    proxy.delays.clear();
    auto other = co_await proxy.connect();
    co_await other->write(bytes, {});
    net::Buffer b;
    const auto got = co_await readAnswers(proxy, *other, b, 6);
    REQUIRE(got.size() == 6);
    for (int id = 1; id <= 5; ++id) REQUIRE(got[static_cast<std::size_t>(id)].value == std::to_string(id));
  };
  proxy.loop.run(body());
}

// 24 descriptors allow 8 requests to be attempted concurrently. The others wait, and all are answered in
// order.
TEST_CASE("the number of requests attempted concurrently is bounded") {
  DelayedAnswerProxy proxy(24);
  for (int id = 1; id <= 40; ++id) proxy.delays[id] = 20 * kMillisecond;
  auto body = [&]() -> sched::Task<> {
    auto client = co_await proxy.connect();
    const auto bytes = startupMessage() + requestMessages(1, 40);
    co_await client->write(bytes, {});
    net::Buffer b;
    const auto got = co_await readAnswers(proxy, *client, b, 41);
    REQUIRE(got.size() == 41);
    for (int id = 1; id <= 40; ++id) REQUIRE(got[static_cast<std::size_t>(id)].value == std::to_string(id));
  };
  proxy.loop.run(body());
  REQUIRE(proxy.maxInFlight >= 4);
  REQUIRE(proxy.maxInFlight <= 8);
}

// No capacity is free for longer than half of the request's timeout. The request is rejected in order and is
// never forwarded.
TEST_CASE("a request that is not admitted in time is rejected") {
  DelayedAnswerProxy proxy(24);
  for (int id = 1; id <= 8; ++id) proxy.delays[id] = 400 * kMillisecond;
  auto body = [&]() -> sched::Task<> {
    auto client = co_await proxy.connect();
    const auto impatient = queryMessage("SELECT v FROM records WHERE k = '7f' /* id=9,c=once,d=200 */");
    const auto bytes = startupMessage() + requestMessages(1, 8) + impatient + requestMessage(10);
    co_await client->write(bytes, {});
    net::Buffer b;
    const auto got = co_await readAnswers(proxy, *client, b, 11);
    REQUIRE(got.size() == 11);
    REQUIRE(got[8].value == "8");
    REQUIRE(got[9].value == "53300");
    REQUIRE(got[10].value == "10");
    REQUIRE(!proxy.receivedAt.contains(9));
  };
  proxy.loop.run(body());
}

// The proxy stops reading from a client that keeps writing and reads nothing. Once the client reads, it
// receives all answers in order.
TEST_CASE("a client that reads no answers is not read further") {
  DelayedAnswerProxy proxy;
  constexpr int kRequestCount = 1000;
  for (int id = 1; id <= kRequestCount; ++id) proxy.valueSizes[id] = 16'000;
  auto body = [&]() -> sched::Task<> {
    auto client = co_await proxy.connect();
    auto write = [&]() -> sched::Task<> {
      const auto bytes = startupMessage() + requestMessages(1, kRequestCount);
      co_await client->write(bytes, {});
    };
    proxy.loop.sched.spawn(write());
    co_await proxy.loop.sched.sleep(500 * kMillisecond);
    const auto receivedCount = proxy.receivedAt.size();
    REQUIRE(receivedCount < kRequestCount / 2);
    co_await proxy.loop.sched.sleep(200 * kMillisecond);
    REQUIRE(proxy.receivedAt.size() == receivedCount);
    net::Buffer b;
    const auto got = co_await readAnswers(proxy, *client, b, kRequestCount + 1);
    REQUIRE(got.size() == kRequestCount + 1);
    for (const auto &answer : got) REQUIRE((answer.type == 0 || answer.value.size() == 16'000));
  };
  proxy.loop.run(body());
}

// A connection with requests in flight is not idle. It is idle, and may be closed, once all are answered.
TEST_CASE("a connection is idle once all requests are answered") {
  DelayedAnswerProxy proxy(12);
  proxy.delays[1] = 2500 * kMillisecond;
  auto body = [&]() -> sched::Task<> {
    auto client = co_await proxy.connect();
    const auto bytes = startupMessage() +
                       queryMessage("SELECT v FROM records WHERE k = '7f' /* id=1,c=read,d=4000 */") +
                       requestMessages(2, 4);
    co_await client->write(bytes, {});
    // Longer than an idle connection is kept during a descriptor shortage.
    co_await proxy.loop.sched.sleep(2200 * kMillisecond);
    std::vector<std::unique_ptr<RawClient>> others;
    for (int i = 0; i < 5; ++i) others.push_back(std::make_unique<RawClient>(proxy.listener.address()));
    net::Buffer b;
    const auto got = co_await readAnswers(proxy, *client, b, 5);
    REQUIRE(got.size() == 5);
    REQUIRE(got[1].value == "1");
    REQUIRE(got[4].value == "4");
    others.clear();
    co_await proxy.loop.sched.sleep(2200 * kMillisecond);
    for (int i = 0; i < 5; ++i) others.push_back(std::make_unique<RawClient>(proxy.listener.address()));
    const net::Deadline until{proxy.loop.sched.now() + kSecond, nullptr};
    const auto cause = co_await client->read(b, until);
    REQUIRE(cause == net::ErrorCode::closedByPeer);
  };
  proxy.loop.run(body());
}

// All requests that are in flight at a shutdown are answered in order, and then the connection is closed.
TEST_CASE("a shutdown answers all requests in flight") {
  DelayedAnswerProxy proxy;
  for (int id = 1; id <= 4; ++id) proxy.delays[id] = (1100 - 100 * id) * kMillisecond;
  RawClient client(proxy.listener.address());
  client.write(startupMessage() + requestMessages(1, 4));
  proxy.loop.run(proxy.listener.shutDown());
  const auto got = client.readToEnd();
  REQUIRE(got == "RZTDCZTDCZTDCZTDCZ");
  REQUIRE(proxy.receivedAt.size() == 4); // each was forwarded to the endpoint
}

// Guards against one client whose complete answers wait behind a slow one and hold the memory that the
// answers of other clients need.
TEST_CASE("large answers that wait behind a slow one leave memory to the answers of other clients") {
  DelayedAnswerProxy proxy;
  proxy.delays[1] = 900 * kMillisecond;
  for (int id = 2; id <= 4; ++id) proxy.valueSizes[id] = 1'300'000; // of the four megabytes of the pool
  proxy.valueSizes[100] = 1'900'000;
  auto body = [&]() -> sched::Task<> {
    auto greedy = co_await proxy.connect();
    auto other = co_await proxy.connect();
    const auto requests = startupMessage() + requestMessages(1, 4);
    co_await greedy->write(requests, {});
    co_await proxy.loop.sched.sleep(100 * kMillisecond);
    const auto request = startupMessage() + requestMessage(100);
    const Nanoseconds startedAt = proxy.loop.sched.now();
    co_await other->write(request, {});
    net::Buffer otherBuffer, greedyBuffer;
    const auto got = co_await readAnswers(proxy, *other, otherBuffer, 2);
    REQUIRE(got.size() == 2);
    REQUIRE(got[1].type == 'D');
    REQUIRE(got[1].receivedAt < startedAt + 500 * kMillisecond);
    const auto slow = co_await readAnswers(proxy, *greedy, greedyBuffer, 5);
    REQUIRE(slow.size() == 5);
  };
  proxy.loop.run(body());
}
