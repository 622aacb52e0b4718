// Shared by the tests of the client-facing side: a proxy with one endpoint behind it, and the messages that
// clients write and read.
#pragma once

#include <doctest/doctest.h>

#include "fixtures.h"

#include "downstream/listener.h"

namespace myrtlehead {

inline const std::string kStatement = "SELECT v FROM records WHERE k = '7f' /* id=1,c=read,d=480 */";

inline std::string startupMessage() {
  std::string out;
  pg::addStartup(out, "svc", "main");
  return out;
}

inline std::string queryMessage(std::string_view sql) {
  std::string out;
  pg::addQuery(out, sql);
  return out;
}

// The proxy's client-facing side and one scripted endpoint, which runs a released build.
struct ProxyFixture {
  enum class Sweep { off, on };
  struct Options {
    int descriptors = 1000; // size of the listener's descriptor budget
    Nanoseconds routeTimeout = kSecond;
    Sweep sweep = Sweep::on;
  };
  ProxyFixture(ScriptedServer::Script script, Options options)
      : budget(options.descriptors), endpoint(loop, std::move(script)),
        router(loop.sched, smallDeployment(), 7, loop.log),
        pool(loop.sched, loop.budget, loop.log, 100 * kMillisecond, 30 * kSecond, {"waiting"}, 0),
        listener(loop.sched, budget, router, pool, loop.log, *net::parseAddress("127.0.0.1:0"),
                 {"read", "write", "once"}, std::vector<Nanoseconds>(3, options.routeTimeout), 0) {
    router.onRolloutState({1, 2, RolloutPhase::released, 1, 0});
    router.onEndpointUpdates({{"s-1", endpoint.address(), {.build = 1}}}, true);
    loop.sched.spawn(listener.acceptConnections());
    loop.sched.spawn(listener.probeUnreadClients());
    if (options.sweep == Sweep::on) loop.sched.spawn(listener.sweepIdleConnections());
  }
  sched::Task<std::unique_ptr<net::Socket>> connect() {
    auto socket = co_await net::connect(loop.sched, loop.budget, listener.address(), {});
    REQUIRE(socket);
    co_return std::move(*socket);
  }
  EventLoop loop;
  net::DescriptorBudget budget; // the listener's
  ScriptedServer endpoint;
  Router router;
  upstream::ConnectionPool pool;
  downstream::Listener listener;
};

// A proxy whose endpoint answers each request with `answer` after `delay`.
struct FixedAnswerProxy : ProxyFixture {
  explicit FixedAnswerProxy(std::string answer = ScriptedServer::rowAnswer("value"), Nanoseconds delay = 0,
                            int descriptors = 1000)
      : ProxyFixture(
            [this, answer, delay](net::Socket &s, net::Buffer &b) -> sched::Task<> {
              if (!co_await ScriptedServer::acceptStartup(s, b)) co_return;
              for (;;) {
                const auto sql = co_await ScriptedServer::readQuery(s, b);
                if (sql.empty()) co_return;
                received.push_back(sql);
                if (delay > 0) co_await loop.sched.sleep(delay);
                co_await s.write(answer, {});
              }
            },
            {.descriptors = descriptors}) {}
  std::vector<std::string> received; // statements received by the endpoint
};

// Reads up to the n-th ReadyForQuery or the end of the connection, and returns the messages' types, without
// ParameterStatus and BackendKeyData. "!" stands for the end of the connection. `code` receives the SQLSTATE
// of the last error, `value` the last row's value.
inline sched::Task<std::string> readMessageTypes(net::Socket &s, net::Buffer &b, int readyCount,
                                                 std::string *code = nullptr, std::string *value = nullptr) {
  std::string out;
  while (readyCount > 0) {
    pg::Message m;
    if (pg::parseMessage(b.view(), m, pg::kMaxRowBytes) != pg::ParseStatus::complete) {
      if (co_await s.read(b, {}) != net::ErrorCode::none) co_return out + "!";
      continue;
    }
    if (m.type != 'S' && m.type != 'K') out += m.type;
    if (m.type == 'E' && code != nullptr) *code = pg::errorCode(m.body);
    if (m.type == 'D' && value != nullptr) *value = m.body.substr(6);
    if (m.type == 'Z') --readyCount;
    b.consume(m.size);
  }
  co_return out;
}

// Writes `bytes` on a new connection and returns the types of the reply's messages, up to the n-th
// ReadyForQuery.
inline std::string replyTo(FixedAnswerProxy &proxy, const std::string &bytes, int readyCount,
                           std::string *code = nullptr) {
  std::string out;
  auto body = [&]() -> sched::Task<> {
    auto client = co_await proxy.connect();
    co_await client->write(bytes, {});
    net::Buffer b;
    out = co_await readMessageTypes(*client, b, readyCount, code);
  };
  proxy.loop.run(body());
  return out;
}

} // namespace myrtlehead
