// Requests while system calls fail for a moment.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "app/signals.h"
#include "control_fixture.h"
#include "downstream/client_session.h"
#include "failing_calls.h"
#include "raw_client.h"

#include <csignal>

using namespace myrtlehead;

// Guards against requests that are read and closed unanswered because a system call fails for a moment.
TEST_CASE("a request is served although system calls of its connection fail for a moment") {
  struct Case {
    const char *call;
    InjectedFailure &failure;
    int error;
  };
  const std::vector<Case> cases{{"recv", recvFailure, EINTR},       {"recv", recvFailure, ENOMEM},
                                {"recv", recvFailure, ENOBUFS},     {"send", sendFailure, EINTR},
                                {"send", sendFailure, ENOBUFS},     {"send", sendFailure, ENOMEM},
                                {"accept4", acceptFailure, EINTR},  {"accept4", acceptFailure, ENOMEM},
                                {"accept4", acceptFailure, ENFILE}, {"epoll_ctl", epollFailure, ENOMEM},
                                {"epoll_ctl", epollFailure, ENOSPC}};
  for (const auto &tested : cases) {
    CAPTURE(tested.call);
    CAPTURE(tested.error);
    FixedAnswerProxy proxy;
    auto body = [&]() -> sched::Task<> {
      RawClient client(proxy.listener.address());
      client.write(startupMessage() + requestMessage(1));
      tested.failure = {tested.error, 3};
      for (int i = 0; i < 80 && client.answers() != "RZTDCZ"; ++i) {
        co_await proxy.loop.sched.sleep(10 * kMillisecond);
        const auto paused = std::exchange(tested.failure, {}); // the client's own calls do not fail
        client.readAvailable();
        tested.failure = paused;
      }
      REQUIRE(client.answers() == "RZTDCZ");
      REQUIRE(tested.failure.calls == 0);
    };
    proxy.loop.run(body());
  }
}

// Guards against a probe of a client with unread requests that ends the connection because it could not be
// written.
TEST_CASE("requests are answered although a probe of their client can't be written for a moment") {
  constexpr int kRequests = 600;
  FixedAnswerProxy proxy(ScriptedServer::rowAnswer("value"), 200 * kMillisecond);
  auto body = [&]() -> sched::Task<> {
    RawClient client(proxy.listener.address());
    std::string bytes = startupMessage();
    for (int id = 0; id < kRequests; ++id) bytes += requestMessage(id);
    client.write(bytes);
    while (proxy.received.size() < 128) co_await proxy.loop.sched.sleep(kMillisecond);
    sendFailure = {ENOBUFS, 1}; // nothing but the probe is written before the first answer
    while (sendFailure.calls > 0) co_await proxy.loop.sched.sleep(kMillisecond);
    const auto answered = [&] {
      const auto types = client.answers();
      return std::count(types.begin(), types.end(), 'Z') == 1 + kRequests;
    };
    for (int i = 0; i < 400 && !answered(); ++i) {
      co_await proxy.loop.sched.sleep(10 * kMillisecond);
      client.readAvailable();
    }
    CHECK(answered());
  };
  proxy.loop.run(body());
}

// Guards against a listening socket that is closed, with connections in its backlog, after the system has
// been short of descriptors for a moment.
TEST_CASE("the backlog is served during a shutdown although accepting fails for a moment") {
  FixedAnswerProxy proxy;
  auto body = [&]() -> sched::Task<> {
    RawClient client(proxy.listener.address());
    auto shutdown = proxy.listener.shutDown();
    acceptFailure = {ENFILE, 8}; // in the backlog at the time at which it is accepted to its end
    client.write(startupMessage() + requestMessage(1));
    co_await shutdown;
    REQUIRE(acceptFailure.calls == 0);
    REQUIRE(client.readToEnd() == "RZTDCZ");
  };
  proxy.loop.run(body());
}

// Guards against an instance that is asked to shut down, does not, and is killed with requests in flight.
TEST_CASE("a shutdown is begun although reading its signal fails for a moment") {
  for (const int error : {EINTR, ENOMEM}) {
    FixedAnswerProxy proxy;
    app::ReloadRequest reload;
    net::Socket signals(proxy.loop.sched, proxy.loop.budget, app::openSignalDescriptor());
    auto body = [&]() -> sched::Task<> {
      proxy.loop.sched.spawn(
          app::handleSignals(proxy.loop.sched, signals, proxy.listener, nullptr, reload, proxy.loop.log));
      co_await proxy.loop.sched.sleep(10 * kMillisecond); // it waits for a signal
      failingReadFd = signals.fd();
      readFailure = {error, 2};
      REQUIRE(raise(SIGTERM) == 0);
      co_await proxy.loop.sched.sleep(100 * kMillisecond);
      const auto log = proxy.loop.logOutput.str();
      REQUIRE(log.find("shutdown requested") != std::string::npos);
    };
    proxy.loop.run(body());
  }
}

