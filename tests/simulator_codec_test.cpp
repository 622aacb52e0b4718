// The codec against the worked frames of the wire page, and against broken ones.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fixtures.h"
#include "sim/wire/codec.h"

#include <functional>
#include <string>

using namespace myrtlehead;
using namespace myrtlehead::wire;

static std::vector<std::uint8_t> hex(const std::string &text) {
  std::vector<std::uint8_t> out;
  std::string digits;
  for (const char c : text)
    if (c != ' ') digits += c;
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2)
    out.push_back(static_cast<std::uint8_t>(std::stoi(digits.substr(i, 2), nullptr, 16)));
  return out;
}

static bool refuses(const std::function<void()> &call) {
  try {
    call();
  } catch (const WireError &e) {
    return !std::string(e.what()).empty();
  }
  return false;
}

TEST_CASE("writes the worked reply") {
  Frame frame;
  frame.begin(12);
  Writer three, five;
  three.submit(0x000a2eaa5d3a91c4, 80 * kMillisecond, 0x0a124a07232b);
  three.wake(500 * kMillisecond, 0x4d);
  five.log("two servers known");
  frame.add(3, three);
  frame.add(5, five);
  REQUIRE(frame.bytes() ==
          hex("00000005 00000042 0000000c 17 00000003 14 000a2eaa5d3a91c4 00013880 0a124a07 232b"
              "1b 0007a120 000000000000004d 17 00000005 15 0011"
              "74776f2073657276657273206b6e6f776e"));
}

TEST_CASE("reads the worked head and listing") {
  const auto head = hex("0000000000805c5a 00000000 00000001");
  Reader in(head.data(), head.size());
  const auto h = readHead(in);
  REQUIRE(h.now == 0x805c5aLL * 1000);
  REQUIRE(h.records == 0);
  REQUIRE(h.number == 1);
  const auto entry = hex("42280000 00000000005d1420 0000 02 01 3fc00000 0000 0a9011f2 2354");
  Reader list(entry.data(), entry.size());
  EndpointId endpoint = 0;
  const auto l = readEndpointInfo(list, endpoint);
  REQUIRE(l.build == 42);
  REQUIRE(l.startedAt == 0x5d1420LL * 1000);
  REQUIRE(l.state == EndpointState::ready);
  REQUIRE(l.zone == 1);
  REQUIRE(endpoint == 0x0a9011f22354);
  REQUIRE(list.left() == 0);
}

TEST_CASE("refuses broken input") {
  const auto cut = hex("0000000000805c5a 0000");
  REQUIRE(refuses([&] {
    Reader in(cut.data(), cut.size());
    readHead(in);
  }));
  const auto many = hex("0000000000805c5a ffffffff 00000001");
  REQUIRE(refuses([&] {
    Reader in(many.data(), many.size());
    readHead(in);
  }));
  Reader none(nullptr, 0);
  REQUIRE(refuses([&] { outcomeOf(77, none); }));
  for (const auto *text : {"no equals sign", "me=three", "services.count=-1", "limits.peers=perhaps",
                           "services.count=1\nservices.0.effect=magic"})
    REQUIRE(refuses([&] { readDeployment(text); }));
}

TEST_CASE("reads the settings") {
  const auto d = readDeployment("me=2\npeersTotal=5\nunknown.key=x\nfamilyInfo.caps=0.07,0.28\n"
                                "services.count=1\nservices.0.effect=guarded\nservices.0.group=zone\n"
                                "services.0.onTimeUs=400000\nfamilyInfo.control=automatic\n");
  REQUIRE(d.ownIndex == 2);
  REQUIRE(d.instanceCount == 5);
  REQUIRE(d.rollout.stageCaps.size() == 2);
  REQUIRE(d.rollout.control == RolloutControl::timer);
  REQUIRE(d.routes[0].idempotency == Idempotency::idempotentWithKey);
  REQUIRE(d.routes[0].idempotencyScope == IdempotencyScope::zone);
  REQUIRE(d.routes[0].latencyObjective == 400 * kMillisecond);
}

// The number of instances bounds tables and shares, so one that can't be is told with its key.
TEST_CASE("a fleet that cannot be is refused") {
  const auto why = [](const char *text) -> std::string {
    try {
      readDeployment(text);
    } catch (const std::exception &e) {
      return e.what();
    }
    return "";
  };
  for (const auto *text : {"peersTotal=0", "peersTotal=-3", "peersTotal=2.5", "me=1", "me=5\npeersTotal=5"})
    REQUIRE(why(text).find("peersTotal") != std::string::npos);
  for (const auto *text : {"peersTotal=1", "me=4\npeersTotal=5", "me=499\npeersTotal=500"})
    REQUIRE(why(text).empty());
}
