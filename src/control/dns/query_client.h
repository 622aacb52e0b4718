// One query to a server of names and its answer, over UDP on a socket of its own or over a TCP connection
// that several queries share (RFC 7766). Decides nothing.
#pragma once

#include "base/net/socket.h"
#include "policy/dns_lookup.h"

#include <map>

namespace myrtlehead::dns_discovery {

// What came of a query.
struct Asked {
  bool answered = false;
  bool folded = false;
  dns::Message message;
  dns_resolution::Mishap mishap = dns_resolution::Mishap::timedOut;
};

net::Task<Asked> askOverUdp(net::Scheduler &sched, net::DescriptorBudget &budget, net::Address server,
                            const dns::Sent &sent, net::Deadline until);

// A TCP connection to one server, opened when it is first needed, closed when it has been idle for a while or
// its peer breaks a rule. Queries go out back to back and are told apart by their ids.
class TcpLine : public std::enable_shared_from_this<TcpLine> {
public:
  TcpLine(net::Scheduler &sched, net::DescriptorBudget &budget, net::Address server)
      : sched_(sched), budget_(budget), server_(server) {}
  net::Task<Asked> ask(dns::Sent sent, net::Deadline until);
  int opened() const { return opened_; } // connections, ever

private:
  struct Pending {
    dns::Sent sent;
    Asked asked;
    bool over = false;
    sched::Event done;
  };
  // One connection with its queries; outlives the line's interest in it for as long as it is read.
  struct Connection {
    std::unique_ptr<net::Socket> socket;
    net::Buffer buffer;
    std::map<std::uint16_t, Pending *> pending;
    sched::CancellationToken closed;
  };
  static net::Task<> read(std::shared_ptr<TcpLine> line, std::shared_ptr<Connection> c);
  bool take(Connection &c);
  void close(Connection &c, dns_resolution::Mishap why);
  net::Task<std::shared_ptr<Connection>> connection(net::Deadline until);

  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  net::Address server_;
  std::shared_ptr<Connection> open_;
  bool opening_ = false;
  sched::Event openedOrNot_;
  int opened_ = 0;
};

} // namespace myrtlehead::dns_discovery