// Guards against a request, and those behind it, closed unanswered because memory could not be allocated.
TEST_CASE("a request is answered although memory for its answer can't be allocated") {
  FixedAnswerProxy proxy(ScriptedServer::rowAnswer(std::string(200'000, 'x')));
  auto body = [&]() -> sched::Task<> {
    RawClient client(proxy.listener.address());
    client.write(startupMessage() + queryMessage("SELECT 1") + requestMessage(1, "once"));
    while (proxy.received.empty()) co_await proxy.loop.sched.sleep(0);
    allocationFailure = {ENOMEM, 1};
    co_await proxy.loop.sched.sleep(200 * kMillisecond);
    client.readAvailable();
    REQUIRE(allocationFailure.calls == 0);
    std::string codes;
    REQUIRE(client.answers(&codes) == "RZTDCZEZ");
    REQUIRE(codes == "XX000 ");
    client.write(queryMessage("SELECT 1"));
    co_await proxy.loop.sched.sleep(20 * kMillisecond);
    client.readAvailable();
    REQUIRE(client.answers() == "RZTDCZEZTDCZ");
  };
  proxy.loop.run(body());
}

// Guards against a connection that is closed, with a request in flight, because memory for the next request
// could not be allocated.
TEST_CASE("a connection goes on although memory for a large request can't be allocated") {
  for (int succeeding = 0; succeeding < 4; ++succeeding) {
    CAPTURE(succeeding);
    FixedAnswerProxy proxy(ScriptedServer::rowAnswer("value"), 50 * kMillisecond);
    auto body = [&]() -> sched::Task<> {
      auto client = co_await proxy.connect();
      net::Buffer buffer;
      const auto first = startupMessage() + requestMessage(1);
      const auto large = queryMessage("SELECT v FROM records WHERE k = '" + std::string(200'000, 'x') +
                                      "' /* id=2,c=read,d=900 */");
      const auto last = requestMessage(3);
      co_await client->write(first, {});
      while (proxy.received.empty()) co_await proxy.loop.sched.sleep(0);
      allocationsBeforeFailure = succeeding;
      allocationFailure = {ENOMEM, 1};
      co_await client->write(large, {});
      co_await client->write(last, {});
      const auto messages = co_await readMessageTypes(*client, buffer, 4);
      REQUIRE(allocationFailure.calls == 0);
      CAPTURE(messages);
      REQUIRE((messages == "RZTDCZEZTDCZ" || messages == "RZTDCZTDCZTDCZ"));
    };
    proxy.loop.run(body());
  }
}

// Guards against an instance that accepts no further connection after one for which there was no memory.
TEST_CASE("connections are accepted after memory for one can't be allocated") {
  for (const auto size : {sizeof(net::Socket), sizeof(downstream::ClientSession)}) {
    CAPTURE(size);
    FixedAnswerProxy proxy;
    auto body = [&]() -> sched::Task<> {
      co_await proxy.loop.sched.sleep(10 * kMillisecond);
      RawClient first(proxy.listener.address());
      minFailingSize = maxFailingSize = size;
      allocationFailure = {ENOMEM, 1};
      co_await proxy.loop.sched.sleep(20 * kMillisecond);
      REQUIRE(allocationFailure.calls == 0);
      RawClient second(proxy.listener.address());
      second.write(startupMessage() + requestMessage(1));
      for (int i = 0; i < 40 && second.answers() != "RZTDCZ"; ++i) {
        co_await proxy.loop.sched.sleep(10 * kMillisecond);
        second.readAvailable();
      }
      REQUIRE(second.answers() == "RZTDCZ");
    };
    proxy.loop.run(body());
  }
}

// Guards against an instance that hears no more of the rollout, because memory for one read of the event
// stream could not be allocated.
TEST_CASE("the rollout event stream is opened again after memory for it can't be allocated") {
  for (int succeeding = 0; succeeding < 4; ++succeeding) { // the server's read buffers have the same size
    CAPTURE(succeeding);
    int openStreams = 0;
    const auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
      co_await readRequestLine(s, b);
      const auto event = kChunkedResponseHead +
                         chunk("event: stage\ndata: build=2&stage=1&phase=Aborting&cap=0&age_ms=0\n\n");
      co_await s.write(event, {});
      ++openStreams;
      co_await s.read(b, {});
      --openStreams;
    };
    ControlFixture fixture(script);
    const auto body = [&]() -> sched::Task<> {
      minFailingSize = maxFailingSize = 4096; // of a new read buffer
      allocationsBeforeFailure = succeeding;
      allocationFailure = {ENOMEM, 1};
      fixture.loop.sched.spawn(fixture.rolloutClient.followEventStream());
      co_await fixture.loop.sched.sleep(600 * kMillisecond);
      allocationFailure = {};
      REQUIRE(openStreams == 1);
    };
    fixture.loop.run(body());
  }
}
