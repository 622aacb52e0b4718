// Codec of the simulator's wire protocol: the example frames of the protocol's documentation, and malformed
// frames.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fixtures.h"
#include "sim/wire/codec.h"

#include <functional>
#include <string>

using namespace myrtlehead;
using namespace myrtlehead::wire;

static std::vector<std::uint8_t> fromHex(const std::string &text) {
  std::vector<std::uint8_t> out;
  std::string digits;
  for (const char c : text)
    if (c != ' ') digits += c;
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2)
    out.push_back(static_cast<std::uint8_t>(std::stoi(digits.substr(i, 2), nullptr, 16)));
  return out;
}

// Whether the call throws a WireError with a message.
static bool throwsWireError(const std::function<void()> &call) {
  try {
    call();
  } catch (const WireError &error) {
    return !std::string(error.what()).empty();
  }
  return false;
}

TEST_CASE("the codec writes the documented example reply") {
  Frame frame;
  frame.begin(12);
  Writer third, fifth;
  third.sendAttempt(0x000a2eaa5d3a91c4, 80 * kMillisecond, 0x0a124a07232b);
  third.setTimer(500 * kMillisecond, 0x4d);
  fifth.log("two servers known");
  frame.add(3, third);
  frame.add(5, fifth);
  REQUIRE(frame.finish() ==
          fromHex("00000005 00000042 0000000c 17 00000003 14 000a2eaa5d3a91c4 00013880 0a124a07 232b"
                  "1b 0007a120 000000000000004d 17 00000005 15 0011"
                  "74776f2073657276657273206b6e6f776e"));
}

TEST_CASE("the codec reads the documented example header and endpoint list entry") {
  const auto header = fromHex("0000000000805c5a 00000000 00000001");
  Reader in(header.data(), header.size());
  const auto read = readBatchHeader(in);
  REQUIRE(read.now == 0x805c5aLL * 1000);
  REQUIRE(read.recordCount == 0);
  REQUIRE(read.batchNumber == 1);
  const auto entry = fromHex("42280000 00000000005d1420 0000 02 01 3fc00000 0000 0a9011f2 2354");
  Reader list(entry.data(), entry.size());
  EndpointId endpoint = 0;
  const auto info = readEndpointInfo(list, endpoint);
  REQUIRE(info.build == 42);
  REQUIRE(info.startedAt == 0x5d1420LL * 1000);
  REQUIRE(info.state == EndpointState::ready);
  REQUIRE(info.zone == 1);
  REQUIRE(endpoint == 0x0a9011f22354);
  REQUIRE(list.remaining() == 0);
}

TEST_CASE("malformed input is rejected") {
  const auto truncated = fromHex("0000000000805c5a 0000");
  REQUIRE(throwsWireError([&] {
    Reader in(truncated.data(), truncated.size());
    readBatchHeader(in);
  }));
  const auto tooManyRecords = fromHex("0000000000805c5a ffffffff 00000001");
  REQUIRE(throwsWireError([&] {
    Reader in(tooManyRecords.data(), tooManyRecords.size());
    readBatchHeader(in);
  }));
  Reader empty(nullptr, 0);
  REQUIRE(throwsWireError([&] { decodeOutcome(77, empty); }));
  for (const auto *text : {"no equals sign", "me=three", "services.count=-1", "limits.peers=perhaps",
                           "services.count=1\nservices.0.effect=magic"})
    REQUIRE(throwsWireError([&] { readDeployment(text); }));
}

TEST_CASE("the deployment's settings are read") {
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

// Tables and shares are sized by the number of instances, so an impossible number must be rejected. The error
// names the key.
TEST_CASE("an impossible number of instances is rejected") {
  const auto errorOf = [](const char *text) -> std::string {
    try {
      readDeployment(text);
    } catch (const std::exception &error) {
      return error.what();
    }
    return "";
  };
  for (const auto *text : {"peersTotal=0", "peersTotal=-3", "peersTotal=2.5", "me=1", "me=5\npeersTotal=5"})
    REQUIRE(errorOf(text).find("peersTotal") != std::string::npos);
  for (const auto *text : {"peersTotal=1", "me=4\npeersTotal=5", "me=499\npeersTotal=500"})
    REQUIRE(errorOf(text).empty());
}
