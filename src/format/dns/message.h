// DNS messages (RFC 1035, SRV RFC 2782, AAAA RFC 3596, EDNS(0) RFC 6891), encoded and decoded with ldns.
// The functions do no I/O and keep no state. A response is validated completely before any of its records is
// used.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace myrtlehead::dns {

enum class Type : std::uint16_t { a = 1, cname = 5, soa = 6, txt = 16, aaaa = 28, srv = 33 };
// The mnemonic of the record type, for example "SRV".
const char *typeName(Type type);

constexpr std::size_t kMaxMessageBytes = 65535; // RFC 1035 section 4.2.2
// The UDP payload size announced in EDNS(0). It avoids IP fragmentation on common paths.
constexpr std::uint16_t kUdpPayloadBytes = 1232;
constexpr std::size_t kMaxPointersPerName = 16;       // consecutive compression pointers in one name
constexpr std::uint32_t kMaxTtlSeconds = 0x7fffffffu; // a larger TTL counts as 0, RFC 2181 section 8
constexpr std::size_t kMaxTxtBytes = 1024;            // longer TXT records are cut to this size

// The name is in lower case and has no trailing dot; "" is the root.
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
  std::string target = {};  // set for SRV and CNAME
  std::string address = {}; // set for A and AAAA: "10.1.0.18", "[fd00::12]"
  std::string text = {};    // set for TXT: its strings, joined by spaces
};

enum class Status { ok, noSuchName, serverFailure, refused, other };

struct Message {
  bool truncated = false;
  Status status = Status::ok;
  std::vector<Record> answers = {}, additional = {}; // class IN and the types of Type, in wire order
  // RFC 2308: the lesser of the SOA's TTL and MINIMUM. It is absent if there is no SOA record.
  std::optional<std::uint32_t> negativeTtlSeconds = {};
};

// The properties of a sent query that its response must match.
struct SentQuery {
  std::uint16_t id = 0;
  Question question;
  // Bit i tells whether the i-th letter (modulo 64) of the name is sent in upper case. Servers repeat the
  // case in the response, which makes forged responses harder.
  std::uint64_t letterCase = 0;
};

// Encodes the query in wire format. Throws std::invalid_argument if the name is not a valid domain name.
std::string writeQuery(const SentQuery &sent);

enum class ReadResult {
  accepted,     // `out` holds the response
  unrelated,    // another id, question or opcode, or no response: to be ignored
  caseMismatch, // matches except for the letter case: to be trusted over TCP only
  malformed,    // not a valid DNS message
};
// Decodes the response to `sent`. A truncated response yields only its `truncated` flag, without records.
ReadResult readResponse(std::string_view bytes, const SentQuery &sent, Message &out);

// Returns true if every name and record lies inside the message and compression pointers only point
// backwards, with at most kMaxPointersPerName of them in a row. The time to decode such a
// message is bounded by its size.
bool isWellFormed(std::string_view bytes);

// Converts "Maps.Example." to "maps.example". Returns nullopt if `name` is not a valid domain name (RFC 1035
// section 2.3.4: at most 63 bytes per label and 253 bytes in total).
std::optional<std::string> canonicalName(std::string_view name);

} // namespace myrtlehead::dns
