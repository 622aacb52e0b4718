// RolloutClient: votes and the rollout event stream, against a scripted platform.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "control_fixture.h"

using namespace myrtlehead;

static const std::string kRolloutStateXml =
    "<Response><entries><item><build>2</build><stage>1</stage><phase>Progressing</phase>"
    "<cap>0.5</cap><age_ms>0</age_ms></item></entries></Response>";

// Casts one vote and returns the reply. The platform follows the script; with `otherAddress`, the client
// connects to that address instead.
static VoteReply replyToVote(ScriptedServer::Script script, const char *otherAddress = nullptr) {
  ControlFixture fixture(std::move(script));
  const auto address = *net::parseAddress(otherAddress != nullptr ? otherAddress : fixture.server.address());
  rollout::RolloutClient client(fixture.loop.sched, fixture.loop.budget, fixture.router, fixture.loop.log,
                                address, {}, 100 * kMillisecond);
  VoteReply reply{};
  auto body = [&]() -> sched::Task<> { reply = (co_await client.castVote({Verdict::promote, 2, 1})).reply; };
  fixture.loop.run(body());
  return reply;
}

TEST_CASE("the reply to a vote tells whether the vote may have been counted") {
  const auto answerWith = [](std::string answer) -> ScriptedServer::Script {
    return [=](net::Socket &s, net::Buffer &b) -> sched::Task<> {
      const auto request = co_await readRequestLine(s, b);
      REQUIRE(request == "POST /");
      co_await s.write(answer, {});
    };
  };
  const auto response = [](const char *status, const std::string &body) {
    return std::string("HTTP/1.1 ") + status + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  };
  REQUIRE(replyToVote(answerWith(response("200 OK", kRolloutStateXml))) == VoteReply::accepted);
  REQUIRE(replyToVote(answerWith(response("400 Bad", "<Error><Code>BUSY</Code></Error>"))) ==
          VoteReply::rateLimited);
  REQUIRE(replyToVote(answerWith(response("400 Bad", "<Error><Code>STALE</Code></Error>"))) ==
          VoteReply::outdated);
  REQUIRE(replyToVote(answerWith(response("500 Bad", "<Error><Code>FAILED</Code></Error>"))) ==
          VoteReply::error);
  REQUIRE(replyToVote(answerWith(response("200 OK", kRolloutStateXml).substr(0, 90))) ==
          VoteReply::timedOut); // truncated answer
  REQUIRE(replyToVote(answerWith("")) == VoteReply::timedOut);
  REQUIRE(replyToVote(answerWith(response("200 OK", "<odd"))) == VoteReply::timedOut);
  REQUIRE(replyToVote([](net::Socket &s, net::Buffer &b) -> sched::Task<> {
            while (co_await s.read(b, {}) == net::ErrorCode::none) {}
          }) == VoteReply::timedOut);                                      // no answer within the time limit
  REQUIRE(replyToVote(answerWith(""), "127.0.0.1:1") == VoteReply::error); // never connected
}

TEST_CASE("the event stream is read, and reopened after an unreadable event") {
  auto script = [](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    const auto request = co_await readRequestLine(s, b);
    REQUIRE(request == "GET /bulletin");
    const auto out =
        kChunkedResponseHead + chunk(":\n\nevent: stage\nda") +
        chunk("ta: build=2&stage=0&phase=Progressing&cap=0.1&age_ms=5\n\n") +
        chunk("event: flag\ndata: server=odd&class=read&age_ms=1\n\nevent: stage\ndata: build=x\n\n" +
              std::string("event: stage\ndata: build=9&stage=0&phase=Healthy&cap=1&age_ms=5\n\n"));
    co_await s.write(out, {});
    co_await s.read(b, {}); // until the client closes the connection
  };
  ControlFixture fixture(script);
  auto body = [&]() -> sched::Task<> {
    fixture.loop.sched.spawn(fixture.rolloutClient.followEventStream());
    while (fixture.server.acceptedConnections < 2) co_await fixture.loop.sched.sleep(kMillisecond);
    REQUIRE(fixture.loop.logOutput.str().find("ended cause=unreadable") != std::string::npos);
    // The rollout state has arrived: build 2 is a candidate, so its endpoint receives no attempt.
    fixture.router.onEndpointUpdates({{"s-1", "127.0.0.1:9", {.build = 2}}}, true);
    sched::CancellationToken cancellation;
    RequestContext context(0, 0, kSecond, false, fixture.loop.sched.now());
    const auto decision = co_await fixture.router.nextAttempt(context, cancellation);
    REQUIRE(decision.action != AttemptDecision::forward); // no exposure credit is left
  };
  fixture.loop.run(body());
}

