#include "lab/dns_server.h"

#include <algorithm>
#include <array>
#include <ldns/ldns.h>
#include <stdexcept>
#include <sys/socket.h>

namespace myrtlehead::lab {

namespace {

struct LdnsDeleter {
  void operator()(ldns_pkt *p) const { ldns_pkt_free(p); }
  void operator()(ldns_rr *p) const { ldns_rr_free(p); }
};
using Record = std::unique_ptr<ldns_rr, LdnsDeleter>;

std::string lowercaseName(const ldns_rdf *name) {
  char *text = ldns_rdf2str(name);
  std::string out(text);
  std::free(text);
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) { return std::tolower(c); });
  return out;
}

Record parseRecord(const std::string &line) {
  ldns_rr *rr = nullptr;
  if (ldns_rr_new_frm_str(&rr, line.c_str(), 0, nullptr, nullptr) != LDNS_STATUS_OK)
    throw std::invalid_argument("not a DNS record in zone file format: " + line);
  return Record(rr);
}

void push(ldns_pkt *to, ldns_pkt_section section, const Record &rr) {
  ldns_pkt_push_rr(to, section, ldns_rr_clone(rr.get()));
}

} // namespace

struct DnsServer::Zone {
  std::map<std::string, std::map<std::uint16_t, std::vector<Record>>> records; // by name and type
  Record soa = parseRecord("example. 30 IN SOA ns.example. hostmaster.example. 1 3600 600 86400 2");

  const std::vector<Record> *find(const std::string &name, std::uint16_t type) const {
    const auto n = records.find(name);
    if (n == records.end()) return nullptr;
    const auto t = n->second.find(type);
    return t == n->second.end() ? nullptr : &t->second;
  }
  // Adds the records of the name and type to the answer, with the CNAME records that lead to them. A missing
  // record becomes NXDOMAIN or NODATA, with the SOA record.
  void fill(ldns_pkt *out, std::string name, std::uint16_t type, bool addsTargetAddresses) const {
    for (int hops = 0; hops < 12; ++hops) {
      if (const auto *found = find(name, type)) {
        for (const auto &rr : *found) push(out, LDNS_SECTION_ANSWER, rr);
        if (addsTargetAddresses && type == LDNS_RR_TYPE_SRV) addAddresses(out, *found);
        return;
      }
      const auto *alias = find(name, LDNS_RR_TYPE_CNAME);
      if (alias == nullptr) break;
      push(out, LDNS_SECTION_ANSWER, alias->front());
      name = lowercaseName(ldns_rr_rdf(alias->front().get(), 0));
    }
    if (!records.contains(name)) ldns_pkt_set_rcode(out, LDNS_RCODE_NXDOMAIN);
    push(out, LDNS_SECTION_AUTHORITY, soa);
  }
  void addAddresses(ldns_pkt *out, const std::vector<Record> &servers) const {
    for (const auto &srv : servers)
      if (const auto *a = find(lowercaseName(ldns_rr_rdf(srv.get(), 3)), LDNS_RR_TYPE_A))
        for (const auto &rr : *a) push(out, LDNS_SECTION_ADDITIONAL, rr);
  }
};

DnsServer::DnsServer(net::Scheduler &sched, net::DescriptorBudget &budget, const std::string &at)
    : sched_(sched), budget_(budget), listener_(net::listenTcp(sched, budget, *net::parseAddress(at))),
      datagrams_(net::bindUdp(sched, budget, net::localAddress(*listener_))),
      wrongSourceSocket_(net::bindUdp(sched, budget, *net::parseAddress("127.0.0.1:0"))),
      zone_(std::make_unique<Zone>()) {
  sched_.spawn(serveUdp());
  sched_.spawn(serveTcp());
}

DnsServer::~DnsServer() = default;

void DnsServer::setZone(const std::vector<std::string> &lines) {
  zone_ = std::make_unique<Zone>();
  for (const auto &line : lines) {
    auto rr = parseRecord(line);
    const auto name = lowercaseName(ldns_rr_owner(rr.get()));
    const auto type = static_cast<std::uint16_t>(ldns_rr_get_type(rr.get()));
    zone_->records[name][type].push_back(std::move(rr));
  }
}

void DnsServer::addEmptyName(const std::string &name) { zone_->records[name]; }

// A response whose answer record has an owner name that is a compression pointer to its own offset.
static std::string makeCompressionLoop(std::string_view query) {
  std::string out(query.substr(0, 12));
  out[2] = static_cast<char>(0x80), out[3] = 0;
  out[5] = out[7] = 1, out[4] = out[6] = 0;
  out[8] = out[9] = out[10] = out[11] = 0;
  const auto end = query.find('\0', 12) + 5;
  out.append(query.substr(12, end - 12));
  const auto self = static_cast<char>(out.size());
  out.append({static_cast<char>(0xc0), self, 0, 33, 0, 1, 0, 0, 0, 9, 0, 0});
  return out;
}

