// The connections to the platform: votes and the rollout event stream.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "control_fixture.h"

using namespace myrtlehead;

static const std::string kRolloutStateXml =
    "<Response><entries><item><build>2</build><stage>1</stage><phase>Progressing</phase>"
    "<cap>0.5</cap><age_ms>0</age_ms></item></entries></Response>";

// The outcome of one vote, by what the platform answers.
static VoteReply replyToVote(StandIn::Script script, const char *elsewhere = nullptr) {
  ControlFixture fixture(std::move(script));
  const auto at = *net::parseAddress(elsewhere != nullptr ? elsewhere : fixture.server.address());
  rollout::RolloutClient client(fixture.loop.sched, fixture.loop.budget, fixture.router, fixture.loop.log, at,
                                {}, 100 * kMillisecond);
  VoteReply reply{};
  auto body = [&]() -> sched::Task<> { reply = (co_await client.castVote({Verdict::promote, 2, 1})).reply; };
  fixture.loop.run(body());
  return reply;
}

TEST_CASE("a vote is answered, did not count, or may have counted") {
  const auto answers = [](std::string answer) -> StandIn::Script {
    return [=](net::Socket &s, net::Buffer &b) -> sched::Task<> {
      const auto result = co_await readRequestLine(s, b);
      REQUIRE(result == "POST /");
      co_await s.write(answer, {});
    };
  };
  const auto response = [](const char *status, const std::string &body) {
    return std::string("HTTP/1.1 ") + status + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  };
  REQUIRE(replyToVote(answers(response("200 OK", kRolloutStateXml))) == VoteReply::accepted);
  REQUIRE(replyToVote(answers(response("400 Bad", "<Error><Code>BUSY</Code></Error>"))) ==
          VoteReply::rateLimited);
  REQUIRE(replyToVote(answers(response("400 Bad", "<Error><Code>STALE</Code></Error>"))) ==
          VoteReply::outdated);
  REQUIRE(replyToVote(answers(response("500 Bad", "<Error><Code>FAILED</Code></Error>"))) ==
          VoteReply::error);
  REQUIRE(replyToVote(answers(response("200 OK", kRolloutStateXml).substr(0, 90))) ==
          VoteReply::timedOut); // it may have counted
  REQUIRE(replyToVote(answers("")) == VoteReply::timedOut);
  REQUIRE(replyToVote(answers(response("200 OK", "<odd"))) == VoteReply::timedOut);
  REQUIRE(replyToVote([](net::Socket &s, net::Buffer &b) -> sched::Task<> {
            while (co_await s.read(b, {}) == net::ErrorCode::none) {}
          }) == VoteReply::timedOut);                                   // no answer in the call's time
  REQUIRE(replyToVote(answers(""), "127.0.0.1:1") == VoteReply::error); // never connected
}

TEST_CASE("the event stream is read, and opened again once an event is unreadable") {
  auto script = [](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    const auto result = co_await readRequestLine(s, b);
    REQUIRE(result == "GET /bulletin");
    const auto out =
        kChunkedResponseHead + chunk(":\n\nevent: stage\nda") +
        chunk("ta: build=2&stage=0&phase=Progressing&cap=0.1&age_ms=5\n\n") +
        chunk("event: flag\ndata: server=odd&class=read&age_ms=1\n\nevent: stage\ndata: build=x\n\n" +
              std::string("event: stage\ndata: build=9&stage=0&phase=Healthy&cap=1&age_ms=5\n\n"));
    co_await s.write(out, {});
    co_await s.read(b, {}); // until the instance closes it
  };
  ControlFixture fixture(script);
  auto body = [&]() -> sched::Task<> {
    fixture.loop.sched.spawn(fixture.rolloutClient.followEventStream());
    while (fixture.server.accepted < 2) co_await fixture.loop.sched.sleep(kMillisecond);
    REQUIRE(fixture.loop.lines.str().find("ended cause=unreadable") != std::string::npos);
    // The state has arrived: an endpoint of build 2 is a candidate build's, and takes no first write.
    fixture.router.onEndpointUpdates({{"s-1", "127.0.0.1:9", {.build = 2}}}, true);
    sched::CancellationToken stop;
    RequestContext call(0, 0, kSecond, false, fixture.loop.sched.now());
    const auto result2 = co_await fixture.router.nextAttempt(call, stop);
    REQUIRE(result2.action != AttemptDecision::forward); // its exposure budget is spent
  };
  fixture.loop.run(body());
}
