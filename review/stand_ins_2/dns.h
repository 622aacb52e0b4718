// A stand-in DNS server over UDP: SRV records of one service, and A and TXT records of its hosts (RFC 1035,
// RFC 2782). It answers each question at once, with the question as it was sent.
#pragma once

#include "world.h"

namespace review {

class DnsServer {
public:
  struct Host {
    std::string name; // "s-1.maps.example"
    int port;
    std::string text; // of its TXT record
  };
  DnsServer(int port, std::string service, std::vector<Host> hosts, std::uint32_t ttl)
      : service_(std::move(service)), hosts_(std::move(hosts)), ttl_(ttl), fd_(listenOn(port, SOCK_DGRAM)) {
    check(fd_ >= 0, "cannot listen for DNS queries");
    std::thread([this] { serve(); }).detach();
  }

private:
  static void put16(std::string &out, unsigned n) {
    out += static_cast<char>(n >> 8 & 0xff);
    out += static_cast<char>(n & 0xff);
  }
  static std::string wireName(const std::string &name) {
    std::string out;
    for (std::size_t i = 0; i <= name.size();) {
      const auto end = std::min(name.find('.', i), name.size());
      out += static_cast<char>(end - i);
      out += name.substr(i, end - i);
      i = end + 1;
    }
    return out + '\0';
  }
  void serve() {
    for (;;) {
      char bytes[2048];
      sockaddr_in from{};
      socklen_t size = sizeof from;
      const auto n = recvfrom(fd_, bytes, sizeof bytes, 0, reinterpret_cast<sockaddr *>(&from), &size);
      if (n < 17) continue;
      const auto response = answer(std::string(bytes, static_cast<std::size_t>(n)));
      if (!response.empty())
        sendto(fd_, response.data(), response.size(), 0, reinterpret_cast<const sockaddr *>(&from), size);
    }
  }
  std::string answer(const std::string &query) const {
    std::string name;
    std::size_t i = 12;
    while (i < query.size() && query[i] != 0) {
      const auto length = static_cast<unsigned char>(query[i]);
      if (length > 63 || i + 1 + length > query.size()) return "";
      if (!name.empty()) name += '.';
      name += query.substr(i + 1, length);
      i += 1 + length;
    }
    if (i + 5 > query.size()) return "";
    const auto question = query.substr(12, i + 5 - 12);
    const unsigned type = static_cast<unsigned char>(query[i + 1]) << 8 |
                          static_cast<unsigned char>(query[i + 2]);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    std::string records;
    unsigned count = 0;
    bool isKnown = name == service_;
    const auto add = [&](unsigned recordType, const std::string &data) {
      ++count;
      put16(records, 0xc00c); // the question's name
      put16(records, recordType);
      put16(records, 1);
      put32(records, ttl_);
      put16(records, static_cast<unsigned>(data.size()));
      records += data;
    };
    for (const auto &host : hosts_) {
      isKnown = isKnown || name == host.name;
      if (name == service_ && type == 33) {
        std::string data;
        put16(data, 10);
        put16(data, 5);
        put16(data, static_cast<unsigned>(host.port));
        add(33, data + wireName(host.name));
      }
      if (name == host.name && type == 1) add(1, std::string("\x7f\0\0\1", 4));
      if (name == host.name && type == 16) add(16, static_cast<char>(host.text.size()) + host.text);
    }
    std::string out = query.substr(0, 2);
    put16(out, isKnown ? 0x8580 : 0x8583);
    put16(out, 1);
    put16(out, count);
    put32(out, 0);
    return out + question + records;
  }
  std::string service_;
  std::vector<Host> hosts_;
  std::uint32_t ttl_;
  int fd_;
};

} // namespace review
