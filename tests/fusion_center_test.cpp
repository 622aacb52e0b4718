// FusionCenter: fuses the reports of all instances and judges the build.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy_fixture.h"

#include <algorithm>
#include <cmath>

using namespace myrtlehead;

TEST_CASE("reports are fused once, and malformed reports are ignored") {
  PolicyFixture sender(smallDeployment(), 1, 1), receiver(smallDeployment(), 1, 1);
  sender.internals.deployment().ownIndex = 2;
  for (int i = 0; i < 2; ++i) sender.observe(sender.endpoint(1), Outcome::failed);
  const auto report = sender.policy.runDueTasks(kNow).messages.at(0).bytes;
  receiver.policy.onPeerMessage(2, report.data(), report.size(), kNow);
  REQUIRE(receiver.internals.fused(0).cusum > 2);
  REQUIRE(receiver.internals.stageOutcomes() == 2);
  receiver.policy.onPeerMessage(2, report.data(), report.size(), kNow); // a repeated report adds nothing
  REQUIRE(receiver.internals.stageOutcomes() == 2);
  const double before = receiver.internals.fused(0).cusum;
  auto malformed = report;
  malformed[0] = 99;
  receiver.policy.onPeerMessage(2, malformed.data(), malformed.size(), kNow);
  receiver.policy.onPeerMessage(2, report.data(), report.size() - 1, kNow);
  receiver.policy.onPeerMessage(2, report.data(), 0, kNow);
  REQUIRE(receiver.internals.fused(0).cusum == before);
}

TEST_CASE("a restarted fusion center receives the totals of earlier reports") {
  PolicyFixture sender(smallDeployment(), 1, 10), restarted(smallDeployment(), 1, 1);
  sender.internals.deployment().ownIndex = 2;
  for (std::size_t i = 1; i <= 10; ++i) sender.observe(sender.endpoint(i), Outcome::failed);
  const auto messages = sender.policy.runDueTasks(kNow).messages;
  // The last two reports, of channel 0 and of the route's channel, go to two fusion centers each.
  const auto &last = messages.at(messages.size() - 4).bytes;
  restarted.policy.onPeerMessage(2, last.data(), last.size(), kNow);
  REQUIRE(last[1] == 0);
  REQUIRE(restarted.internals.fused(0).cusum > 8);
  REQUIRE(restarted.internals.stageOutcomes() == 10);
}

TEST_CASE("failures of a single endpoint do not make its build be judged bad") {
  PolicyFixture oneFails(smallDeployment(), 1, 5), allFail(smallDeployment(), 1, 5);
  for (std::size_t i = 0; i < 5; ++i)
    oneFails.endpoint(i + 1).fingerprint = allFail.endpoint(i + 1).fingerprint = static_cast<std::uint16_t>(
        i + 1);
  for (std::size_t i = 0; i < 40; ++i) {
    oneFails.observe(oneFails.endpoint(1), Outcome::failed);
    allFail.observe(allFail.endpoint(1 + i % 5), Outcome::failed);
  }
  REQUIRE(oneFails.internals.fused(0).cusum > 20);
  REQUIRE(!oneFails.internals.isJudgedBad());
  REQUIRE(allFail.internals.isJudgedBad());
}

TEST_CASE("endpoints that have just started do not count as healthy") {
  PolicyFixture fixture(smallDeployment(), 1, 5);
  for (std::size_t i = 1; i <= 5; ++i) fixture.endpoint(i).fingerprint = static_cast<std::uint16_t>(i);
  for (int i = 0; i < 20; ++i) fixture.add({.build = 2, .startedAt = kNow - kSecond});
  for (std::size_t i = 0; i < 40; ++i) fixture.observe(fixture.endpoint(1 + i % 5), Outcome::failed);
  REQUIRE(fixture.internals.isJudgedBad());
}
