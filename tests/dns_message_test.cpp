// Tests the codec of DNS messages: which responses are accepted or ignored, and that crafted messages cause
// neither endless loops nor reads outside the message.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "format/dns/message.h"

#include <chrono>
#include <ldns/ldns.h>
#include <stdexcept>

using namespace myrtlehead::dns;

static std::string u16(unsigned n) { return {static_cast<char>(n >> 8), static_cast<char>(n & 0xff)}; }
static std::string u32(std::uint32_t n) { return u16(n >> 16) + u16(n & 0xffff); }

static std::string label(const std::string &text) { return static_cast<char>(text.size()) + text; }

// "_pg._tcp.maps.example" in wire format. The question starts with it, at byte 12.
static const std::string kName = label("_pg") + label("_tcp") + label("maps") + label("example") + '\0';
static const SentQuery kSent{7, {"_pg._tcp.maps.example", Type::srv}, 0};

static std::string head(unsigned answers, unsigned flags = 0x8400, unsigned id = 7, unsigned additional = 0) {
  return u16(id) + u16(flags) + u16(1) + u16(answers) + u16(0) + u16(additional);
}
static std::string question() { return kName + u16(33) + u16(1); }
static std::string record(const std::string &owner, unsigned type, std::uint32_t ttl,
                          const std::string &data) {
  return owner + u16(type) + u16(1) + u32(ttl) + u16(static_cast<unsigned>(data.size())) + data;
}
static std::string srv(unsigned priority, unsigned weight, unsigned port, const std::string &target) {
  return u16(priority) + u16(weight) + u16(port) + target;
}
static const std::string kPointer = u16(0xc00c); // compression pointer to the question's name

TEST_CASE("a query has the letter case and the EDNS UDP payload size") {
  const auto bytes = writeQuery({0x1234, {"_pg._tcp.maps.example", Type::srv}, 0x5});
  REQUIRE(bytes.substr(0, 2) == u16(0x1234));
  REQUIRE((bytes.substr(12, kName.size()) ==
               label("_Pg") + label("_Tcp") + label("maps") + label("example") + '\0' ||
           bytes.substr(12, kName.size()) != kName));
  REQUIRE(bytes.find(std::string(1, '\0') + u16(41) + u16(kUdpPayloadBytes)) != std::string::npos);
  for (const char *invalidName : {"a..b", ".a"}) {
    bool thrown = false;
    try {
      writeQuery({1, {invalidName, Type::a}, 0});
    } catch (const std::invalid_argument &) {
      thrown = true;
    }
    REQUIRE(thrown);
  }
}

TEST_CASE("all sections of a response are decoded") {
  const auto target = label("S-1") + u16(0xc000 + 12 + 9); // pointer to "maps.example"
  const auto bytes = head(3, 0x8400, 7, 2) + question() + record(kPointer, 33, 60, srv(1, 2, 6432, target)) +
                     record(kPointer, 33, 0x80000000u, srv(0, 0, 1, std::string(1, '\0'))) +
                     record(kPointer, 16, 5, label("release=7") + label("zone=a")) +
                     record(target, 1, 30, {127, 0, 0, 9}) +
                     record(target, 28, 30, std::string(15, '\0') + '\1');
  Message m;
  REQUIRE(readResponse(bytes, kSent, m) == ReadResult::accepted);
  REQUIRE(m.status == Status::ok);
  REQUIRE(m.answers.size() == 3);
  REQUIRE(m.additional.size() == 2);
  const auto &first = m.answers[0];
  REQUIRE(first.owner == "_pg._tcp.maps.example");
  REQUIRE(first.ttl == 60);
  REQUIRE(first.priority == 1);
  REQUIRE(first.weight == 2);
  REQUIRE(first.port == 6432);
  REQUIRE(first.target == "s-1.maps.example");
  REQUIRE(m.answers[1].ttl == 0); // RFC 2181: a TTL with the top bit set counts as 0
  REQUIRE(m.answers[1].target.empty());
  REQUIRE(m.answers[2].text == "release=7 zone=a");
  REQUIRE(m.additional[0].address == "127.0.0.9");
  REQUIRE(m.additional[1].address == "[::1]");
}

TEST_CASE("unrelated responses are ignored and a changed letter case is reported") {
  Message m;
  const auto response = head(1) + question() + record(kPointer, 33, 60, srv(0, 0, 1, kPointer));
  REQUIRE(readResponse(response, kSent, m) == ReadResult::accepted);
  auto changed = response;
  changed[1] = 8;
  REQUIRE(readResponse(changed, kSent, m) == ReadResult::unrelated); // another id
  changed = response, changed[2] = 0x04;
  REQUIRE(readResponse(changed, kSent, m) == ReadResult::unrelated); // a query instead of a response
  changed = response, changed[13] = '-';
  REQUIRE(readResponse(changed, kSent, m) == ReadResult::unrelated); // another question
  changed = response, changed[13] = '_', changed[14] = 'P';
  REQUIRE(readResponse(changed, kSent, m) == ReadResult::caseMismatch);
  const SentQuery upperCaseQuery{7, kSent.question, 1};
  REQUIRE(readResponse(changed, upperCaseQuery, m) == ReadResult::accepted);
  REQUIRE(readResponse(response, upperCaseQuery, m) == ReadResult::caseMismatch);
}

