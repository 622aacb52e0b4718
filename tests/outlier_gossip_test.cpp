// Gossip on failing endpoints: its messages, and when an endpoint becomes a suspect.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "policy/outlier_gossip.h"

#include <cmath>
#include <cstdio>

using namespace myrtlehead;

static RandomEngine randomSource(7);
constexpr EndpointFingerprint kEndpoint = 9;
constexpr Nanoseconds kNow = 1000 * kSecond;

static GossipMessage reportOf(std::uint8_t failed, std::uint8_t lostConnections, std::uint8_t succeeded,
                              std::uint16_t senderZone = 0) {
  return {senderZone, {{kEndpoint, failed, lostConnections, succeeded}}};
}

TEST_CASE("messages decode to what was encoded") {
  const GossipMessage message{513, {{9, 1, 0, 255}, {65535, 0, 7, 3}}};
  const auto bytes = encodeGossip(message);
  const auto back = decodeGossip(bytes.data(), bytes.size());
  REQUIRE(bytes.size() == 13);
  REQUIRE(back);
  REQUIRE(back->senderZone == 513);
  REQUIRE(back->observations.size() == 2);
  REQUIRE(back->observations[0].succeeded == 255);
  REQUIRE(back->observations[1].fingerprint == 65535);
  REQUIRE(back->observations[1].lostConnections == 7);
}

TEST_CASE("bytes that are not a message are rejected") {
  auto bytes = encodeGossip(reportOf(1, 0, 0));
  for (std::size_t n = 0; n < bytes.size(); ++n) REQUIRE(!decodeGossip(bytes.data(), n)); // cut anywhere
  auto other = bytes;
  other[0] = 6;
  REQUIRE(!decodeGossip(other.data(), other.size()));
  const auto nothing = encodeGossip(reportOf(0, 0, 5));
  const auto nobody = encodeGossip({0, {{0, 1, 0, 0}}});
  REQUIRE(!decodeGossip(nothing.data(), nothing.size()));
  REQUIRE(!decodeGossip(nobody.data(), nobody.size()));
  const auto longest = encodeGossip(
      {0, std::vector<EndpointObservations>(kMaxObservationsPerMessage, {1, 1, 0, 0})});
  const auto tooLong = encodeGossip(
      {0, std::vector<EndpointObservations>(kMaxObservationsPerMessage + 1, {1, 1, 0, 0})});
  REQUIRE(longest.size() <= 256);
  REQUIRE(decodeGossip(longest.data(), longest.size()));
  REQUIRE(!decodeGossip(tooLong.data(), tooLong.size()));
}

TEST_CASE("no message is sent while nothing fails") {
  OutlierGossip gossip(0, 100, 0);
  for (int i = 0; i < 50; ++i) gossip.onOutcome(kEndpoint, Outcome::succeeded);
  gossip.onOutcome(kEndpoint, Outcome::rejected);
  gossip.onOutcome(kEndpoint, Outcome::cancelled);
  REQUIRE(gossip.takeDueMessages(kNow, randomSource).empty());
}

TEST_CASE("a failure is reported once, to a few peers") {
  OutlierGossip gossip(3, 300, 0);
  gossip.onOutcome(kEndpoint, Outcome::succeeded);
  gossip.onOutcome(kEndpoint, Outcome::failed);
  const auto messages = gossip.takeDueMessages(kNow, randomSource);
  REQUIRE(messages.size() == 20);
  for (std::size_t i = 0; i < messages.size(); ++i) {
    REQUIRE(messages[i].to >= 0);
    REQUIRE(messages[i].to < 300);
    REQUIRE(messages[i].to != 3);
    for (std::size_t j = 0; j < i; ++j) REQUIRE(messages[i].to != messages[j].to);
  }
  REQUIRE(gossip.takeDueMessages(kNow + 2 * kSecond, randomSource).empty());
  gossip.onOutcome(kEndpoint, Outcome::failed);
  REQUIRE(!gossip.takeDueMessages(kNow + 4 * kSecond, randomSource).empty());
  gossip.onOutcome(kEndpoint, Outcome::failed);
  REQUIRE(
      gossip.takeDueMessages(kNow + 4 * kSecond + kMillisecond, randomSource).empty()); // not before its time
  OutlierGossip alone(0, 1, 0), pair(0, 2, 0);
  alone.onOutcome(kEndpoint, Outcome::failed);
  pair.onOutcome(kEndpoint, Outcome::failed);
  REQUIRE(alone.takeDueMessages(kNow, randomSource).empty());
  REQUIRE(pair.takeDueMessages(kNow, randomSource).size() == 1);
}

TEST_CASE("an endpoint that fails for two peers becomes a suspect") {
  OutlierGossip gossip(0, 100, 0);
  gossip.onGossip(5, reportOf(2, 0, 0), kNow, randomSource);
  REQUIRE(gossip.suspectUntil(kEndpoint) == 0); // the one peer may be the one that is cut off
  gossip.onGossip(5, reportOf(9, 0, 0), kNow, randomSource);
  REQUIRE(gossip.suspectUntil(kEndpoint) == 0);
  gossip.onGossip(6, reportOf(1, 0, 0), kNow, randomSource);
  REQUIRE(gossip.suspectUntil(kEndpoint) > kNow);
  REQUIRE(gossip.suspectUntil(kEndpoint) <= kNow + 3 * kSecond);
  REQUIRE(gossip.suspectUntil(8) == 0);
}

