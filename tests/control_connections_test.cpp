// The configuration, and what discovery, the platform and other instances may do to them.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "control_fixture.h"

#include "app/bootstrap/bootstrap_config.h"
#include "control/peers/peer_transport.h"

#include <ctime>
#include <fcntl.h>
#include <unistd.h>

using namespace myrtlehead;

static const std::string kNews =
    "<Response><entries><item><build>2</build><stage>1</stage><phase>Progressing</phase>"
    "<cap>0.5</cap><age_ms>0</age_ms></item></entries></Response>";

// The outcome of one vote, by what the platform does with its call.
static VoteReply replyTo(StandIn::Script script, const char *elsewhere = nullptr) {
  Calls c(std::move(script));
  const auto at = *net::parseAddress(elsewhere != nullptr ? elsewhere : c.server.address());
  rollout::RolloutClient desk(c.loop.sched, c.loop.budget, c.router, c.loop.log, at, {}, 100 * kMillisecond);
  VoteReply reply{};
  auto body = [&]() -> sched::Task<> { reply = (co_await desk.call("Action=RecordOpinion")).reply; };
  c.loop.run(body());
  return reply;
}

TEST_CASE("a vote is answered or may count") {
  const auto says = [](std::string answer) -> StandIn::Script {
    return [=](net::Socket &s, net::Buffer &b) -> sched::Task<> {
      const auto result = co_await requestLine(s, b);
      REQUIRE(result == "POST /");
      co_await s.write(answer, {});
    };
  };
  const auto answer = [](const char *status, const std::string &body) {
    return std::string("HTTP/1.1 ") + status + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  };
  REQUIRE(replyTo(says(answer("200 OK", kNews))) == VoteReply::accepted);
  REQUIRE(replyTo(says(answer("400 Bad", "<Error><Code>BUSY</Code></Error>"))) == VoteReply::rateLimited);
  REQUIRE(replyTo(says(answer("400 Bad", "<Error><Code>STALE</Code></Error>"))) == VoteReply::outdated);
  REQUIRE(replyTo(says(answer("500 Bad", "<Error><Code>FAILED</Code></Error>"))) == VoteReply::error);
  REQUIRE(replyTo(says(answer("200 OK", kNews).substr(0, 90))) == VoteReply::timedOut); // it may have counted
  REQUIRE(replyTo(says("")) == VoteReply::timedOut);
  REQUIRE(replyTo(says(answer("200 OK", "<odd"))) == VoteReply::timedOut);
  REQUIRE(replyTo([](net::Socket &s, net::Buffer &b) -> sched::Task<> {
            while (co_await s.read(b, {}) == net::ErrorCode::none) {}
          }) == VoteReply::timedOut);                            // no answer in the call's time
  REQUIRE(replyTo(says(""), "127.0.0.1:1") == VoteReply::error); // never connected
}

static std::string whole(const std::string &body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A platform that stands still and then answers all at once: a late answer is not the next call's.
TEST_CASE("a late answer is not the next calls") {
  auto script = [](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await requestLine(s, b);
    const auto late = whole("late"), second = whole("second");
    while (b.view().find("POST /2") == std::string_view::npos) co_await s.read(b, {});
    co_await s.write(late, {});
    co_await s.write(second, {});
    co_await s.read(b, {});
  };
  Calls c(script);
  http_client::PersistentConnection line(c.loop.sched, c.loop.budget, *net::parseAddress(c.server.address()));
  auto body = [&]() -> sched::Task<> {
    const net::Deadline soon{c.loop.sched.now() + 50 * kMillisecond, nullptr};
    auto request = http::writeRequest("POST", "/1", "platform");
    const auto first = co_await line.call(request, soon);
    REQUIRE(!first);
    REQUIRE(first.failure().cause == net::ErrorCode::timedOut);
    REQUIRE(first.failure().progress == net::SendProgress::fullyWritten);
    c.server.listener->shutDown(); // a new connection does not come up: the old one carries the call
    const net::Deadline later{c.loop.sched.now() + kSecond, nullptr};
    request = http::writeRequest("POST", "/2", "platform");
    auto answered = co_await line.call(request, later);
    REQUIRE(answered);
    REQUIRE(answered->body == "second");
    REQUIRE(c.server.accepted == 1);
  };
  c.loop.run(body());
}

// The answer and the deadline fall into one round: it has come, and the connection is as good as before.
TEST_CASE("an answer in the round of its deadline counts") {
  Loop *loop = nullptr;
  Nanoseconds deadline = 0;
  auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    const auto answer = whole("in time");
    co_await requestLine(s, b);
    co_await loop->sched.sleep(deadline - loop->sched.now() - 150 * kMillisecond);
    co_await s.write(answer, {});
    timespec t{};
    do clock_gettime(CLOCK_MONOTONIC, &t); // holds the round back until both are due
    while (t.tv_sec * kSecond + t.tv_nsec < deadline + kMillisecond);
    co_await requestLine(s, b);
    co_await s.write(answer, {});
    co_await s.read(b, {});
  };
  Calls c(script);
  loop = &c.loop;
  http_client::PersistentConnection line(c.loop.sched, c.loop.budget, *net::parseAddress(c.server.address()));
  auto body = [&]() -> sched::Task<> {
    deadline = c.loop.sched.now() + 200 * kMillisecond;
    const net::Deadline until{deadline, nullptr}, later{deadline + kSecond, nullptr};
    const auto request = http::writeRequest("POST", "/", "platform");
    auto first = co_await line.call(request, until);
    REQUIRE(first);
    REQUIRE(first->body == "in time");
    auto second = co_await line.call(request, later);
    REQUIRE(second);
    REQUIRE(c.server.accepted == 1);
  };
  c.loop.run(body());
}

