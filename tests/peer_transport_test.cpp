// PeerTransport: datagrams between instances.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "control_fixture.h"

#include "control/peers/peer_transport.h"

using namespace myrtlehead;

TEST_CASE("datagrams from unknown senders or of a wrong size are ignored") {
  EventLoop loop;
  auto d = smallDeployment();
  d.instanceCount = 2;
  Router router(loop.sched, d, 7, loop.log);
  const auto anyPort = *net::parseAddress("127.0.0.1:0");
  auto peer = net::bindUdp(loop.sched, loop.budget, anyPort);
  auto stranger = net::bindUdp(loop.sched, loop.budget, anyPort);
  peers::PeerTransport transport(loop.sched, loop.budget, router, anyPort,
                                 {anyPort, net::localAddress(*peer)}, anyPort);
  const auto to = transport.address();
  router.onRolloutState({2, 0, RolloutPhase::evaluating, 0.1, 0});
  const auto report = encodeReport({0, 2, 9, 0, 50, 60});
  const auto send = [&](const net::Socket &from, std::size_t size) {
    std::vector<std::uint8_t> bytes = report;
    bytes.resize(size);
    REQUIRE(sendto(from.fd(), bytes.data(), size, 0, to.asSockaddr(), to.size()) > 0);
  };
  auto body = [&]() -> sched::Task<> {
    loop.sched.spawn(transport.receive());
    loop.sched.spawn(router.run());
    send(*stranger, report.size());
    send(*peer, 300);
    send(*peer, 3);
    co_await loop.sched.sleep(20 * kMillisecond);
    REQUIRE(loop.logOutput.str().find("judged bad") == std::string::npos);
    send(*peer, report.size());
    co_await loop.sched.sleep(20 * kMillisecond);
    REQUIRE(loop.logOutput.str().find("judged bad") != std::string::npos);
    const auto vote = co_await router.nextVote();
    REQUIRE(vote.verdict == Verdict::rollBack);
    REQUIRE(vote.build == 2);
  };
  loop.run(body());
}
