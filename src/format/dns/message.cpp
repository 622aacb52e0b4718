#include "format/dns/message.h"

#include <algorithm>
#include <arpa/inet.h>
#include <ldns/ldns.h>
#include <memory>
#include <stdexcept>

namespace myrtlehead::dns {

namespace {

// Deletes objects that ldns allocates.
struct LdnsDeleter {
  void operator()(ldns_pkt *p) const { ldns_pkt_free(p); }
  void operator()(ldns_rdf *p) const { ldns_rdf_deep_free(p); }
  void operator()(std::uint8_t *p) const { std::free(p); }
};
using Packet = std::unique_ptr<ldns_pkt, LdnsDeleter>;

std::uint16_t readUint16(std::string_view bytes, std::size_t at) {
  return static_cast<std::uint16_t>(static_cast<unsigned char>(bytes[at]) << 8 |
                                    static_cast<unsigned char>(bytes[at + 1]));
}

// Advances `at` past the name that starts there. Returns false if the name leaves the message, is too long,
// or has a forward pointer or too many pointers.
bool skipName(std::string_view bytes, std::size_t &at) {
  std::size_t cursor = at, length = 0, pointers = 0;
  bool jumped = false;
  for (;;) {
    if (cursor >= bytes.size()) return false;
    const auto c = static_cast<unsigned char>(bytes[cursor]);
    if (c >= 0xc0) {
      if (cursor + 1 >= bytes.size() || ++pointers > kMaxPointersPerName) return false;
      const std::size_t to = readUint16(bytes, cursor) & 0x3fff;
      if (to >= cursor) return false; // RFC 1035 section 4.1.4: a pointer refers to a prior occurrence
      if (!jumped) at = cursor + 2;
      jumped = true;
      cursor = to;
      continue;
    }
    if (c >= 0x40) return false;
    length += c + 1u;
    if (length > 255) return false;
    cursor += c + 1u;
    if (c == 0) break;
  }
  if (!jumped) at = cursor;
  return true;
}

// Converts an uncompressed name from wire format to text in lower case. Returns nullopt if the name has bytes
// that host and service names do not have.
std::optional<std::string> decodeName(const ldns_rdf *rdf) {
  const auto *bytes = ldns_rdf_data(rdf);
  const auto size = ldns_rdf_size(rdf);
  std::string out;
  for (std::size_t at = 0; at < size && bytes[at] != 0; at += bytes[at] + 1u) {
    if (at + bytes[at] >= size) return std::nullopt;
    if (!out.empty()) out += '.';
    for (std::size_t i = 1; i <= bytes[at]; ++i) {
      const auto c = bytes[at + i];
      if (c <= 0x20 || c >= 0x7f || c == '.' || c == '"' || c == '\\') return std::nullopt;
      out += static_cast<char>(c >= 'A' && c <= 'Z' ? c + 0x20 : c);
    }
  }
  return out;
}

std::string addressOf(const ldns_rdf *rdf, bool v6) {
  char host[INET6_ADDRSTRLEN] = "";
  inet_ntop(v6 ? AF_INET6 : AF_INET, ldns_rdf_data(rdf), host, sizeof host);
  return v6 ? std::string("[").append(host).append("]") : std::string(host);
}

bool readTxt(const ldns_rr *rr, Record &out) {
  for (std::size_t i = 0; i < ldns_rr_rd_count(rr); ++i) {
    const auto *rdf = ldns_rr_rdf(rr, i);
    const auto *data = ldns_rdf_data(rdf);
    if (ldns_rdf_size(rdf) == 0 || data[0] + 1u > ldns_rdf_size(rdf)) return false;
    if (!out.text.empty()) out.text += ' ';
    out.text.append(reinterpret_cast<const char *>(data) + 1, data[0]);
  }
  if (out.text.size() > kMaxTxtBytes) out.text.resize(kMaxTxtBytes);
  return true;
}

bool hasFieldCount(const ldns_rr *rr, std::size_t fields) { return ldns_rr_rd_count(rr) == fields; }

// Appends the record to `out` if it has a supported type and class; other records are ignored. Returns false
// if the record data is malformed.
bool readRecord(const ldns_rr *rr, std::vector<Record> &out) {
  if (ldns_rr_get_class(rr) != LDNS_RR_CLASS_IN) return true;
  Record r;
  r.type = static_cast<Type>(ldns_rr_get_type(rr));
  const auto owner = decodeName(ldns_rr_owner(rr));
  if (!owner) return true; // not a name that this program looks up
  r.owner = *owner;
  r.ttl = ldns_rr_ttl(rr) > kMaxTtlSeconds ? 0 : ldns_rr_ttl(rr);
  switch (r.type) {
  case Type::a:
  case Type::aaaa: {
    const bool v6 = r.type == Type::aaaa;
    if (!hasFieldCount(rr, 1) || ldns_rdf_size(ldns_rr_rdf(rr, 0)) != (v6 ? 16 : 4)) return false;
    r.address = addressOf(ldns_rr_rdf(rr, 0), v6);
    break;
  }
  case Type::cname: {
    const auto target = hasFieldCount(rr, 1) ? decodeName(ldns_rr_rdf(rr, 0)) : std::nullopt;
    if (!target) return false;
    r.target = *target;
    break;
  }
  case Type::srv: {
    const auto target = hasFieldCount(rr, 4) ? decodeName(ldns_rr_rdf(rr, 3)) : std::nullopt;
    if (!target) return false;
    r.priority = ldns_rdf2native_int16(ldns_rr_rdf(rr, 0));
    r.weight = ldns_rdf2native_int16(ldns_rr_rdf(rr, 1));
    r.port = ldns_rdf2native_int16(ldns_rr_rdf(rr, 2));
    r.target = *target;
    break;
  }
  case Type::txt:
    if (!readTxt(rr, r)) return false;
    break;
  default:
    return true;
  }
  out.push_back(std::move(r));
  return true;
}

bool readSection(const ldns_rr_list *list, std::vector<Record> &out) {
  for (std::size_t i = 0; list != nullptr && i < ldns_rr_list_rr_count(list); ++i)
    if (!readRecord(ldns_rr_list_rr(list, i), out)) return false;
  return true;
}

void readNegativeTtl(const ldns_rr_list *list, Message &out) {
  for (std::size_t i = 0; list != nullptr && i < ldns_rr_list_rr_count(list); ++i) {
    const auto *rr = ldns_rr_list_rr(list, i);
    if (ldns_rr_get_type(rr) != LDNS_RR_TYPE_SOA || !hasFieldCount(rr, 7)) continue;
    const auto minimum = ldns_rdf2native_int32(ldns_rr_rdf(rr, 6));
    const auto ttl = std::min<std::uint32_t>(ldns_rr_ttl(rr), minimum);
    out.negativeTtlSeconds = ttl > kMaxTtlSeconds ? 0 : ttl;
    return;
  }
}

Status statusOf(ldns_pkt_rcode code) {
  switch (code) {
  case LDNS_RCODE_NOERROR:
    return Status::ok;
  case LDNS_RCODE_NXDOMAIN:
    return Status::noSuchName;
  case LDNS_RCODE_SERVFAIL:
    return Status::serverFailure;
  case LDNS_RCODE_REFUSED:
    return Status::refused;
  default:
    return Status::other;
  }
}

// Encodes the question's name in wire format, with the letter case of the query. Throws std::invalid_argument
// if the name is not a valid domain name.
std::string encodeName(const SentQuery &sent) {
  std::string out;
  std::size_t letter = 0;
  std::string_view rest = sent.question.name;
  while (!rest.empty()) {
    const auto end = std::min(rest.find('.'), rest.size());
    if (end == 0 || end > 63)
      throw std::invalid_argument("'" + sent.question.name + "' is not a valid domain name");
    out += static_cast<char>(end);
    for (char c : rest.substr(0, end)) {
      if (c >= 'a' && c <= 'z' && (sent.letterCase >> (letter++ % 64) & 1) != 0)
        c = static_cast<char>(c - 0x20);
      out += c;
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  out += '\0';
  if (out.size() > 255)
    throw std::invalid_argument("'" + sent.question.name + "' is not a valid domain name");
  return out;
}

} // namespace

const char *typeName(Type type) {
  switch (type) {
  case Type::a:
    return "A";
  case Type::cname:
    return "CNAME";
  case Type::soa:
    return "SOA";
  case Type::txt:
    return "TXT";
  case Type::aaaa:
    return "AAAA";
  case Type::srv:
    return "SRV";
  }
  return "?";
}

std::optional<std::string> canonicalName(std::string_view name) {
  if (name.ends_with('.')) name.remove_suffix(1);
  std::string out;
  std::size_t label = 0;
  for (const char c : name) {
    const auto u = static_cast<unsigned char>(c);
    if (c == '.' ? label == 0 : u <= 0x20 || u >= 0x7f || u == '"' || u == '\\') return std::nullopt;
    label = c == '.' ? 0 : label + 1;
    if (label > 63) return std::nullopt;
    out += c >= 'A' && c <= 'Z' ? static_cast<char>(c + 0x20) : c;
  }
  if (out.size() > 253 || (!out.empty() && out.back() == '.')) return std::nullopt;
  return out;
}

std::string writeQuery(const SentQuery &sent) {
  std::unique_ptr<ldns_rdf, LdnsDeleter> name(
      ldns_rdf_new_frm_data(LDNS_RDF_TYPE_DNAME, encodeName(sent).size(), encodeName(sent).data()));
  Packet pkt(ldns_pkt_query_new(name.release(), static_cast<ldns_rr_type>(sent.question.type),
                                LDNS_RR_CLASS_IN, LDNS_RD));
  if (pkt == nullptr)
    throw std::invalid_argument("cannot encode a DNS query for '" + sent.question.name + "'");
  ldns_pkt_set_id(pkt.get(), sent.id);
  ldns_pkt_set_edns_udp_size(pkt.get(), kUdpPayloadBytes);
  std::uint8_t *bytes = nullptr;
  std::size_t size = 0;
  if (ldns_pkt2wire(&bytes, pkt.get(), &size) != LDNS_STATUS_OK)
    throw std::invalid_argument("cannot encode a DNS query for '" + sent.question.name + "'");
  std::unique_ptr<std::uint8_t, LdnsDeleter> owner(bytes);
  return {reinterpret_cast<const char *>(bytes), size};
}

bool isWellFormed(std::string_view bytes) {
  if (bytes.size() < 12 || bytes.size() > kMaxMessageBytes) return false;
  std::size_t at = 12, records = 0;
  for (std::size_t i = readUint16(bytes, 4); i > 0; --i) {
    if (!skipName(bytes, at) || at + 4 > bytes.size()) return false;
    at += 4;
  }
  for (std::size_t i = 6; i < 12; i += 2) records += readUint16(bytes, i);
  for (; records > 0; --records) {
    if (!skipName(bytes, at) || at + 10 > bytes.size()) return false;
    const auto type = readUint16(bytes, at);
    const std::size_t end = at + 10 + readUint16(bytes, at + 8);
    if (end > bytes.size()) return false;
    auto name = at + 10 + (type == static_cast<std::uint16_t>(Type::srv) ? 6 : 0);
    // The record types whose data holds a name: SRV, NS (2), CNAME (5), SOA (6), PTR (12), MX (15).
    const bool hasName = type == static_cast<std::uint16_t>(Type::srv) || type == 2 || type == 5 ||
                         type == 6 || type == 12 || type == 15;
    if (type == 15) name += 2;
    if (hasName && (name >= end || !skipName(bytes, name) || name > end)) return false;
    at = end;
  }
  return at == bytes.size();
}

ReadResult readResponse(std::string_view bytes, const SentQuery &sent, Message &out) {
  if (bytes.size() < 12) return ReadResult::malformed;
  // The id must match, and the message must be the response to a standard query with one question.
  if (readUint16(bytes, 0) != sent.id || (readUint16(bytes, 2) & 0xf800) != 0x8000 ||
      readUint16(bytes, 4) != 1)
    return ReadResult::unrelated;
  auto expected = encodeName(sent);
  const auto type = static_cast<std::uint16_t>(sent.question.type);
  for (const int c : {type >> 8, type & 0xff, 0, 1}) expected += static_cast<char>(c);
  const auto received = bytes.substr(12, expected.size());
  const auto fold = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 0x20) : c; };
  if (!std::equal(received.begin(), received.end(), expected.begin(), expected.end(),
                  [&](char a, char b) { return fold(a) == fold(b); }))
    return ReadResult::unrelated;
  const auto matchResult = received == expected ? ReadResult::accepted : ReadResult::caseMismatch;
  out = {};
  out.truncated = (readUint16(bytes, 2) & 0x0200) != 0;
  // The records of a truncated response may be cut anywhere. The caller must repeat the query over TCP.
  if (out.truncated) return matchResult;
  if (!isWellFormed(bytes)) return ReadResult::malformed;
  ldns_pkt *raw = nullptr;
  const auto read = ldns_wire2pkt(&raw, reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
  Packet pkt(raw);
  if (read != LDNS_STATUS_OK) return ReadResult::malformed;
  out.status = statusOf(ldns_pkt_get_rcode(pkt.get()));
  if (!readSection(ldns_pkt_answer(pkt.get()), out.answers) ||
      !readSection(ldns_pkt_additional(pkt.get()), out.additional))
    return ReadResult::malformed;
  readNegativeTtl(ldns_pkt_authority(pkt.get()), out);
  return matchResult;
}

} // namespace myrtlehead::dns
