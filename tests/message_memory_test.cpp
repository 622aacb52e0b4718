// Memory for large messages: what they wait for, and what clients that stop or hold memory leave to others.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy/message_memory.h"
#include "raw_client.h"

#include <thread>

using namespace myrtlehead;

namespace {

std::string largeRequest(std::size_t id, std::size_t bytes, const char *timeoutMs = "900") {
  return queryMessage("SELECT v FROM records WHERE k = '" + std::string(bytes, 'x') +
                      "' /* id=" + std::to_string(id) + ",c=read,d=" + timeoutMs + " */");
}

// Connects and has a request served, so that the connection counts as used.
sched::Task<std::unique_ptr<net::Socket>> connectUsed(FixedAnswerProxy &proxy, net::Buffer &buffer) {
  auto client = co_await proxy.connect();
  const auto bytes = startupMessage() + queryMessage("SELECT 1");
  co_await client->write(bytes, {});
  const auto messages = co_await readMessageTypes(*client, buffer, 2);
  REQUIRE(messages == "RZTDCZ");
  co_return client;
}

} // namespace

TEST_CASE("operators are warned above three quarters of the memory limit") {
  CHECK(!message_memory::isShort(24 << 20, 32 << 20));
  CHECK(message_memory::isShort((24 << 20) + 1, 32 << 20));
}

// Large messages are read as long as memory can be reserved; the others wait until some are answered.
TEST_CASE("large messages wait for memory") {
  FixedAnswerProxy proxy(ScriptedServer::rowAnswer("value"), 20 * kMillisecond);
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
    REQUIRE(proxy.received.size() <= 5); // 200 KB each, of one megabyte that can be reserved
    for (std::size_t i = 0; i < clients.size(); ++i) {
      const auto messages2 = co_await readMessageTypes(*clients[i], buffers[i], 1);
      REQUIRE(messages2 == "TDCZ");
    }
    REQUIRE(proxy.received.size() == 8);
  };
  proxy.loop.run(body());
}

