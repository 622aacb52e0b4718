// A scripted DNS server on loopback, with UDP and TCP on one port. It answers from a zone given as text and
// misbehaves as configured. For tests and the laboratory; it shares no code with the DNS response parser.
#pragma once

#include "base/net/socket.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

struct ldns_struct_rr;

namespace myrtlehead::lab {

class DnsServer {
public:
  enum class UdpMode {
    normal,
    silent,
    truncate,
    wrongId,
    wrongQuestion,
    wrongSource, // answers from another port
    servfail,
    refused,
    garbage,           // answers with bytes that are no DNS message
    lowercaseQuestion, // loses the letter case of the question's name
    compressionLoop    // answers with a name whose compression pointer points at itself
  };
  enum class TcpMode {
    normal,
    closed,  // closes each connection after accepting it
    silent,  // reads queries but never answers
    truncate // sends half of the response, then closes the connection
  };

  DnsServer(net::Scheduler &sched, net::DescriptorBudget &budget, const std::string &at = "127.0.0.1:0");
  ~DnsServer();

  // Replaces the zone. Each line is a record in zone file format: "s-1.maps.example. 60 IN A 127.0.0.1".
  // Throws std::invalid_argument for any other line.
  void setZone(const std::vector<std::string> &lines);
  // Makes the name exist, so that a query for a record type it lacks is answered with NODATA, not NXDOMAIN.
  void addEmptyName(const std::string &name);

  net::Address address() const { return net::localAddress(*listener_); }
  UdpMode udpMode = UdpMode::normal;
  TcpMode tcpMode = TcpMode::normal;
  bool addsTargetAddresses = false; // adds the A records of SRV targets to the additional section
  std::size_t maxUdpSize = 1232;    // bytes; longer UDP responses are truncated
  int queries = 0, tcpQueries = 0, tcpConnections = 0;
  std::vector<net::Nanoseconds> queryTimes; // arrival time of each query

private:
  struct Zone;
  net::Task<> serveUdp();
  net::Task<> serveTcp();
  net::Task<> session(std::unique_ptr<net::Socket> socket);
  // Returns the response in wire format, or "" if the query can't be parsed.
  std::string answer(std::string_view query, bool isTcp);

  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  std::unique_ptr<net::Socket> listener_, datagrams_, wrongSourceSocket_;
  std::unique_ptr<Zone> zone_;
};

} // namespace myrtlehead::lab