// A call that could not be written whole leaves no connection behind, whatever the other side does.
TEST_CASE("half a call ends its connection") {
  auto script = [](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    net::Buffer none;
    co_await s.readable({}); // and reads nothing until the other end has gone
    sched::CancellationToken gone;
    s.onHangUp(&gone);
    (void)b;
    co_await s.readable({sched::kNever, &gone});
  };
  Calls c(script);
  http_client::PersistentConnection line(c.loop.sched, c.loop.budget, *net::parseAddress(c.server.address()));
  auto body = [&]() -> sched::Task<> {
    const int left = c.loop.budget.left();
    const net::Deadline soon{c.loop.sched.now() + 50 * kMillisecond, nullptr};
    auto failed = co_await line.call(std::string(32 << 20, 'x'), soon);
    REQUIRE(!failed);
    REQUIRE(failed.failure().progress == net::SendProgress::partlyWritten);
    line.giveUp();
    co_await c.loop.sched.sleep(20 * kMillisecond);
    REQUIRE(c.loop.budget.left() >= left - 1); // the stand-in's end alone may still stand
  };
  c.loop.run(body());
}

// A vote that is out when the platform moves is answered where it was written; the next goes to the new
// place.
TEST_CASE("a call outlives its address") {
  const auto answersLater = [](std::string text, Nanoseconds after, Loop *&loop) -> StandIn::Script {
    return [=, &loop](net::Socket &s, net::Buffer &b) -> sched::Task<> {
      const auto answer = whole(text);
      while (!(co_await requestLine(s, b)).empty()) {
        co_await loop->sched.sleep(after);
        co_await s.write(answer, {});
      }
    };
  };
  Loop *loop = nullptr;
  Calls c(answersLater("old", 30 * kMillisecond, loop));
  loop = &c.loop;
  StandIn there(c.loop, answersLater("new", 0, loop));
  http_client::PersistentConnection line(c.loop.sched, c.loop.budget, *net::parseAddress(c.server.address()));
  auto move = [&]() -> sched::Task<> {
    co_await c.loop.sched.sleep(10 * kMillisecond);
    line.moveTo(*net::parseAddress(there.address()));
  };
  auto body = [&]() -> sched::Task<> {
    c.loop.sched.spawn(line.keepOpen());
    c.loop.sched.spawn(move());
    const auto request = http::writeRequest("POST", "/", "platform");
    for (const auto *expected : {"old", "new"}) {
      const net::Deadline until{c.loop.sched.now() + kSecond, nullptr};
      auto answered = co_await line.call(request, until);
      REQUIRE(answered);
      REQUIRE(answered->body == expected);
    }
    co_await c.loop.sched.sleep(10 * kMillisecond);
    REQUIRE(c.server.ended == 1);
    REQUIRE(there.accepted == 1);
    line.giveUp(); // a spoilt answer: another connection takes the next call
    co_await c.loop.sched.sleep(10 * kMillisecond);
    REQUIRE(there.ended == 1);
    REQUIRE(there.accepted == 2);
  };
  c.loop.run(body());
}

// An idle closing is survived: the standing connection is opened again, and a call on it is written once.
TEST_CASE("the standing connection is kept open") {
  std::vector<std::string> asked;
  auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    if (asked.empty())
      asked.push_back("closed"); // the first connection ends at once
    else
      asked.push_back(co_await requestLine(s, b));
    const auto answer = whole("x");
    if (asked.size() > 1) co_await s.write(answer, {});
  };
  Calls c(script);
  http_client::PersistentConnection line(c.loop.sched, c.loop.budget, *net::parseAddress(c.server.address()));
  auto body = [&]() -> sched::Task<> {
    c.loop.sched.spawn(line.keepOpen());
    while (c.server.accepted < 2) co_await c.loop.sched.sleep(kMillisecond);
    const net::Deadline until{c.loop.sched.now() + kSecond, nullptr};
    const auto request = http::writeRequest("POST", "/1", "platform");
    auto answered = co_await line.call(request, until);
    REQUIRE(answered);
    REQUIRE(answered->status == 200);
    REQUIRE(asked.size() == 2);
    REQUIRE(asked[1] == "POST /1");
  };
  c.loop.run(body());
}