namespace {

const std::string kRollingBack = "build=2&stage=1&phase=Aborting&cap=0&age_ms=0";
const std::string kOnTrial = "build=2&stage=1&phase=Progressing&cap=0.5&age_ms=8000";

std::string stageEvent(const std::string &state) { return chunk("event: stage\ndata: " + state + "\n\n"); }

// Returns whether any of ten requests is forwarded if all endpoints run build 2.
sched::Task<bool> forwardsToBuild2(ControlFixture &fixture) {
  fixture.router.onWatchMessage(MessageSource::currentAddress); // the endpoint list is up to date
  fixture.router.onEndpointUpdates({{"s-1", "127.0.0.1:9", {.build = 2}}}, true);
  bool isForwarded = false;
  for (int i = 0; i < 10; ++i) {
    sched::CancellationToken cancellation;
    RequestContext context(0, 0, 50 * kMillisecond, false, fixture.loop.sched.now());
    const auto decision = co_await fixture.router.nextAttempt(context, cancellation);
    isForwarded |= decision.action == AttemptDecision::forward;
  }
  co_return isForwarded;
}

} // namespace

// Guards against a build that is sent back and gets its share again, because the answer to a vote, which the
// platform wrote before the news, is read after it.
TEST_CASE("news that a build goes back is not undone by an older answer to a vote") {
  bool hasVoted = false, isNewsRead = false;
  EventLoop *loop = nullptr;
  const auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    const auto request = co_await readRequestLine(s, b);
    std::string out = kChunkedResponseHead + stageEvent(kRollingBack);
    if (request == "POST /") {
      hasVoted = true;
      while (!isNewsRead) co_await loop->sched.sleep(kMillisecond);
      out = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kRolloutStateXml.size()) + "\r\n\r\n" +
            kRolloutStateXml;
    }
    while (!hasVoted) co_await loop->sched.sleep(kMillisecond);
    co_await s.write(out, {});
    co_await s.read(b, {});
  };
  ControlFixture fixture(script);
  loop = &fixture.loop;
  const auto body = [&]() -> sched::Task<> {
    fixture.loop.sched.spawn(fixture.rolloutClient.followEventStream());
    fixture.loop.sched.spawn(fixture.rolloutClient.sendVotes());
    fixture.router.onRolloutState({2, 1, RolloutPhase::evaluating, 0.5, 20 * kSecond});
    fixture.router.onEndpointUpdates({{"s-1", "127.0.0.1:9", {.build = 2}}}, true);
    while (!hasVoted) co_await fixture.loop.sched.sleep(kMillisecond);
    co_await fixture.loop.sched.sleep(20 * kMillisecond);
    isNewsRead = true;
    co_await fixture.loop.sched.sleep(20 * kMillisecond);
    const bool forwardsAfterNews = co_await forwardsToBuild2(fixture);
    REQUIRE(!forwardsAfterNews);
  };
  fixture.loop.run(body());
}