// Guards against clients that stop inside large messages and so keep the memory that others' requests need:
// those were closed unanswered after two seconds.
TEST_CASE("clients that stop inside large messages leave the memory to the requests of others") {
  // What a stopped client sends of its message: its start, half of the memory's share, or nearly all of it.
  for (const std::size_t sentBytes : {47u, 20'000u, 240'000u}) {
    FixedAnswerProxy proxy;
    auto body = [&]() -> sched::Task<> {
      std::vector<std::unique_ptr<RawClient>> stoppedClients;
      for (std::size_t i = 0; i < 30; ++i) {
        const std::size_t bytes = i % 2 == 0 ? 249'900
                                             : 20'000; // the smaller ones take what the others leave
        stoppedClients.push_back(std::make_unique<RawClient>(proxy.listener.address()));
        stoppedClients.back()->write(startupMessage() +
                                     largeRequest(i, bytes).substr(0, std::min(sentBytes, bytes)));
      }
      net::Buffer buffer;
      auto client = co_await connectUsed(proxy, buffer);
      for (std::size_t id = 100; id < 110; ++id) {
        const auto request = largeRequest(id, 24'000);
        const auto begun = proxy.loop.sched.now();
        co_await client->write(request, {});
        const auto answer = co_await readMessageTypes(*client, buffer, 1);
        REQUIRE(answer == "TDCZ");
        REQUIRE(proxy.loop.sched.now() - begun < 900 * kMillisecond); // the client's timeout
        co_await proxy.loop.sched.sleep(20 * kMillisecond);
      }
      std::string code;
      co_await proxy.loop.sched.sleep(2600 * kMillisecond); // the time for a first message is over
      REQUIRE(stoppedClients.front()->readToEnd(&code) == "RZE");
      REQUIRE(code == "08P01 ");
    };
    proxy.loop.run(body());
  }
}

// Guards against a large request that is closed unanswered because others in flight hold all memory.
TEST_CASE("a large request for which there is no memory is refused, and its connection goes on") {
  FixedAnswerProxy proxy(ScriptedServer::rowAnswer("value"), 300 * kMillisecond);
  auto body = [&]() -> sched::Task<> {
    std::vector<std::unique_ptr<net::Socket>> clients;
    std::vector<net::Buffer> buffers(8);
    const auto send = [&](std::size_t i) -> sched::Task<> {
      const auto bytes = largeRequest(i, 200'000);
      co_await clients[i]->write(bytes, {});
    };
    for (std::size_t i = 0; i < buffers.size(); ++i) {
      clients.push_back(co_await connectUsed(proxy, buffers[i]));
      proxy.loop.sched.spawn(send(i));
    }
    int served = 0, refused = 0;
    for (std::size_t i = 0; i < buffers.size(); ++i) {
      std::string code;
      const auto answer = co_await readMessageTypes(*clients[i], buffers[i], 1, &code);
      served += answer == "TDCZ";
      const bool isRefused = answer == "EZ" && code == "53300";
      refused += isRefused;
      if (!isRefused) continue;
      const auto small = requestMessage(100 + static_cast<int>(i));
      co_await clients[i]->write(small, {});
      const auto next = co_await readMessageTypes(*clients[i], buffers[i], 1);
      REQUIRE(next == "TDCZ");
    }
    REQUIRE(served >= 3);
    REQUIRE(refused > 0);
    REQUIRE(served + refused == 8);
  };
  proxy.loop.run(body());
}

// Guards against one client that fills the memory for large messages with requests behind each other.
TEST_CASE("one connection's large requests in flight leave memory to other clients") {
  FixedAnswerProxy proxy(ScriptedServer::rowAnswer("value"), 500 * kMillisecond);
  auto body = [&]() -> sched::Task<> {
    RawClient greedy(proxy.listener.address());
    std::string requests;
    for (std::size_t id = 1; id <= 8; ++id) requests += largeRequest(id, 200'000);
    greedy.write(startupMessage());
    std::thread writer([&] { greedy.write(requests); }); // the proxy does not read all of it at once
    net::Buffer buffer;
    auto client = co_await connectUsed(proxy, buffer);
    co_await proxy.loop.sched.sleep(50 * kMillisecond);
    const auto request = largeRequest(100, 200'000);
    const auto begun = proxy.loop.sched.now();
    co_await client->write(request, {});
    const auto answer = co_await readMessageTypes(*client, buffer, 1);
    REQUIRE(answer == "TDCZ");
    REQUIRE(proxy.loop.sched.now() - begun < 900 * kMillisecond); // the client's timeout
    while (proxy.received.size() < 9) co_await proxy.loop.sched.sleep(10 * kMillisecond);
    writer.join();
  };
  proxy.loop.run(body());
}

namespace {

// A proxy whose endpoint answers each request with a row of as many bytes as its id says, and stops after
// `bytesBeforeStop` bytes if that is odd.
struct SizedAnswerProxy : ProxyFixture {
  explicit SizedAnswerProxy(std::size_t bytesBeforeStop)
      : ProxyFixture(
            [=](net::Socket &s, net::Buffer &b) -> sched::Task<> {
              if (!co_await ScriptedServer::acceptStartup(s, b)) co_return;
              for (;;) {
                const auto sql = co_await ScriptedServer::readQuery(s, b);
                if (sql.empty()) co_return;
                const auto size = std::stoul(sql.substr(sql.find("id=") + 3));
                auto answer = ScriptedServer::rowAnswer(std::string(size, 'x'));
                if (size % 2 != 0) answer.resize(bytesBeforeStop);
                co_await s.write(answer, {});
              }
            },
            {}) {}
};

// Returns how long a new client waits for an answer of `bytes` bytes, of which the pool can hold four
// million.
sched::Task<Nanoseconds> timeOfLargeAnswer(SizedAnswerProxy &proxy, int bytes) {
  auto client = co_await proxy.connect();
  const auto request = startupMessage() + requestMessage(bytes);
  const auto begun = proxy.loop.sched.now();
  co_await client->write(request, {});
  net::Buffer buffer;
  const auto answer = co_await readMessageTypes(*client, buffer, 2);
  REQUIRE(answer == "RZTDCZ");
  co_return proxy.loop.sched.now() - begun;
}

} // namespace

// Guards against endpoints that announce large answers and stop, and so keep the memory that the answers to
// other clients need until their attempts time out.
TEST_CASE("endpoints that stop inside large answers leave the memory to the answers of others") {
  for (const std::size_t sentBytes : {60u, 8'000u}) {
    SizedAnswerProxy proxy(sentBytes);
    auto body = [&]() -> sched::Task<> {
      std::vector<std::unique_ptr<RawClient>> waiting;
      for (const int bytes : {2'000'001, 2'000'003}) {
        waiting.push_back(std::make_unique<RawClient>(proxy.listener.address()));
        waiting.back()->write(startupMessage() + requestMessage(bytes));
      }
      co_await proxy.loop.sched.sleep(50 * kMillisecond);
      co_await timeOfLargeAnswer(proxy, 1'900'000);
      const auto log = proxy.loop.logOutput.str();
      REQUIRE(log.find("timed out") == std::string::npos); // it has not waited for the end of an attempt
    };
    proxy.loop.run(body());
  }
}

// Guards against clients that do not read large answers, and so keep the memory that the answers to other
// clients need for the five seconds that a write may take.
TEST_CASE("clients that do not read large answers leave the memory to the answers of others") {
  SizedAnswerProxy proxy(0);
  auto body = [&]() -> sched::Task<> {
    RawClient silent(proxy.listener.address(), 4096); // the kernel takes a part of the answer only
    silent.write(startupMessage() + requestMessage(4'000'000));
    co_await proxy.loop.sched.sleep(50 * kMillisecond);
    for (int i = 0; i < 3; ++i) {
      const auto time = co_await timeOfLargeAnswer(proxy, 1'900'000);
      REQUIRE(time < 500 * kMillisecond); // half of the route's timeout
    }
    const auto log = proxy.loop.logOutput.str();
    REQUIRE(log.find("their clients did not read large answers") != std::string::npos);
  };
  proxy.loop.run(body());
}