TEST_CASE("the bulletin is read and opened again") {
  auto script = [](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    const auto result = co_await requestLine(s, b);
    REQUIRE(result == "GET /bulletin");
    const auto out =
        kStream + chunk(":\n\nevent: stage\nda") +
        chunk("ta: build=2&stage=0&phase=Progressing&cap=0.1&age_ms=5\n\n") +
        chunk("event: flag\ndata: server=odd&class=read&age_ms=1\n\nevent: stage\ndata: build=x\n\n" +
              std::string("event: stage\ndata: build=9&stage=0&phase=Healthy&cap=1&age_ms=5\n\n"));
    co_await s.write(out, {});
    co_await s.read(b, {}); // left by the instance, for it can't be read on
  };
  Calls c(script);
  auto body = [&]() -> sched::Task<> {
    c.loop.sched.spawn(c.desk.readBulletin());
    while (c.server.accepted < 2) co_await c.loop.sched.sleep(kMillisecond);
    REQUIRE(c.loop.lines.str().find("ended cause=unreadable") != std::string::npos);
    // The news has come: an endpoint of the named build counts as on trial, and so does not take a first
    // write.
    c.router.onEndpointUpdates({{"s-1", "127.0.0.1:9", {.build = 2}}}, true);
    sched::CancellationToken stop;
    RequestContext call(0, 0, kSecond, false, c.loop.sched.now());
    const auto result2 = co_await c.router.nextAttempt(call, stop);
    REQUIRE(result2.action != AttemptDecision::forward); // no credit is left to it
  };
  c.loop.run(body());
}

TEST_CASE("datagrams from elsewhere are ignored") {
  Loop loop;
  auto d = smallDeployment();
  d.instanceCount = 2;
  Router router(loop.sched, d, 7, loop.log);
  const auto any = *net::parseAddress("127.0.0.1:0");
  auto peer = net::datagramsAt(loop.sched, loop.budget, any),
       foreign = net::datagramsAt(loop.sched, loop.budget, any);
  peers::PeerTransport notes(loop.sched, loop.budget, router, any, {any, net::localAddress(*peer)}, any);
  const auto to = notes.address();
  router.onRolloutState({2, 0, RolloutPhase::evaluating, 0.1, 0});
  const auto against = encodeReport({0, 2, 9, 0, 50, 60});
  const auto send = [&](const net::Socket &from, std::size_t size) {
    std::vector<std::uint8_t> bytes = against;
    bytes.resize(size);
    REQUIRE(sendto(from.fd(), bytes.data(), size, 0, to.raw(), to.size()) > 0);
  };
  auto body = [&]() -> sched::Task<> {
    loop.sched.spawn(notes.receive());
    loop.sched.spawn(router.run());
    send(*foreign, against.size());
    send(*peer, 300);
    send(*peer, 3);
    co_await loop.sched.sleep(20 * kMillisecond);
    REQUIRE(loop.lines.str().find("judged bad") == std::string::npos);
    send(*peer, against.size());
    co_await loop.sched.sleep(20 * kMillisecond);
    REQUIRE(loop.lines.str().find("judged bad") != std::string::npos);
    const auto vote = co_await router.nextVote();
    REQUIRE(vote.verdict == Verdict::rollBack);
    REQUIRE(vote.build == 2);
  };
  loop.run(body());
}

static const std::string kStation =
    R"({"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f",
  "limits":{"sockets":512},"peer_listen":"127.0.0.1:3","peers":["127.0.0.1:3","127.0.0.1:4"],
  "platform":{"address":"127.0.0.1:5"},"settings":{"me":1,"peersTotal":2,"limits":{"peers":true,"connIdleUs":7000},
  "failureDomains":["a","b"],"familyInfo":{"caps":[0.1,1.0],"control":"by_count"},"telemetry":{"fields":["cpu","waiting"]},
  "services":[{"name":"read","effect":"free","onTimeUs":5000},{"name":"write","effect":"guarded"}]}})";