// Guards against an older state that comes on a new stream, or from a platform's new address after SIGHUP.
TEST_CASE("news that a build goes back is not undone by an older state on another stream") {
  for (const bool isMoved : {false, true}) {
    int streams = 0;
    const auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
      co_await readRequestLine(s, b);
      const auto out = kChunkedResponseHead + stageEvent(++streams == 1 ? kRollingBack : kOnTrial);
      co_await s.write(out, {});
      if (streams == 1 && !isMoved) co_return; // the stream ends, and another one is opened
      co_await s.read(b, {});
    };
    ControlFixture fixture(script);
    ScriptedServer other(fixture.loop, script);
    const auto body = [&]() -> sched::Task<> {
      fixture.loop.sched.spawn(fixture.rolloutClient.followEventStream());
      while (streams < 1) co_await fixture.loop.sched.sleep(kMillisecond);
      co_await fixture.loop.sched.sleep(20 * kMillisecond);
      if (isMoved) fixture.rolloutClient.moveTo(*net::parseAddress(other.address()));
      while (streams < 2) co_await fixture.loop.sched.sleep(kMillisecond);
      co_await fixture.loop.sched.sleep(20 * kMillisecond);
      const bool forwards = co_await forwardsToBuild2(fixture);
      REQUIRE(!forwards);
    };
    fixture.loop.run(body());
  }
}

// Guards against news that is lost with the stream on which the platform wrote it, because a newer stream,
// from an address that lags behind, has delivered its first state in the same scheduler round.
TEST_CASE("news on a stream is handled although a newer stream takes its place before it is read") {
  EventLoop *loop = nullptr;
  net::Socket *newStream = nullptr;
  bool isNewsWritten = false;
  const auto onTrial = kChunkedResponseHead + stageEvent(kOnTrial);
  const auto moved = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await readRequestLine(s, b);
    newStream = &s;
    co_await s.read(b, {}); // until the client closes the connection
  };
  const auto first = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await readRequestLine(s, b);
    co_await s.write(onTrial, {});
    while (newStream == nullptr) co_await loop->sched.sleep(kMillisecond);
    REQUIRE(newStream->tryWrite(onTrial)); // readable before the older stream
    REQUIRE(s.tryWrite(stageEvent(kRollingBack)));
    isNewsWritten = true;
    co_await s.read(b, {});
  };
  ControlFixture fixture(first);
  ScriptedServer other(fixture.loop, moved);
  loop = &fixture.loop;
  const auto body = [&]() -> sched::Task<> {
    fixture.loop.sched.spawn(fixture.rolloutClient.followEventStream());
    co_await fixture.loop.sched.sleep(20 * kMillisecond);
    fixture.rolloutClient.moveTo(*net::parseAddress(other.address()));
    while (!isNewsWritten) co_await fixture.loop.sched.sleep(kMillisecond);
    co_await fixture.loop.sched.sleep(20 * kMillisecond);
    const bool forwards = co_await forwardsToBuild2(fixture);
    REQUIRE(!forwards);
  };
  fixture.loop.run(body());
}

// Guards against news that is lost because the answer to a vote, which tells it, arrives after the call's
// timeout.
TEST_CASE("news in an answer to a vote is handled although the call has timed out") {
  EventLoop *loop = nullptr;
  bool isAnswered = false;
  const auto script = [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await readRequestLine(s, b);
    co_await loop->sched.sleep(150 * kMillisecond); // the fixture's timeout is 100 ms
    std::string body = kRolloutStateXml;
    body.replace(body.find("Progressing"), std::string_view("Progressing").size(), "Aborting");
    body.replace(body.find("0.5"), std::string_view("0.5").size(), "0");
    const auto head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    const auto answer = head + body;
    co_await s.write(answer, {});
    isAnswered = true;
    co_await s.read(b, {});
  };
  ControlFixture fixture(script);
  loop = &fixture.loop;
  const auto body = [&]() -> sched::Task<> {
    fixture.router.onRolloutState({2, 1, RolloutPhase::evaluating, 0.5, 20 * kSecond});
    const auto answer = co_await fixture.rolloutClient.castVote({Verdict::promote, 2, 1});
    REQUIRE(answer.reply == VoteReply::timedOut);
    while (!isAnswered) co_await fixture.loop.sched.sleep(kMillisecond);
    co_await fixture.loop.sched.sleep(20 * kMillisecond);
    const bool forwards = co_await forwardsToBuild2(fixture);
    REQUIRE(!forwards);
  };
  fixture.loop.run(body());
}
