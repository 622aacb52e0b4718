// One DNS look-up, from its first query to its result: which server is queried, over UDP or TCP, when an
// attempt times out, which aliases are followed. No I/O: the caller sends the queries and reports what came
// of them. Times are nanoseconds.
#pragma once

#include "format/dns/message.h"
#include "policy/dns_settings.h"

#include <random>
#include <utility>
#include <vector>

namespace myrtlehead::dns_resolution {

constexpr int kMaxAliases = 8;
constexpr int kMaxTcpTruncations = 2; // of one look-up; over TCP there should be none

// The DNS servers of an instance, and the backoff of those that fail.
class DnsServers {
public:
  explicit DnsServers(std::size_t count) : servers_(count) {}
  std::size_t count() const { return servers_.size(); }
  // A random server among those with the fewest attempts in a look-up that are not backing off; if all of
  // them are, the one whose backoff ends first. `attempts`: by server.
  std::size_t select(const std::vector<int> &attempts, Nanoseconds now, std::knuth_b &random) const;
  void onSuccess(std::size_t server) { servers_[server] = {}; }
  void onFailure(std::size_t server, Nanoseconds now);
  bool isBackingOff(std::size_t server, Nanoseconds now) const { return servers_[server].backoffUntil > now; }

private:
  struct Server {
    int failures = 0; // in a row
    Nanoseconds backoffUntil = 0;
  };
  std::vector<Server> servers_;
};

enum class Transport { udp, tcp };

// The next query of a look-up.
struct Query {
  std::size_t server = 0;
  Transport transport = Transport::udp;
  dns::Sent sent;
  Nanoseconds timeout = 0;
};

// Why a query got no usable response.
enum class QueryError { timedOut, unreachable, malformed, connectionLost };

// Whether a response repeats the random letter case of the query (0x20 encoding).
enum class LetterCase { preserved, changed };

// Result of a look-up: records, one of the two negative answers (RFC 2308), or a failure.
enum class LookupResult { records, nxDomain, noData, failed };

constexpr Nanoseconds kNoTtl = -1;

struct LookupOutcome {
  LookupResult result = LookupResult::failed;
  std::vector<dns::Record> records = {};    // of the type in question, at the end of the aliases
  std::vector<dns::Record> additional = {}; // addresses of SRV targets that may be trusted
  Nanoseconds ttl = 0;                      // as the server gives it, unbounded; or kNoTtl
  std::string failure = {};                 // the last error in words, where the look-up failed
};

class Lookup {
public:
  // `settings` and `servers` must outlive the look-up.
  Lookup(dns::Question question, const ResolutionSettings &settings, DnsServers &servers)
      : question_(question), current_(std::move(question)), settings_(settings), servers_(servers),
        attemptsByServer_(servers.count()) {}

  bool isFinished() const { return isFinished_; }
  // The query to send. Precondition: the look-up is not finished.
  Query nextQuery(Nanoseconds now, std::knuth_b &random);
  // What came of the latest query: a response, or an error.
  void onResponse(const dns::Message &message, LetterCase letterCase, Nanoseconds now);
  void onError(QueryError error, Nanoseconds now);
  const LookupOutcome &outcome() const { return outcome_; } // valid once it is finished
  const dns::Question &question() const { return question_; }

private:
  void fail(std::string failure, Nanoseconds now);
  void acceptAnswer(const dns::Message &message);
  bool followAliases(const dns::Message &message);
  void finish(LookupResult result, Nanoseconds ttl);
  void keepAdditional(const dns::Message &message);

  dns::Question question_;
  dns::Question current_; // at the end of the aliases so far
  const ResolutionSettings &settings_;
  DnsServers &servers_;
  std::vector<int> attemptsByServer_;
  Query query_;
  int attempts_ = 0;
  int aliases_ = 0;
  int tcpTruncations_ = 0;
  bool retriesOverTcp_ = false; // the next query goes to the same server over TCP
  bool isFinished_ = false;
  Nanoseconds aliasTtl_ = kNoTtl; // the shortest of the aliases followed
  LookupOutcome outcome_;
};

} // namespace myrtlehead::dns_resolution