TEST_CASE("what needs a restart is named") {
  auto other = kStation;
  other.replace(other.find("127.0.0.1:2"), 11, "127.0.0.1:9");
  other.replace(other.find("8c1f"), 4, "1234");
  const auto s = bootstrap::readBootstrapConfig(kStation);
  REQUIRE(bootstrap::needsRestart(s, bootstrap::readBootstrapConfig(other)).empty());
  other.replace(other.find("512"), 3, "256");
  other.replace(other.find("guarded"), 7, "free");
  REQUIRE(bootstrap::needsRestart(s, bootstrap::readBootstrapConfig(other)) == "limits, settings");
}

TEST_CASE("the configuration is decoded once") {
  const auto s = bootstrap::readBootstrapConfig(kStation);
  REQUIRE(s.name == "n0");
  REQUIRE(s.seed == 0x8c1f);
  REQUIRE(s.maxDescriptors == 512);
  REQUIRE(s.peerAddresses.size() == 2);
  REQUIRE(s.routeNames == (std::vector<std::string>{"read", "write"}));
  REQUIRE(s.zoneNames.size() == 2);
  REQUIRE(s.loadReportNames.size() == 2);
  REQUIRE(s.deployment.ownIndex == 1);
  REQUIRE(s.deployment.instanceCount == 2);
  REQUIRE(s.deployment.hasPeers);
  REQUIRE(s.idleTimeout == 7 * kMillisecond);
  REQUIRE(s.deployment.routes[0].latencyObjective == 5 * kMillisecond);
  REQUIRE(s.deployment.routes[1].idempotency == Idempotency::idempotentWithKey);
  REQUIRE(s.deployment.rollout.stageCaps == (std::vector<double>{0.1, 1}));
  REQUIRE(s.deployment.loadReportFields[1] == LoadReportField::queued);
}

TEST_CASE("a bad configuration is named") {
  const auto fault = [](std::string from, const std::string &to) {
    auto text = kStation;
    if (!from.empty()) text.replace(text.find(from), from.size(), to);
    try {
      bootstrap::readBootstrapConfig(from.empty() ? to : text);
    } catch (const bootstrap::ConfigError &e) {
      return std::string(e.what());
    }
    return std::string();
  };
  REQUIRE(fault("", "{").find("no JSON") != std::string::npos);
  REQUIRE(fault("", "[]").find("no JSON") != std::string::npos);
  REQUIRE(fault("127.0.0.1:2", "nowhere").find("discovery") != std::string::npos);
  REQUIRE(fault("\"8c1f\"", "\"xyz\"").find("seed") != std::string::npos);
  REQUIRE(fault(R"("name":"n0",)", "").find("name") != std::string::npos);
  REQUIRE(fault("512", "-1").find("limits.sockets") != std::string::npos);
  REQUIRE(fault(R"(,"127.0.0.1:4")", "").find("peers") != std::string::npos);
  REQUIRE(fault("\"me\":1", "\"me\":\"x\"").find("me") != std::string::npos);
  REQUIRE(fault("guarded", "magic").find("effect") != std::string::npos);
}

TEST_CASE("logs filter by package and keep their fields") {
  std::ostringstream text, lines;
  const auto levels = *log::parseLevels("warning,nodes=debug");
  log::Logs(text, log::Form::text, levels).of("names").info("quiet");
  log::Logs(text, log::Form::text, levels).of("nodes").debug("try", {{"node", "s 1"}, {"ms", 7}});
  REQUIRE(text.str().substr(24) == " debug nodes: try node=\"s 1\" ms=7\n");
  log::Logs(lines, log::Form::json, levels).of("names").warning("a \"b\"\n", {{"stale", true}});
  const auto value = json::parse(lines.str().substr(0, lines.str().size() - 1));
  REQUIRE(value);
  REQUIRE(value->find("message")->text == "a \"b\"\n");
  REQUIRE(value->find("stale")->truth);
  REQUIRE(value->find("package")->text == "names");
  REQUIRE(!log::parseLevels("loud"));
  REQUIRE(!log::parseLevels("a=b"));
}

// A reader that stands still costs lines, not time; how many is told.
TEST_CASE("a slow reader is not waited for") {
  int fds[2];
  REQUIRE(pipe2(fds, O_NONBLOCK) == 0);
  log::Logs logs(fds[1], log::Form::text, {});
  const auto log = logs.of("test");
  for (int i = 0; i < 5000; ++i) log.info("a line that fills the pipe before long", {{"i", i}});
  REQUIRE(logs.dropped() > 0);
  std::string all(1 << 20, 0);
  REQUIRE(read(fds[0], all.data(), all.size()) > 0);
  log.info("on");
  const auto n = read(fds[0], all.data(), all.size());
  REQUIRE(std::string_view(all.data(), static_cast<std::size_t>(n)).find("log lines dropped") != all.npos);
  close(fds[0]), close(fds[1]);
}
