// The state machine of one DNS look-up: selects the server, the transport (UDP or TCP) and the timeout of
// each query, and follows aliases. It does no I/O: the caller sends the queries and reports each response or
// error. Times are in nanoseconds.
#pragma once

#include "format/dns/message.h"
#include "policy/dns_settings.h"

#include <random>
#include <utility>
#include <vector>

namespace myrtlehead::dns_resolution {

constexpr int kMaxAliases = 8; // CNAME records followed in one look-up
// The truncated TCP response with this number fails its query, as does each later one of the same look-up.
// Earlier ones are retried over TCP. A correct server does not truncate responses over TCP.
constexpr int kMaxTcpTruncations = 2;

// Selects among the DNS servers of an instance and backs off from servers that fail.
class DnsServers {
public:
  explicit DnsServers(std::size_t count) : servers_(count) {}
  std::size_t count() const { return servers_.size(); }
  // Returns the index of the server to query. The candidates are the servers with the fewest attempts in this
  // look-up: one that is not backing off is selected at random; if all of them are backing off, the one whose
  // backoff ends first is selected. `attempts`: attempts of this look-up, by server.
  std::size_t select(const std::vector<int> &attempts, Nanoseconds now, std::knuth_b &random) const;
  void onSuccess(std::size_t server) { servers_[server] = {}; }
  void onFailure(std::size_t server, Nanoseconds now);
  bool isBackingOff(std::size_t server, Nanoseconds now) const { return servers_[server].backoffUntil > now; }

private:
  struct Server {
    int consecutiveFailures = 0;
    Nanoseconds backoffUntil = 0;
  };
  std::vector<Server> servers_;
};

enum class Transport { udp, tcp };

// One query of a look-up, as the caller is to send it.
struct Query {
  std::size_t server = 0;
  Transport transport = Transport::udp;
  dns::SentQuery sent;
  Nanoseconds timeout = 0;
};

// Why a query got no usable response.
enum class QueryError { timedOut, unreachable, malformed, connectionLost };

// Whether a response repeats the random letter case of the query (0x20 encoding).
enum class LetterCase { preserved, changed };

// Result of a look-up: records, one of the two negative answers (RFC 2308), or a failure.
enum class LookupResult { records, nxDomain, noData, failed };

// Value of LookupOutcome::ttl: the server gave no TTL.
constexpr Nanoseconds kNoTtl = -1;

struct LookupOutcome {
  LookupResult result = LookupResult::failed;
  std::vector<dns::Record> records = {};    // records of the requested type, at the end of the alias chain
  std::vector<dns::Record> additional = {}; // trusted address records of SRV targets
  Nanoseconds ttl = 0;                      // shortest TTL that the server gave, not clamped; or kNoTtl
  std::string failure = {};                 // description of the last error
};

// One look-up in progress. The caller alternates nextQuery() with onResponse() or onError() until the look-up
// is finished.
class Lookup {
public:
  // `settings` and `servers` must outlive the look-up.
  Lookup(dns::Question question, const ResolutionSettings &settings, DnsServers &servers)
      : question_(question), currentQuestion_(std::move(question)), settings_(settings), servers_(servers),
        attemptsByServer_(servers.count()) {}

  bool isFinished() const { return isFinished_; }
  // Returns the query to send. Precondition: the look-up is not finished.
  Query nextQuery(Nanoseconds now, std::knuth_b &random);
  // Reports the result of the latest query: a response, or an error.
  void onResponse(const dns::Message &message, LetterCase letterCase, Nanoseconds now);
  void onError(QueryError error, Nanoseconds now);
  const LookupOutcome &outcome() const { return outcome_; } // valid once isFinished()
  const dns::Question &question() const { return question_; }

private:
  void fail(std::string failure, Nanoseconds now);
  void acceptAnswer(const dns::Message &message);
  bool followAliases(const dns::Message &message);
  void finish(LookupResult result, Nanoseconds ttl);
  void acceptAdditional(const dns::Message &message);

  dns::Question question_;
  dns::Question currentQuestion_; // question_, but for the target of the last alias followed
  const ResolutionSettings &settings_;
  DnsServers &servers_;
  std::vector<int> attemptsByServer_;
  Query query_;
  int attempts_ = 0;
  int aliasesFollowed_ = 0;
  int tcpTruncations_ = 0;
  bool retriesOverTcp_ = false; // whether the next query goes to the same server over TCP
  bool isFinished_ = false;
  Nanoseconds aliasTtl_ = kNoTtl; // shortest TTL of the aliases followed
  LookupOutcome outcome_;
};

} // namespace myrtlehead::dns_resolution
