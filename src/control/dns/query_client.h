// Sends one query to a DNS server and reads the response: over UDP on a socket of its own, or over a TCP
// connection that several queries share (RFC 7766). Decides nothing.
#pragma once

#include "base/net/socket.h"
#include "policy/dns_lookup.h"

#include <map>

namespace myrtlehead::dns_discovery {

// What came of a query: a response, or an error.
struct QueryResult {
  bool hasResponse = false;
  dns::Message message;                                                          // where it has
  dns_resolution::LetterCase letterCase = dns_resolution::LetterCase::preserved; // where it has
  dns_resolution::QueryError error = dns_resolution::QueryError::timedOut;       // otherwise
};

net::Task<QueryResult> queryOverUdp(net::Scheduler &sched, net::DescriptorBudget &budget, net::Address server,
                                    const dns::Sent &sent, net::Deadline deadline);

// Queries to one server over a TCP connection, which is opened when it is first needed and closed when it has
// been idle for a while or the server breaks the protocol. Queries are pipelined and matched by their ids.
class TcpQueryClient : public std::enable_shared_from_this<TcpQueryClient> {
public:
  TcpQueryClient(net::Scheduler &sched, net::DescriptorBudget &budget, net::Address server)
      : sched_(sched), budget_(budget), server_(server) {}
  net::Task<QueryResult> query(dns::Sent sent, net::Deadline deadline);
  int connectionsOpened() const { return connectionsOpened_; } // ever

private:
  struct PendingQuery {
    dns::Sent sent;
    QueryResult result;
    bool isDone = false;
    sched::Event done;
  };
  // Lives for as long as it is read, which may be longer than the client uses it.
  struct Connection {
    std::unique_ptr<net::Socket> socket;
    net::Buffer buffer;
    std::map<std::uint16_t, PendingQuery *> pending; // by query id
    sched::CancellationToken closed;
  };
  static net::Task<> read(std::shared_ptr<TcpQueryClient> client, std::shared_ptr<Connection> connection);
  bool readMessage(Connection &connection);
  void close(Connection &connection, dns_resolution::QueryError error);
  net::Task<std::shared_ptr<Connection>> connect(net::Deadline deadline);

  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  net::Address server_;
  std::shared_ptr<Connection> connection_;
  bool isConnecting_ = false;
  sched::Event connectFinished_;
  int connectionsOpened_ = 0;
};

} // namespace myrtlehead::dns_discovery
