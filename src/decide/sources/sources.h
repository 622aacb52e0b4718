// Which servers there are: discovery's list and name records merged into one set by the rule that
// docs/dns-srv.md tabulates. Holds sudden losses, damps what flaps, remembers what the list has let go. No
// I/O, no clock of its own: times are the marshal's, whole nanoseconds.
#pragma once

#include "decide/subset/subset.h"
#include "guard/terms.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace myrtlehead::sources {

constexpr std::size_t kMostServers = 20'000; // that names may give, and departures that are remembered
constexpr std::size_t kMostAddresses = 4;    // of one host that are used

// How carefully what names say is believed.
struct Prudence {
  Ns lossHold = 30 * kSec;            // a sudden loss is held so long at most
  Ns askAgain = 2 * kSec;             // meanwhile
  int agreeing = 3;                   // answers in a row that make it believed
  Ns departedFor = 3600 * kSec;       // what the list has let go stays out so long after names last had it
  Ns flapHalfLife = 60 * kSec;        // of a penalty
  double flapMost = 3, flapLeast = 1; // out above, in again below
  Ns flapLongest = 300 * kSec;
  bool operator==(const Prudence &) const = default;
};

// A line of the node list.
struct Entry {
  std::string name, address;
  Listing listing;
};

// One SRV record's target.
struct Target {
  std::string host;
  std::uint16_t port = 0;
  int priority = 0, weight = 0;
};

enum class Word {
  records,
  denied,       // NXDOMAIN
  empty,        // NODATA
  notAvailable, // the target "."
  failed,       // no answer: says nothing about the servers
};

// What list and names disagree on, and in which condition the set is.
struct Figures {
  std::size_t servers = 0, listed = 0, named = 0;   // in the set; in service by the list; by names
  std::size_t drainedButNamed = 0;                  // leaving or gone by the list, named all the same
  std::size_t listedNotNamed = 0;                   // in service by the list, left out by names
  std::size_t twoNames = 0, buildsDiffer = 0;       // one address with two names; two builds told
  std::size_t unresolved = 0, damped = 0, held = 0; // targets without an address; that flap; of a sudden loss
  std::size_t unknownBuild = 0, groups = 0;
  int staleSets = 0, expiredSets = 0, deniedSets = 0;
  bool lastResort = false, listDown = false;
};

// What a life leaves to the next one; times are the marshal's.
struct Past {
  struct Server {
    Target target;
    Ns goneAt = 0; // 0: named
  };
  struct Set {
    std::string name;
    Ns goodAt = 0, goodUntil = 0;
    std::vector<Server> servers;
  };
  struct Host {
    std::string name;
    std::vector<std::string> addresses;
    int release = -1;
  };
  std::vector<Set> sets;
  std::vector<Host> hosts;
  std::vector<Entry> listed;
  std::vector<std::pair<std::string, Ns>> departed,
      starts; // addresses, with the last mention and the first sight
};

// "release=7" among the words of a TXT record; -1: it tells none.
int releaseIn(std::string_view text);

class Sources {
public:
  // `staleMost`: how long past its lifetime an answer serves. `subset`: which targets this marshal holds.
  Sources(Prudence prudence, Ns staleMost, int homeZone, subset::Subset subset)
      : prudence_(prudence), staleMost_(staleMost), homeZone_(homeZone), subset_(subset),
        listSubset_(std::move(subset)) {}

  // An SRV name to follow; returns its number. `release`, `zone`: of servers that tell none; -1: not told.
  std::size_t follow(std::string name, int release, int zone);

  // What an SRV look-up came to, good until `goodUntil`. True: to be asked again soon, to confirm a loss.
  bool named(std::size_t set, Word word, const std::vector<Target> &targets, Ns goodUntil, Ns now);
  // The addresses of a target: IPv4 before IPv6. `release`: by its TXT record; -1: not told.
  // True: to be asked again soon, to confirm a denial.
  bool resolved(const std::string &host, Word word, std::vector<std::string> addresses);
  void told(const std::string &host, int release);

  void listed(const std::vector<Entry> &entries, bool whole, Ns now);
  void listFailed() { listDown_ = true; }

  // The one set: what may be sent to (ready) and what drains, each address once, in the order of names.
  std::vector<Entry> merged(Ns now);
  Ns nextChange(Ns now) const; // when merged() changes by itself; at least
  struct Wanted {
    std::string host;
    bool release = false; // its TXT record too
  };
  std::vector<Wanted> hostsWanted();                  // whose addresses are to be looked up, in order
  const Figures &figures() const { return figures_; } // of the last merged()

  Past past() const;
  void restore(const Past &past, Ns now);

private:
  struct Known { // a target that a set has, or lately had
    int priority = 0, weight = 0;
    bool named = false;   // counts as there
    bool missing = false; // but the latest answer leaves it out
    bool atFirst = false; // there before we first looked
    Ns goneAt = 0;
    double penalty = 0;
    Ns penaltyAt = 0, dampedSince = 0; // 0: not damped
  };
  using Key = std::pair<std::string, std::uint16_t>; // host, port
  struct Set {
    std::string name;
    int release = -1, zone = -1;
    std::map<Key, Known> targets;
    Ns goodAt = 0, goodUntil = 0;
    Ns lossSince = 0; // 0: none is held
    int lossHeard = 0;
    bool denied = false;    // believed to have no servers
    Ns lastResortUntil = 0; // then
  };
  struct Host {
    std::vector<std::pair<std::string, bool>> addresses; // and whether it came after the first ones
    int release = -1;
    int denials = 0; // in a row
    bool wanted = false;
  };
  struct Offer { // one address as names have it
    const Set *set;
    const Known *known;
    std::string name;
    int release;
    bool later;
  };
  using Offers = std::map<std::string, Offer>; // by address and port

  void present(Set &set, const Target &target, bool first, Ns now);
  void depart(Set &set, Ns now);
  void believeLoss(Set &set, Word word, Ns now);
  bool damped(Known &known, Ns now) const;
  double penalty(const Known &known, Ns now) const;
  void expireHolds(Ns now);
  void mentionDeparted(Ns now);
  void prune(Ns now);
  void selectTargets();
  void offer(const Set &set, const Key &key, const Known &known, Offers &out);
  Offers offers(bool lastResort, Ns now);
  Listing listingOf(const std::string &address, const Offer &offer, Ns now);
  void addListed(const Offers &offers, std::vector<Entry> &out);
  void addNamed(const Offers &offers, std::vector<Entry> &out, Ns now);
  void groups(std::vector<Entry> &out, const Offers &offers) const;
  bool serves(const std::vector<Entry> &entries) const;

  Prudence prudence_;
  Ns staleMost_;
  int homeZone_;
  subset::Subset subset_, listSubset_; // of targets, and of what the list alone has
  std::vector<Set> sets_;
  std::map<std::string, Host> hosts_;
  std::map<std::string, Entry> listed_; // by name: in service or leaving
  std::map<std::string, Ns> departed_;  // by address: when list or names last had it
  std::map<std::string, std::pair<Ns, Ns>>
      seen_;                  // by address: its start as we tell it, when it was last named
  std::set<Key> heldTargets_; // of the subset
  bool selected_ = false, allHeld_ = true, listDown_ = false;
  Figures figures_;
};

} // namespace myrtlehead::sources
