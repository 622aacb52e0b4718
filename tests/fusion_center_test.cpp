// FusionCenter: reports of all instances, fused.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy_fixture.h"

#include <algorithm>
#include <cmath>

using namespace myrtlehead;

TEST_CASE("reports are fused and malformed ones dropped") {
  PolicyFixture from(smallDeployment(), 1, 1), to(smallDeployment(), 1, 1);
  from.internals.deployment().ownIndex = 2;
  for (int i = 0; i < 2; ++i) from.observe(from.endpoint(1), Outcome::failed);
  const auto note = from.policy.runDueTasks(kNow).messages.at(0).bytes;
  to.policy.onPeerMessage(2, note.data(), note.size(), kNow);
  REQUIRE(to.internals.fused(0).cusum > 2);
  REQUIRE(to.internals.stageOutcomes() == 2);
  to.policy.onPeerMessage(2, note.data(), note.size(), kNow); // a repeat does no harm
  REQUIRE(to.internals.stageOutcomes() == 2);
  const double before = to.internals.fused(0).cusum;
  auto bad = note;
  bad[0] = 99;
  to.policy.onPeerMessage(2, bad.data(), bad.size(), kNow);
  to.policy.onPeerMessage(2, note.data(), note.size() - 1, kNow);
  to.policy.onPeerMessage(2, note.data(), 0, kNow);
  REQUIRE(to.internals.fused(0).cusum == before);
}

TEST_CASE("a restarted fusion center receives the totals") {
  PolicyFixture from(smallDeployment(), 1, 10), late(smallDeployment(), 1, 1);
  from.internals.deployment().ownIndex = 2;
  for (std::size_t i = 1; i <= 10; ++i) from.observe(from.endpoint(i), Outcome::failed);
  const auto notes = from.policy.runDueTasks(kNow).messages;
  const auto &last = notes.at(notes.size() - 4).bytes; // pooled and route, to two fusers each
  late.policy.onPeerMessage(2, last.data(), last.size(), kNow);
  REQUIRE(last[1] == 0);
  REQUIRE(late.internals.fused(0).cusum > 8);
  REQUIRE(late.internals.stageOutcomes() == 10);
}

TEST_CASE("one faulty endpoint does not convict its build") {
  PolicyFixture one(smallDeployment(), 1, 5), all(smallDeployment(), 1, 5);
  for (std::size_t i = 0; i < 5; ++i)
    one.endpoint(i + 1).fingerprint = all.endpoint(i + 1).fingerprint = static_cast<std::uint16_t>(i + 1);
  for (std::size_t i = 0; i < 40; ++i) {
    one.observe(one.endpoint(1), Outcome::failed);
    all.observe(all.endpoint(1 + i % 5), Outcome::failed);
  }
  REQUIRE(one.internals.fused(0).cusum > 20);
  REQUIRE(!one.internals.isJudgedBad());
  REQUIRE(all.internals.isJudgedBad());
}

TEST_CASE("machines that have just started excuse nobody") {
  PolicyFixture fixture(smallDeployment(), 1, 5);
  for (std::size_t i = 1; i <= 5; ++i) fixture.endpoint(i).fingerprint = static_cast<std::uint16_t>(i);
  for (int i = 0; i < 20; ++i) fixture.add({.build = 2, .startedAt = kNow - kSecond});
  for (std::size_t i = 0; i < 40; ++i) fixture.observe(fixture.endpoint(1 + i % 5), Outcome::failed);
  REQUIRE(fixture.internals.isJudgedBad());
}