TEST_CASE("a negative response carries its TTL") {
  const auto soa = kPointer + kPointer + u32(1) + u32(2) + u32(3) + u32(4) + u32(15);
  auto bytes = u16(7) + u16(0x8403) + u16(1) + u16(0) + u16(1) + u16(0) + question() +
               record(kPointer, 6, 40, soa);
  Message m;
  REQUIRE(readResponse(bytes, kSent, m) == ReadResult::accepted);
  REQUIRE(m.status == Status::noSuchName);
  REQUIRE(m.negativeTtlSeconds == 15u); // RFC 2308: the lesser of TTL and MINIMUM
  bytes[3] = 2;
  REQUIRE(readResponse(bytes, kSent, m) == ReadResult::accepted);
  REQUIRE(m.status == Status::serverFailure);
}

TEST_CASE("a truncated response is accepted without its records") {
  const auto bytes = head(9, 0x8600) + question() + "half a rec";
  Message m;
  REQUIRE(readResponse(bytes, kSent, m) == ReadResult::accepted);
  REQUIRE(m.truncated);
  REQUIRE(m.answers.empty());
}

// Decodes every prefix and every single-bit change of a response. Each is accepted or rejected without a read
// outside the message, which the sanitizers detect.
TEST_CASE("truncated and corrupted responses are rejected or decoded safely") {
  const auto response = head(2, 0x8400, 7, 1) + question() +
                        record(kPointer, 33, 60, srv(1, 2, 3, kPointer)) + record(kPointer, 5, 60, kPointer) +
                        record(kPointer, 1, 30, {127, 0, 0, 9});
  Message m;
  REQUIRE(readResponse(response, kSent, m) == ReadResult::accepted);
  for (std::size_t n = 12; n < response.size(); ++n)
    REQUIRE(readResponse(std::string_view(response).substr(0, n), kSent, m) != ReadResult::accepted);
  REQUIRE(readResponse(response + "x", kSent, m) == ReadResult::malformed);
  for (std::size_t at = 0; at < response.size(); ++at)
    for (int bit = 0; bit < 8; ++bit) {
      auto changed = response;
      changed[at] = static_cast<char>(changed[at] ^ (1 << bit));
      readResponse(changed, kSent, m);
    }
}

// Compression pointers to themselves, forward pointers and long pointer chains are rejected before they cost
// decoding time.
TEST_CASE("invalid or excessively chained compression pointers are rejected") {
  Message m;
  const auto pointerTo = [](std::size_t offset) { return u16(static_cast<unsigned>(0xc000 + offset)); };
  const auto recordOffset = (head(1) + question()).size();
  for (const std::size_t target : {recordOffset, recordOffset + 2, std::size_t{0x3fff}})
    REQUIRE(readResponse(head(1) + question() + record(pointerTo(target), 33, 60, srv(0, 0, 1, kPointer)),
                         kSent, m) == ReadResult::malformed);
  // 16 KB of names, each of which points to the previous one, form a long pointer chain.
  std::string data, bytes;
  unsigned records = 0;
  std::size_t previousOffset = 12;
  bytes = question();
  while (bytes.size() + 12 + 40 < 16000) {
    const auto offset = 12 + bytes.size();
    bytes += record(pointerTo(previousOffset), 16, 1, label("x"));
    previousOffset = offset;
    ++records;
  }
  REQUIRE(readResponse(head(records) + bytes, kSent, m) == ReadResult::malformed);
}

TEST_CASE("a response of maximum size is decoded within one second") {
  std::string bytes = question();
  unsigned records = 0;
  while (bytes.size() + 12 + 64 < kMaxMessageBytes) {
    const auto target = label("s-" + std::to_string(records)) + u16(0xc000 + 12 + 9);
    bytes += record(kPointer, 33, 60, srv(0, 1, 6432, target));
    ++records;
  }
  Message m;
  const auto startedAt = std::chrono::steady_clock::now();
  REQUIRE(readResponse(head(records) + bytes, kSent, m) == ReadResult::accepted);
  REQUIRE(m.answers.size() == records);
  REQUIRE(records > 1900);
  REQUIRE(std::chrono::steady_clock::now() - startedAt < std::chrono::seconds(1));
  REQUIRE(readResponse(head(records) + bytes + std::string(64, 'x'), kSent, m) == ReadResult::malformed);
}

TEST_CASE("names are converted to their canonical form") {
  REQUIRE(canonicalName("Maps.Example.") == "maps.example");
  REQUIRE(canonicalName("") == "");
  for (const char *invalidName : {"a..b", ".a", "a b", "a\"b"}) REQUIRE(!canonicalName(invalidName));
  REQUIRE(!canonicalName(std::string(64, 'a')));
  REQUIRE(canonicalName(std::string(63, 'a')));
  REQUIRE(!canonicalName(std::string(63, 'a') + "." + std::string(63, 'b') + "." + std::string(63, 'c') +
                         "." + std::string(62, 'd')));
}
