// One look-up, from the first query to what it came to: which server is asked, over UDP or TCP, when an
// attempt is given up, which aliases are followed. No I/O: it is asked what to send and told what came.
#pragma once

#include "format/dns/message.h"
#include "policy/dns_settings.h"

#include <random>
#include <utility>
#include <vector>

namespace myrtlehead::dns_resolution {

constexpr int kMostAliases = 8;
constexpr int kMostTruncations = 2; // over TCP, where none should be

// The servers of names: who answers, how fast, who rests.
class NameServers {
public:
  explicit NameServers(std::size_t count) : servers_(count) {}
  std::size_t count() const { return servers_.size(); }
  // By chance among those that do not rest and were not tried in this look-up; where all rest, the one whose
  // rest ends first.
  std::size_t pick(const std::vector<int> &tried, Nanoseconds now, std::knuth_b &chance) const;
  void answered(std::size_t server) { servers_[server] = {}; }
  void failed(std::size_t server, Nanoseconds now);
  bool resting(std::size_t server, Nanoseconds now) const { return servers_[server].restUntil > now; }

private:
  struct Server {
    int failures = 0; // in a row
    Nanoseconds restUntil = 0;
  };
  std::vector<Server> servers_;
};

// The next query to be made.
struct Ask {
  std::size_t server = 0;
  bool tcp = false;
  dns::Sent sent;
  Nanoseconds within = 0; // give it up after
};

// How a query ended without an answer.
enum class Mishap { timedOut, unreachable, unreadable, broken };

// What a look-up came to. Four different things, and each has its consequence.
enum class Said { records, denied, empty, failed };
const char *word(Said said);

struct Answer {
  Said said = Said::failed;
  std::vector<dns::Record> records = {};    // of the type asked for, at the end of the aliases
  std::vector<dns::Record> additional = {}; // addresses of SRV targets that may be believed
  Nanoseconds lifetime = 0;                 // as the server tells it, unbounded; -1: it tells none
  std::string why = {};                     // failed: the last mishap, in a word or two
};

class Lookup {
public:
  Lookup(dns::Question question, const ResolutionSettings &terms, NameServers &servers)
      : asked_(question), now_(std::move(question)), terms_(terms), servers_(servers),
        tried_(servers.count()) {}

  bool over() const { return over_; }
  // The query to make. Not to be called once it is over.
  Ask next(Nanoseconds now, std::knuth_b &chance);
  // What came of it. `folded`: the letter case was not kept.
  void answered(const dns::Message &message, bool folded, Nanoseconds now);
  void mishap(Mishap what, Nanoseconds now);
  const Answer &answer() const { return answer_; }
  const dns::Question &question() const { return asked_; }

private:
  void failed(std::string why, Nanoseconds now);
  void believe(const dns::Message &message);
  void end(Said said, Nanoseconds lifetime);
  void keepAdditional(const dns::Message &message);
  dns::Question asked_, now_; // now_: at the end of the aliases so far
  const ResolutionSettings &terms_;
  NameServers &servers_;
  std::vector<int> tried_; // by server
  Ask ask_;
  int tries_ = 0, aliases_ = 0, truncations_ = 0;
  bool toTcp_ = false; // the same server again, over TCP
  bool over_ = false;
  Nanoseconds shortest_ = -1; // lifetime of the aliases passed
  Answer answer_;
};

} // namespace myrtlehead::dns_resolution
