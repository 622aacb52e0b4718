// Sends one query to a DNS server and reads the response: over UDP on a separate socket, or over a TCP
// connection that several queries share (RFC 7766). Retries and timeouts are decided by
// dns_resolution::Lookup.
#pragma once

#include "base/net/socket.h"
#include "policy/dns_lookup.h"

#include <map>

namespace myrtlehead::dns_discovery {

// The result of a query: a response, or an error.
struct QueryResult {
  bool hasResponse = false;
  dns::Message message;                                                          // valid if hasResponse
  dns_resolution::LetterCase letterCase = dns_resolution::LetterCase::preserved; // valid if hasResponse
  dns_resolution::QueryError error = dns_resolution::QueryError::timedOut;       // valid if not hasResponse
};

net::Task<QueryResult> queryOverUdp(net::Scheduler &sched, net::DescriptorBudget &budget, net::Address server,
                                    const dns::SentQuery &sent, net::Deadline deadline);

// Sends queries to one server over a TCP connection. The connection is opened by the first query, and closed
// after an idle timeout or an error. Queries are pipelined, and responses are matched to them by query id.
class TcpQueryClient : public std::enable_shared_from_this<TcpQueryClient> {
public:
  TcpQueryClient(net::Scheduler &sched, net::DescriptorBudget &budget, net::Address server)
      : sched_(sched), budget_(budget), server_(server) {}
  net::Task<QueryResult> query(dns::SentQuery sent, net::Deadline deadline);
  int connectionsOpened() const { return connectionsOpened_; } // since construction

private:
  struct PendingQuery {
    dns::SentQuery sent;
    QueryResult result;
    bool isDone = false;
    sched::Event done;
  };
  // Shared by the client and the task that reads from it, which may outlive the client's use.
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
