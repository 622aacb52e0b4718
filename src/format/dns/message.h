// DNS messages (RFC 1035, SRV RFC 2782, AAAA RFC 3596, EDNS(0) RFC 6891), written and read with ldns. Pure:
// bytes in, values out. An answer is checked whole before any of it is believed.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace myrtlehead::dns {

enum class Type : std::uint16_t { a = 1, cname = 5, soa = 6, txt = 16, aaaa = 28, srv = 33 };
const char *typeName(Type type);

constexpr std::size_t kMaxMessageBytes = 65535;       // bytes, RFC 1035 section 4.2.2
constexpr std::uint16_t kUdpPayloadBytes = 1232;      // what is announced; no fragment on any usual way
constexpr std::size_t kMaxPointersPerName = 16;       // pointers behind each other in one name
constexpr std::uint32_t kMaxTtlSeconds = 0x7fffffffu; // seconds; a larger one counts as 0, RFC 2181 section 8
constexpr std::size_t kMaxTxtBytes = 1024;            // bytes of one TXT record that are kept

// Names are in lower case, without the closing dot; "" is the root.
struct Question {
  std::string name;
  Type type = Type::srv;
  auto operator<=>(const Question &) const = default;
};

struct Record {
  std::string owner;
  Type type = Type::a;
  std::uint32_t ttl = 0; // seconds
  std::uint16_t priority = 0, weight = 0, port = 0;
  std::string target = {};  // of SRV and CNAME
  std::string address = {}; // of A and AAAA: "10.1.0.18", "[fd00::12]"
  std::string text = {};    // of TXT: its strings, one after the other with a blank between
};

enum class Status { ok, noSuchName, serverFailure, refused, other };

struct Message {
  bool truncated = false;
  Status status = Status::ok;
  std::vector<Record> answers = {}, additional = {};    // of the types above, class IN, in their order
  std::optional<std::uint32_t> negativeTtlSeconds = {}; // RFC 2308: the lesser of the SOA's TTL and MINIMUM
};

// What a query was; an answer must match it.
struct SentQuery {
  std::uint16_t id = 0;
  Question question;
  std::uint64_t letterCase = 0; // bit i: the i-th letter (modulo 64) is a capital, as servers give it back
};

// The query on the wire. Throws std::invalid_argument for a name that can't stand in one.
std::string writeQuery(const SentQuery &sent);

enum class ReadResult {
  accepted,     // `out` holds it
  unrelated,    // whole, but of another id, question or kind: to be passed over
  caseMismatch, // ours but for its letter case: believed over TCP only
  malformed,    // no message, or one that breaks a rule
};
ReadResult readResponse(std::string_view bytes, const SentQuery &sent, Message &out);

// Whether every name and record lies inside the message, with pointers that go backwards only, at most
// kMaxPointersPerName behind each other. What passes can be decoded in time that grows with its size alone.
bool isWellFormed(std::string_view bytes);

// "Maps.Example." to "maps.example"; nullopt: not a name (RFC 1035 section 2.3.4: labels of 63, 253 in all).
std::optional<std::string> canonicalName(std::string_view name);

} // namespace myrtlehead::dns