std::string DnsServer::answer(std::string_view query, bool isTcp) {
  ldns_pkt *raw = nullptr;
  if (ldns_wire2pkt(&raw, reinterpret_cast<const std::uint8_t *>(query.data()), query.size()) !=
      LDNS_STATUS_OK)
    return "";
  const std::unique_ptr<ldns_pkt, LdnsDeleter> request(raw);
  ++queries;
  tcpQueries += isTcp;
  queryTimes.push_back(sched_.now());
  if (!isTcp && udpMode == UdpMode::garbage) return "no message at all";
  if (!isTcp && udpMode == UdpMode::compressionLoop) return makeCompressionLoop(query);
  const std::unique_ptr<ldns_pkt, LdnsDeleter> out(ldns_pkt_new());
  const auto *question = ldns_rr_list_rr(ldns_pkt_question(request.get()), 0);
  ldns_pkt_set_id(out.get(), static_cast<std::uint16_t>(ldns_pkt_id(request.get()) +
                                                        (!isTcp && udpMode == UdpMode::wrongId)));
  ldns_pkt_set_qr(out.get(), true);
  ldns_pkt_set_aa(out.get(), true);
  auto name = lowercaseName(ldns_rr_owner(question));
  if (!isTcp && udpMode == UdpMode::wrongQuestion) {
    push(out.get(), LDNS_SECTION_QUESTION, [] {
      ldns_rr *rr = nullptr;
      ldns_rr_new_question_frm_str(&rr, "other.example. IN SRV", nullptr, nullptr);
      return Record(rr);
    }());
  } else {
    Record sameQuestion(ldns_rr_clone(question));
    if (!isTcp && udpMode == UdpMode::lowercaseQuestion)
      ldns_dname2canonical(ldns_rr_owner(sameQuestion.get()));
    push(out.get(), LDNS_SECTION_QUESTION, sameQuestion);
  }
  if (udpMode == UdpMode::servfail)
    ldns_pkt_set_rcode(out.get(), LDNS_RCODE_SERVFAIL);
  else if (udpMode == UdpMode::refused)
    ldns_pkt_set_rcode(out.get(), LDNS_RCODE_REFUSED);
  else
    zone_->fill(out.get(), name, static_cast<std::uint16_t>(ldns_rr_get_type(question)), addsTargetAddresses);
  std::uint8_t *bytes = nullptr;
  std::size_t size = 0;
  if (ldns_pkt2wire(&bytes, out.get(), &size) != LDNS_STATUS_OK) return "";
  std::string wire(reinterpret_cast<const char *>(bytes), size);
  std::free(bytes);
  if (!isTcp && (udpMode == UdpMode::truncate || size > maxUdpSize)) {
    wire[2] = static_cast<char>(wire[2] | 2);
    wire.resize(std::min(wire.size(), maxUdpSize)); // may cut within a record
  }
  return wire;
}

net::Task<> DnsServer::serveUdp() {
  std::array<char, 4096> query;
  for (;;) {
    net::Address from;
    socklen_t size = sizeof from.storage;
    const auto n = recvfrom(datagrams_->fd(), query.data(), query.size(), 0, from.asSockaddr(), &size);
    if (n < 0) {
      co_await datagrams_->waitReadable({});
      continue;
    }
    if (udpMode == UdpMode::silent) {
      ++queries;
      queryTimes.push_back(sched_.now());
      continue;
    }
    const auto bytes = answer({query.data(), static_cast<std::size_t>(n)}, false);
    const auto &socket = udpMode == UdpMode::wrongSource ? *wrongSourceSocket_ : *datagrams_;
    if (!bytes.empty()) sendto(socket.fd(), bytes.data(), bytes.size(), 0, from.asSockaddr(), from.size());
  }
}

net::Task<> DnsServer::serveTcp() {
  for (;;) {
    auto socket = net::tryAccept(sched_, budget_, *listener_);
    if (!socket)
      co_await listener_->waitReadable({});
    else if (tcpMode != TcpMode::closed)
      sched_.spawn(session(std::move(*socket)));
  }
}

net::Task<> DnsServer::session(std::unique_ptr<net::Socket> socket) {
  ++tcpConnections;
  net::Buffer buffer;
  for (;;) {
    const auto view = buffer.view();
    const std::size_t size = view.size() < 2 ? 65536
                                             : static_cast<unsigned char>(view[0]) << 8 |
                                                   static_cast<unsigned char>(view[1]);
    if (view.size() < size + 2) {
      const auto error = co_await socket->read(buffer, {});
      if (error != net::ErrorCode::none) co_return;
      continue;
    }
    auto bytes = tcpMode == TcpMode::silent ? "" : answer(view.substr(2, size), true);
    buffer.consume(size + 2);
    if (bytes.empty()) continue;
    const auto length = bytes.size();
    bytes.insert(bytes.begin(), {static_cast<char>(length >> 8), static_cast<char>(length & 0xff)});
    if (tcpMode == TcpMode::truncate) bytes.resize(bytes.size() / 2);
    const auto error = co_await socket->write(bytes, {});
    if (error != net::ErrorCode::none || tcpMode == TcpMode::truncate) co_return;
  }
}

} // namespace myrtlehead::lab