TEST_CASE("an endpoint that mostly succeeds is no suspect") {
  OutlierGossip gossip(0, 100, 0);
  for (int from = 1; from < 20; ++from) gossip.onGossip(from, reportOf(1, 0, 3), kNow, randomSource);
  REQUIRE(gossip.suspectUntil(kEndpoint) == 0);
}

TEST_CASE("lost connections of other zones do not count") {
  OutlierGossip gossip(0, 100, 1);
  for (int from = 1; from < 20; ++from) gossip.onGossip(from, reportOf(0, 3, 0, 2), kNow, randomSource);
  REQUIRE(gossip.suspectUntil(kEndpoint) == 0);
  for (int from = 1; from < 4; ++from) gossip.onGossip(from, reportOf(0, 1, 0, 1), kNow, randomSource);
  REQUIRE(gossip.suspectUntil(kEndpoint) > kNow);
}

TEST_CASE("old reports decay") {
  OutlierGossip gossip(0, 100, 0);
  for (int i = 0; i < 40; ++i)
    gossip.onGossip(1 + i % 2, reportOf(1, 0, 0), kNow + i * 10 * kSecond, randomSource);
  REQUIRE(gossip.suspectUntil(kEndpoint) == 0);
}

TEST_CASE("a success of its own ends the suspicion") {
  OutlierGossip gossip(0, 100, 0);
  for (int from = 1; from < 5; ++from) gossip.onGossip(from, reportOf(1, 0, 0), kNow, randomSource);
  REQUIRE(gossip.suspectUntil(kEndpoint) > kNow);
  gossip.onOutcome(kEndpoint, Outcome::succeeded);
  REQUIRE(gossip.suspectUntil(kEndpoint) == 0);
}

// An endpoint that is away for `away` is avoided no longer than that and the longest suspicion.
TEST_CASE("an endpoint that recovers stops being a suspect") {
  for (const Nanoseconds away : {kSecond, 5 * kSecond, 30 * kSecond}) {
    OutlierGossip gossip(0, 100, 0);
    for (Nanoseconds t = 0; t < away; t += kSecond / 10)
      gossip.onGossip(1 + static_cast<int>(t / kMillisecond / 100 % 3), reportOf(0, 1, 0), kNow + t,
                      randomSource);
    REQUIRE(gossip.suspectUntil(kEndpoint) > kNow);
    REQUIRE(gossip.suspectUntil(kEndpoint) <= kNow + away + 11 * kSecond);
  }
}

TEST_CASE("messages of unknown senders and of oneself are ignored") {
  OutlierGossip gossip(4, 10, 0);
  for (const int from : {-1, 4, 10, 1000}) gossip.onGossip(from, reportOf(9, 0, 0), kNow, randomSource);
  REQUIRE(gossip.trackedEndpointCount() == 0);
}

TEST_CASE("the number of tracked endpoints is bounded") {
  OutlierGossip gossip(0, 100, 0);
  for (int i = 1; i < 60000; ++i)
    gossip.onGossip(1, {0, {{static_cast<std::uint16_t>(i), 1, 0, 0}}}, kNow, randomSource);
  REQUIRE(gossip.trackedEndpointCount() <= 4096);
  gossip.onGossip(1, reportOf(1, 0, 0), kNow + 100 * kSecond, randomSource);
  REQUIRE(gossip.trackedEndpointCount() <= 2); // endpoints without new reports are forgotten
}

// A hundred instances that meet each of 60 endpoints once in seven seconds, six of which fail: how many
// attempts find that out, with gossip and without.
enum class Gossip { off, on };
static int attemptsAtFailingEndpoints(Gossip mode) {
  std::vector<OutlierGossip> fleet;
  for (int i = 0; i < 100; ++i) fleet.emplace_back(i, 100, 0);
  std::vector<std::vector<int>> failures(100, std::vector<int>(61));
  std::knuth_b draw(11);
  int failed = 0;
  for (Nanoseconds now = kNow; now < kNow + 10 * kSecond; now += 100 * kMillisecond)
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      const auto endpoint = static_cast<std::uint16_t>(1 + draw() % 60);
      if (fleet[i].suspectUntil(endpoint) <= now && failures[i][endpoint] < 3) {
        const bool bad = endpoint <= 6;
        failed += bad;
        failures[i][endpoint] += bad;
        fleet[i].onOutcome(endpoint, bad ? Outcome::failed : Outcome::succeeded);
      }
      if (mode == Gossip::off) continue;
      for (const auto &message : fleet[i].takeDueMessages(now, draw))
        if (const auto decoded = decodeGossip(message.bytes.data(), message.bytes.size()))
          fleet[static_cast<std::size_t>(message.to)].onGossip(static_cast<int>(i), *decoded, now, draw);
    }
  return failed;
}

TEST_CASE("gossip at least halves the attempts at failing endpoints") {
  const int alone = attemptsAtFailingEndpoints(Gossip::off);
  const int together = attemptsAtFailingEndpoints(Gossip::on);
  std::printf("%d attempts at failing endpoints alone, %d with gossip\n", alone, together);
  REQUIRE(alone > 800);
  REQUIRE(2 * together < alone);
}
